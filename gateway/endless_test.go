package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
	"tarragongw/telemetry"
)

// writeEndlessly makes the target answer with a head and then with the same bytes again and again, until its caller closes the
// connection; closed is closed then.
func writeEndlessly(target *platformtest.Target, head func(id string) string, again string) (closed chan struct{}) {
	closed = make(chan struct{})
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		go func() {
			defer close(closed)
			defer conn.Close()
			_, err := io.WriteString(conn, head(r.Header.Get(platform.HeaderRequestID)))
			block := strings.Repeat(again, 1024)
			for err == nil {
				_, err = io.WriteString(conn, block)
			}
		}()
		return true
	})
	return closed
}

func assertClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the connection to the target is still open")
	}
}

// Guards against bytes that are no answer, come without end, and are read until the deadline or for good.
func TestEndlessBytesInAHeadEndTheAttempt(t *testing.T) {
	for name, bytes := range map[string]struct{ head, again, bound string }{
		"no answer":          {"", "z", ""},
		"a line of the head": {"HTTP/1.1 200 OK\r\nX-Fill: ", "a", "answer_head"},
		"lines of the head":  {"HTTP/1.1 200 OK\r\n", "X-Fill: a\r\n", "answer_head"},
		"interim answers":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n", "interim_answers"},
		"another's answer": {
			"HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n", "earlier_answers",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, plainConfig, plainTarget("a"))
			f.metrics = telemetry.New(telemetry.Config{Interval: time.Millisecond})
			t.Cleanup(func() { assert.Check(t, f.metrics.Close()) })
			waittest.Until(t, "the gateway is ready", f.start("router-0").synced.Load)
			closed := writeEndlessly(f.targets["a"], func(string) string { return bytes.head }, bytes.again)
			began := time.Now()
			got := f.send(f.gateways[0], call{method: http.MethodPost, path: "/pay/1", key: -1, body: "body"})
			assert.Equal(t, got.status, http.StatusBadGateway, "%v %v", got.err, time.Since(began))
			assert.Assert(t, time.Since(began) < 900*time.Millisecond, "after %v", time.Since(began))
			assertClosed(t, closed)
			if bytes.bound != "" {
				counted := fmt.Sprintf("tarragongw_answer_bounds_exceeded_total{bound=%q}", bytes.bound)
				waittest.Until(t, "the bound is counted", func() bool { return strings.Contains(f.metricsPage(f.gateways[0]), counted) })
			}
		})
	}
}

// Guards against a body without end that is read on after its caller has left.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	for name, again := range map[string]string{"chunks": "1\r\nz\r\n", "no chunks": "zzzzzz"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, plainConfig, plainTarget("a"))
			closed := writeEndlessly(f.targets["a"], func(id string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nTransfer-Encoding: chunked\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderStamp)
			}, again)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.gateways[0].callerListener.Addr().String()+"/read/1", http.NoBody)
			assert.NilError(t, err)
			req.Host = host
			req.Header.Set(platform.HeaderRequestID, f.newID())
			req.Header.Set(platform.HeaderDeadline, "5000")
			resp, err := f.client.Do(req)
			if err == nil {
				// Of the bytes that are no chunks nothing comes; either way the caller leaves.
				_, _ = io.CopyN(io.Discard, resp.Body, 1<<20)
				resp.Body.Close()
			}
			assertClosed(t, closed)
		})
	}
}

// Guards against an answer without end that is passed on past its route's timeout, for as long as the caller reads it.
func TestEndlessBodyEndsAfterTheRoutesTimeout(t *testing.T) {
	const timeout = time.Second // that of the route
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	closed := writeEndlessly(f.targets["a"], func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nTransfer-Encoding: chunked\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderStamp)
	}, "1\r\nz\r\n")
	began := time.Now()
	got := f.send(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1})
	assert.Assert(t, got.err != nil, "the answer looks whole")
	assert.Assert(t, got.status == http.StatusOK && len(got.body) > 0, "%d", got.status)
	took := time.Since(began)
	assert.Assert(t, took > timeout-answerMargin && took < timeout+500*time.Millisecond, "after %v", took)
	assertClosed(t, closed)
}
