package writereport

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/internal/syncbuffer"
	"tarragongw/internal/waittest"
	"tarragongw/leasewrite"
	"tarragongw/telemetry"
)

const (
	warning = "writes may be late"
	// intervals is the number of reporting intervals after which a repeated line would show.
	intervals = 20
	// readsPerInterval is how often the counts are read in one interval: once for each counter.
	readsPerInterval = 3
)

// report runs start with what check and count return, for some reporting intervals, and
// returns the metrics and the log.
func report(t *testing.T, check func() error, count func() leasewrite.Counters) (metrics, log string) {
	t.Helper()
	var lines syncbuffer.Buffer
	tel := telemetry.New(telemetry.Config{Interval: time.Millisecond})
	var reads atomic.Int64
	counted := func() leasewrite.Counters {
		reads.Add(1)
		return count()
	}
	start(tel, logger(t, &lines), warning, check, counted)
	waittest.Until(t, "several reports", func() bool { return reads.Load() > readsPerInterval*intervals })
	assert.NilError(t, tel.Close())
	page := httptest.NewRecorder()
	tel.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	return page.Body.String(), lines.String()
}

func logger(t *testing.T, lines *syncbuffer.Buffer) *slog.Logger {
	t.Helper()
	log, err := telemetry.NewLogger(telemetry.LogConfig{Output: lines})
	assert.NilError(t, err)
	return log
}

func protected() error { return nil }

// unprotectedFrom returns a count that begins at first and rises with each call until last.
func unprotectedFrom(first, last int64) func() leasewrite.Counters {
	var calls atomic.Int64
	return func() leasewrite.Counters {
		return leasewrite.Counters{Unprotected: min(first+calls.Add(1)-1, last)}
	}
}

func assertMetric(t *testing.T, metrics, line string) {
	t.Helper()
	assert.Assert(t, strings.Contains(metrics, "\ntarragongw_"+line+"\n"), "%s is missing", line)
}

// Guards against a router whose writes are not protected and that looks protected, or tells no cause.
func TestMissingProtectionIsReported(t *testing.T) {
	check := func() error { return errors.New("no rseq") }
	count := unprotectedFrom(6, 7)
	metrics, log := report(t, check, count)
	assertMetric(t, metrics, "lease_write_protection 0")
	assertMetric(t, metrics, "lease_writes_protected_total 0")
	assertMetric(t, metrics, "lease_writes_unprotected_total 7")
	assert.Assert(t, strings.Contains(log, `level=WARN msg="`+warning+`" cause="no rseq"`), log)
	assert.Equal(t, strings.Count(log, "\n"), 1, log)
}

// Guards against a false alarm, and against counts that are mixed up or added again at each report.
func TestProtectedWritesAreCountedWithoutAWarning(t *testing.T) {
	count := func() leasewrite.Counters { return leasewrite.Counters{Protected: 5, Unprotected: 3, Restarted: 2} }
	metrics, log := report(t, protected, count)
	assertMetric(t, metrics, "lease_write_protection 1")
	assertMetric(t, metrics, "lease_writes_protected_total 5")
	assertMetric(t, metrics, "lease_writes_unprotected_total 3")
	assertMetric(t, metrics, "lease_write_restarts_total 2")
	assert.Equal(t, log, "", "the unprotected writes are from before the start")
}

// Guards against unprotected writes of a process whose check passed that no line tells of, or that
// fill the log.
func TestFirstUnprotectedWriteIsLoggedOnce(t *testing.T) {
	_, log := report(t, protected, unprotectedFrom(3, 3+intervals))
	assert.Equal(t, strings.Count(log, "\n"), 1, log)
	assert.Assert(t, strings.Contains(log, `level=WARN msg="writes were not protected against suspension" unprotected=`), log)
}
