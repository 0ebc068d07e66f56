package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func fetch(a *Admin, path string) (int, string) {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

func TestReadinessListsEveryFailedCheck(t *testing.T) {
	a := NewAdmin(http.NotFoundHandler())
	status, body := fetch(a, "/readyz")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok\n")

	var noConfig, stopping error
	a.AddReadinessCheck("config", func() error { return noConfig })
	a.AddReadinessCheck("stop", func() error { return stopping })
	noConfig, stopping = errors.New("no revision yet"), errors.New("stopping")
	status, body = fetch(a, "/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "config: no revision yet\nstop: stopping\n")
	status, _ = fetch(a, "/livez")
	assert.Equal(t, status, http.StatusOK)

	noConfig, stopping = nil, nil
	status, _ = fetch(a, "/readyz")
	assert.Equal(t, status, http.StatusOK)
	a.AddLivenessCheck("loop", func() error { return errors.New("stuck") })
	status, body = fetch(a, "/livez")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "loop: stuck\n")
}

func TestAdminPages(t *testing.T) {
	m := newForTest(Config{})
	defer m.Close()
	a := NewAdmin(m.Handler())
	since := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a.AddStatus("config", func() any { return map[string]any{"revision": 7, "since": since} })
	a.Handle("GET /extra", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))

	status, body := fetch(a, "/status")
	assert.Equal(t, status, http.StatusOK)
	var sections map[string]map[string]any
	assert.NilError(t, json.Unmarshal([]byte(body), &sections))
	assert.Equal(t, sections["config"]["revision"], 7.0)
	assert.Equal(t, sections["config"]["since"], "2026-01-02T03:04:05Z")

	_, body = fetch(a, "/version")
	var v Version
	assert.NilError(t, json.Unmarshal([]byte(body), &v))
	assert.Assert(t, strings.HasPrefix(v.Go, "go1."))

	status, body = fetch(a, "/metrics")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "go_goroutines"))
	status, _ = fetch(a, "/debug/pprof/goroutine?debug=1")
	assert.Equal(t, status, http.StatusOK)
	status, _ = fetch(a, "/extra")
	assert.Equal(t, status, http.StatusTeapot)
}

func TestLogLines(t *testing.T) {
	var output bytes.Buffer
	logger, err := NewLogger(LogConfig{Level: "warn", Output: &output})
	assert.NilError(t, err)
	logger.Info("hidden")
	logger.Warn("event", slog.String("cause", "two words"))
	line := output.String()
	assert.Assert(t, strings.HasSuffix(line, `level=WARN msg=event cause="two words"`+"\n"), line)
	_, err = NewLogger(LogConfig{Level: "loud"})
	assert.ErrorContains(t, err, "want debug, info, warn or error")
}

// stalledWriter is an output whose writes block until release is closed.
type stalledWriter struct {
	entered chan struct{}
	release chan struct{}
	lines   bytes.Buffer
}

func (s *stalledWriter) Write(line []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return s.lines.Write(line)
}

// If log lines were written directly to the output, a hung reader of the log would let
// the pipe fill up, the next log line would block, and the router would run on without
// renewing its grants.
func TestStalledOutputDropsLinesInsteadOfBlocking(t *testing.T) {
	output := &stalledWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := NewWriter(output, 2)
	for _, line := range []string{"1\n", "2\n", "3\n", "4\n", "5\n"} {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
		if line == "1\n" {
			<-output.entered
		}
	}
	assert.Equal(t, w.Dropped(), uint64(2))
	assert.Assert(t, !w.Close(time.Millisecond))
	close(output.release)
	assert.Assert(t, w.Close(time.Minute))
	assert.Equal(t, output.lines.String(), "1\n2\n3\n")
}
