package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// Guards against crashes that no line of the log tells of: the requests in flight at a crash are named by
// the same fingerprint in the lines of each attempt.
func TestCrashNamesTheRequestsInFlight(t *testing.T) {
	f := newFleet(t, 1, patientConfig, plainTarget("a"), plainTarget("b"))
	for _, target := range f.targets {
		target.SetHandler(func(http.ResponseWriter, *http.Request) bool {
			target.Crash()
			time.Sleep(time.Second)
			return true
		})
	}
	for range 2 {
		got := f.send(f.gateways[0], call{method: "POST", path: "/pay/1", key: -1, body: "x"})
		assert.Equal(t, got.status, http.StatusBadGateway)
	}
	waittest.Until(t, "both crashes are logged", func() bool { return strings.Count(f.log.String(), `"target crashed"`) == 2 })
	_, after, _ := strings.Cut(f.log.String(), " fingerprint=")
	fingerprint, _, _ := strings.Cut(after, " ")
	assert.Equal(t, len(fingerprint), 32)
	assert.Equal(t, strings.Count(f.log.String(), " fingerprint="+fingerprint), 2)
	assert.Equal(t, strings.Count(f.log.String(), "fingerprints=["+fingerprint+"]"), 2)
}
