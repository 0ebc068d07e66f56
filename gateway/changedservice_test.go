package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// maxKeylessTime is how long after a service began to divide its keys all of them must have a holder.
const maxKeylessTime = 4 * time.Second

// awaitPath waits until the path is served through all gateways, and returns how long that took.
func (f *fleet) awaitPath(path string, key int) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, g := range f.gateways {
		waittest.Until(f.t, path+" is served through "+g.opts.Name, func() bool {
			return f.send(g, call{method: "GET", path: path, key: key}).status == http.StatusOK
		})
	}
	return time.Since(began)
}

// routeTo returns the JSON of a route.
func routeTo(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":%q,"route_type":"safe","timeout":"1000ms","service":%q,"max_attempts":2}`, name, prefix, service)
}

// configWith returns the JSON of a configuration's fields with routes and services.
func configWith(routes []string, services ...string) string {
	return `"routes":[` + strings.Join(routes, ",") + `],"services":[` + strings.Join(services, ",") + `]`
}

const plainAny, keyedAny, plainOther = `{"name":"any"}`, `{"name":"any","sharded":true,"health_path":"/healthz"}`, `{"name":"other"}`

// Guards against added routes that aren't served where their service begins to divide its keys, or ceases to, with the same
// version.
func TestAddedRoutesAreServedWhereAServiceChangesItsDivision(t *testing.T) {
	f := newFleet(t, 3, configWith([]string{routeTo("a", "/a/", "any")}, plainAny), plainTarget("p0"), plainTarget("p1"))
	f.awaitPath("/a/1", -1)
	setByKey := func(byKey bool) {
		for _, target := range f.targets {
			target.SetByKey(byKey)
		}
	}
	for range 2 {
		setByKey(true)
		f.configure(configWith([]string{routeTo("a", "/a/", "any"), routeTo("b", "/b/", "any")}, keyedAny))
		took := f.awaitPath("/b/1", 7) + f.awaitPath("/b/1", 65000)
		assert.Assert(t, took < maxKeylessTime, "after %v", took)
		setByKey(false)
		f.configure(configWith([]string{routeTo("a", "/a/", "any"), routeTo("c", "/c/", "any")}, plainAny))
		took = f.awaitPath("/c/1", -1)
		assert.Assert(t, took < configApply, "after %v", took)
	}
}

// Guards against added routes that aren't served where a name, or a service, comes back soon after it was removed.
func TestAddedRoutesAreServedWhereNamesComeBack(t *testing.T) {
	with := configWith([]string{routeTo("a", "/a/", "any"), routeTo("x", "/x/", "other")}, plainAny, plainOther)
	without := configWith([]string{routeTo("a", "/a/", "any")}, plainAny)
	other := plainTarget("o0")
	other.Service = "other"
	f := newFleet(t, 3, with, plainTarget("p0"), other)
	f.awaitPath("/x/1", -1)
	for i := range 4 {
		f.configure(without)
		time.Sleep(time.Duration(i) * 200 * time.Millisecond)
		place := fmt.Sprintf("/y%d/", i)
		f.configure(configWith([]string{routeTo("a", "/a/", "any"), routeTo("x", place, "other")}, plainAny, plainOther))
		took := f.awaitPath(place+"1", -1)
		assert.Assert(t, took < configApply, "after %v", took)
		for _, g := range f.gateways {
			assert.Equal(t, f.send(g, call{method: "GET", path: "/x/1", key: -1}).status, http.StatusNotFound)
		}
	}
}
