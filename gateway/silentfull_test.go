package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

// Guards against a request that a full target leaves without an answer, and that is answered as if it had not run, or behind
// which another request is sent on the same connection.
func TestRequestsThatAFullTargetNeverAnswers(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	full := f.targets["a"]
	full.Slots = 1
	full.SilenceWhenFull()
	full.Register(f.store) // with more slots than it has: the router sends more than fits
	full.SetServiceTime(300 * time.Millisecond)
	answers := make([]answer, 12)
	var sent sync.WaitGroup
	for i := range answers {
		sent.Go(func() {
			answers[i] = f.send(f.gateways[0], call{method: http.MethodPost, path: "/pay/1", key: -1, left: 700 * time.Millisecond})
		})
		time.Sleep(30 * time.Millisecond)
	}
	sent.Wait()
	arrived, unknown := map[string]int{}, 0
	for _, a := range full.Arrivals() {
		arrived[a.ID]++
	}
	for _, a := range answers {
		assert.NilError(t, a.err)
		assert.Assert(t, arrived[a.id] <= 1, "request %s was sent %d times", a.id, arrived[a.id])
		switch a.status {
		case http.StatusOK:
		case http.StatusGatewayTimeout, http.StatusBadGateway:
			unknown++
		default:
			assert.Equal(t, arrived[a.id], 0, "request %s was sent and answered %d", a.id, a.status)
		}
	}
	assert.Assert(t, unknown > 0, "no request was left without an answer")
	assertGivenUp(t, full, unknown)
	full.SetServiceTime(0)
	f.sendUntilServed(f.gateways[0], call{method: http.MethodPost, path: "/pay/1", key: -1})
}

// assertGivenUp checks that a number of requests were left without an answer, each on a connection of its own, which was reset.
func assertGivenUp(t *testing.T, target *platformtest.Target, want int) {
	t.Helper()
	waittest.Until(t, "the connections end", func() bool {
		for _, c := range target.Abandoned() {
			if !c.Ended {
				return false
			}
		}
		return true
	})
	abandoned := target.Abandoned()
	assert.Equal(t, len(abandoned), want)
	for _, c := range abandoned {
		assert.Assert(t, c.Reset && c.Further == 0, "%+v", c)
	}
}
