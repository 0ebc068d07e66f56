package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/routes"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// invalidConfigs are values of the configuration's key, with %s for the version, that no router may put in force.
var invalidConfigs = map[string]string{
	"a version alone":          `{"version":"%s"}`,
	"no routes":                `{"version":"%s","routes":[],"services":[{"name":"any"}]}`,
	"cut short":                `{"version":"%s","routes":[{"name":"read","host":"h.example","pre`,
	"a route without service":  `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/"}],"services":[{"name":"any"}]}`,
	"an unknown service":       `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","service":"other"}],"services":[{"name":"any"}]}`,
	"a route without a place":  `{"version":"%s","routes":[{"name":"read","service":"any"}],"services":[{"name":"any"}]}`,
	"a prefix without slashes": `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"read","service":"any"}],"services":[{"name":"any"}]}`,
	"two routes at one place": `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","service":"any"},` +
		`{"name":"look","host":"h.example","prefix":"/read/","service":"any"}],"services":[{"name":"any"}]}`,
	"negative weights": `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","traffic_split":[{"service":"any","weight":-1}]}],` +
		`"services":[{"name":"any"}]}`,
	"a negative timeout":    `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","service":"any","timeout":"-1s"}],"services":[{"name":"any"}]}`,
	"no attempts":           `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","service":"any","max_attempts":0}],"services":[{"name":"any"}]}`,
	"a number too large":    `{"version":"%s","routes":[{"name":"read","host":"h.example","prefix":"/read/","service":"any","max_attempts":1e30}],"services":[{"name":"any"}]}`,
	"nothing":               ``,
	"another kind of value": `["%s"]`,
}

// Guards against routers that put an invalid configuration in force, and refuse what the one before allows.
func TestInvalidConfigurationIsNotPutInForce(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	inForce := f.version
	for name, value := range invalidConfigs {
		version := fmt.Sprintf("%08x", f.version+1)
		f.store.Put(platform.ConfigKey, []byte(strings.Replace(value, "%s", version, 1)))
		time.Sleep(2 * configWatchPause)
		for _, g := range f.gateways {
			assert.Equal(t, int(g.view.Load().config.Version), inForce, name)
			assert.Equal(t, f.send(g, call{method: "GET", path: "/read/1", key: -1}).status, http.StatusOK, name)
		}
	}
	assert.Assert(t, strings.Contains(f.log.String(), "reason=unknown_service"))
	f.configure(plainConfig)
	for _, g := range f.gateways {
		waittest.Until(t, "the next valid one is in force", func() bool { return int(g.view.Load().config.Version) == f.version })
	}
}

// Guards against a damaged value that keeps out all later configurations, as no version is higher.
func TestVersionOfAnotherFormatIsNotPutInForce(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	f.store.Put(platform.ConfigKey, []byte(`{"version":"ffffffffffffffff",`+plainConfig+`}`))
	f.store.Put(platform.ConfigKey, []byte(`{"version":"ffffffff"}`))
	f.configure(plainConfig)
	for _, g := range f.gateways {
		waittest.Until(t, "the next valid one is in force", func() bool { return int(g.view.Load().config.Version) == f.version })
	}
}

// Guards against a version that is far too high and keeps out all that an operator writes afterwards.
func TestVersionFarTooHighKeepsLaterOnesOutForAWhileOnly(t *testing.T) {
	f := newFleet(t, 3, plainConfig, plainTarget("a"))
	f.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":"fffffff0",%s}`, plainConfig))
	for _, g := range f.gateways {
		waittest.Until(t, "the version is in force", func() bool { return g.view.Load().config.Version == 0xfffffff0 })
	}
	f.configure(strings.Replace(plainConfig, `"name":"read"`, `"name":"added","host":"h.example","prefix":"/added/","route_type":"safe","service":"any"},{"name":"read"`, 1))
	added := call{method: "GET", path: "/added/1", key: -1}
	time.Sleep(2 * time.Second)
	assert.Equal(t, f.send(f.gateways[0], added).status, http.StatusNotFound)
	began := time.Now()
	for _, g := range f.gateways {
		waittest.Until(t, "the next version is in force", func() bool { return f.send(g, added).status == http.StatusOK })
	}
	assert.Assert(t, time.Since(began) < 2*routes.HoldTime+5*time.Second, "after %v", time.Since(began))
}
