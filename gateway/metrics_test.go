package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/telemetry"
)

// Guards against a router whose metrics don't tell whether its writes are protected.
func TestMetricsTellOfProtectedWrites(t *testing.T) {
	f := newFleet(t, 0, "")
	f.metrics = telemetry.New(telemetry.Config{Interval: time.Millisecond})
	t.Cleanup(func() { assert.Check(t, f.metrics.Close()) })
	g := f.start("router-0")
	page := func() string {
		answer, err := f.client.Get("http://" + g.metricsListener.Addr().String() + MetricsPath)
		assert.NilError(t, err)
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		return string(text)
	}
	waittest.Until(t, "writes are protected", func() bool {
		return strings.Contains(page(), "\ntarragongw_lease_write_protection 1\n")
	})
	for _, name := range []string{"lease_writes_protected_total", "lease_writes_unprotected_total", "lease_write_restarts_total"} {
		assert.Assert(t, strings.Contains(page(), "\ntarragongw_"+name+" "), "%s is missing", name)
	}
}
