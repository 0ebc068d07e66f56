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

// metricsPage returns the metrics of a router.
func (f *fleet) metricsPage(g *Gateway) string {
	f.t.Helper()
	answer, err := f.client.Get("http://" + g.metricsListener.Addr().String() + MetricsPath)
	assert.NilError(f.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(f.t, err)
	assert.Equal(f.t, answer.StatusCode, http.StatusOK)
	return string(text)
}

// Guards against a router whose metrics don't tell whether its writes are protected.
func TestMetricsTellOfProtectedWrites(t *testing.T) {
	f := newFleet(t, 0, "")
	f.metrics = telemetry.New(telemetry.Config{Interval: time.Millisecond})
	t.Cleanup(func() { assert.Check(t, f.metrics.Close()) })
	g := f.start("router-0")
	page := func() string { return f.metricsPage(g) }
	waittest.Until(t, "writes are protected", func() bool {
		return strings.Contains(page(), "\ntarragongw_lease_write_protection 1\n")
	})
	for _, name := range []string{"lease_writes_protected_total", "lease_writes_unprotected_total", "lease_write_restarts_total"} {
		assert.Assert(t, strings.Contains(page(), "\ntarragongw_"+name+" "), "%s is missing", name)
	}
}

// Guards against a lead that fills its router's link without a trace.
func TestMetricsTellOfTheCostOfTheLead(t *testing.T) {
	f := newFleet(t, 0, keyedConfig, keyedTarget("a"))
	f.metrics = telemetry.New(telemetry.Config{Interval: time.Millisecond})
	t.Cleanup(func() { assert.Check(t, f.metrics.Close()) })
	g := f.start("router-0")
	waittest.Until(t, "the cost of the lead is counted", func() bool {
		page := f.metricsPage(g)
		return strings.Contains(page, `tarragongw_lead_orders_total{outcome="accepted"}`) &&
			strings.Contains(page, "\ntarragongw_lead_order_bytes_total ") && strings.Contains(page, "\ntarragongw_lead_table_write_bytes_total ")
	})
	assert.Assert(t, strings.Contains(f.log.String(), "cost of the lead"))
}
