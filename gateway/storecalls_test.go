package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/telemetry"
)

// Guards against store calls whose purpose is not shown by any metric.
func TestStoreCallsAreCountedByPurpose(t *testing.T) {
	g, _ := idleGateway(t)
	g.opts.Telemetry = telemetry.New(telemetry.Config{})
	ctx := t.Context()
	_, at, err := g.storeFor(g.purposeOf(leaderPrefix)).List(ctx, leaderPrefix)
	assert.NilError(t, err)
	_, _, err = g.storeFor(purposeTargets).Watch(ctx, "targets/", at, time.Millisecond)
	assert.NilError(t, err)
	_, err = g.storeFor(purposeKeys).Get(ctx, tablePrefix+"nothing")
	assert.Assert(t, err != nil)
	for _, line := range []string{
		`tarragongw_store_calls_total{kind="list_lead",outcome="ok"} 1`,
		`tarragongw_store_calls_total{kind="watch_targets",outcome="ok"} 1`,
		`tarragongw_store_calls_total{kind="get_keys",outcome="not_found"} 1`,
	} {
		waittest.Until(t, line, func() bool {
			w := httptest.NewRecorder()
			g.opts.Telemetry.Handler().ServeHTTP(w, httptest.NewRequest("GET", MetricsPath, nil))
			return strings.Contains(w.Body.String(), line)
		})
	}
}
