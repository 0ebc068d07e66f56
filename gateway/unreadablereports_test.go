package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
)

// Guards against load reports of a newer form that are dropped without a trace.
func TestUnreadableLoadReportsAreLoggedAtABoundedRate(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.targets["a"].SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HeaderLoad, "1 of 4")
		w.Header().Set(platform.HeaderStamp, "stamp")
		fmt.Fprint(w, "answer")
		return true
	})
	for range 5 {
		assert.Equal(t, f.send(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1}).status, http.StatusOK)
	}
	assert.Equal(t, strings.Count(f.log.String(), `msg="load report not read"`), 1)
}
