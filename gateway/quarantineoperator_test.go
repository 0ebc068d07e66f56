package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/operator"
	"tarragongw/telemetry"
)

// Guards against a refused request that stays refused at other routers than the one whose operator has
// released it.
func TestOperatorReleasesARequestAtAllRouters(t *testing.T) {
	targets := newCrashingTargets(12, plainTarget)
	f := newFleet(t, 0, "", targets.all...)
	f.metrics = telemetry.New(telemetry.Config{})
	f.configure(patientConfig)
	for _, name := range []string{"router-0", "router-1", "router-2"} {
		waittest.Until(t, "it is ready", f.start(name).synced.Load)
	}
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	for !refuses(f.gateways[0], fingerprintOf(deadlyPath)) {
		f.send(f.gateways[0], deadly)
		time.Sleep(betweenCrashes)
	}
	for _, g := range f.gateways {
		waittest.Until(t, "it is refused", func() bool { return refuses(g, fingerprintOf(deadlyPath)) })
	}
	for _, g := range f.gateways {
		c := &operator.Client{Base: "http://" + g.metricsListener.Addr().String()}
		list, err := c.Quarantine(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Requests), 1)
		assert.Equal(t, list.Requests[0].Fingerprint, fingerprintOf(deadlyPath).String())
		assert.Assert(t, list.Requests[0].Refused && list.Requests[0].Crashes >= crashThreshold)
	}
	for _, target := range targets.all {
		target.SetHandler(func(http.ResponseWriter, *http.Request) bool { return false })
	}
	for _, g := range f.gateways {
		assert.Equal(t, f.send(g, deadly).status, http.StatusServiceUnavailable)
	}
	c := &operator.Client{Base: "http://" + f.gateways[1].metricsListener.Addr().String()}
	_, err := c.Release(t.Context(), &operator.ReleaseRequest{Fingerprint: fingerprintOf(besidePath).String()})
	assert.ErrorContains(t, err, "not_found")
	_, err = c.Release(t.Context(), &operator.ReleaseRequest{Fingerprint: fingerprintOf(deadlyPath).String()})
	assert.NilError(t, err)
	for _, g := range f.gateways {
		f.sendUntilServed(g, deadly)
	}
}
