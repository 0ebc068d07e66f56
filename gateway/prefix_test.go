package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/platform/platformtest"
)

const nestedConfig = `"routes":[
{"name":"pay","host":"h.example","prefix":"/","route_type":"unsafe","timeout":"1000ms","target_latency":"400ms","service":"any","max_attempts":2},
{"name":"lots","host":"h.example","prefix":"/lots/","route_type":"safe","timeout":"1000ms","target_latency":"400ms","service":"lots","max_attempts":2},
{"name":"only","host":"only.example","prefix":"/lots/","route_type":"safe","timeout":"1000ms","target_latency":"400ms","service":"lots","max_attempts":2}],
"services":[{"name":"any","max_connections":40},{"name":"lots","max_connections":40}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

// Guards against a request for a prefix without its last slash that goes to the service of the longer prefix, and runs twice there.
func TestPathWithoutAPrefixsLastSlashGoesToTheRouteThatBeginsIt(t *testing.T) {
	f := newFleet(t, 1, nestedConfig, plainTarget("a"), platformtest.NewTarget("b", "lots", "hall", false), platformtest.NewTarget("c", "lots", "hall", false))
	f.awaitTarget("c")
	g, sends := f.gateways[0], map[string]int{}
	assert.Equal(t, f.send(g, call{method: "POST", path: "/lots", key: -1, body: "x"}).body, "a ran id-1")
	assert.Equal(t, f.send(g, call{method: "GET", path: "/lots/", key: -1}).status, http.StatusOK)
	assert.Equal(t, f.send(g, call{method: "POST", path: "/lots", host: "only.example", key: -1, body: "x"}).status, http.StatusNotFound)
	for id, target := range f.targets {
		target.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			sends[id]++
			closeConnection(t, w)
			return true
		})
	}
	assert.Equal(t, f.send(g, call{method: "POST", path: "/lots?q=/lots/", key: -1, body: "x"}).status, http.StatusBadGateway)
	assert.DeepEqual(t, sends, map[string]int{"a": 1})
}
