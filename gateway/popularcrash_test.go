package gateway

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// popularCallers is how many callers keep the popular request in flight.
const popularCallers = 9

// Guards against a request that reaches many more targets because many copies of it are in flight at each.
func TestPopularRequestThatCrashesTargetsReachesFewMore(t *testing.T) {
	targets := newCrashingTargets(6, keyedTarget)
	var mu sync.Mutex
	var reached []time.Time
	for _, target := range targets.all {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == deadlyPath && target.Holds(testKey) {
				mu.Lock()
				reached = append(reached, time.Now())
				mu.Unlock()
			}
			return targets.handle(target, r)
		})
	}
	f := newFleet(t, 3, keyedConfig, targets.all...)
	f.sendUntilServed(f.gateways[0], call{method: http.MethodGet, path: "/read/ordinary", key: testKey})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range popularCallers {
		callers.Go(func() {
			for !isClosed(stop) {
				f.send(f.gateways[n%len(f.gateways)], call{method: http.MethodGet, path: deadlyPath, key: testKey})
				time.Sleep(timeToCrash / 2)
			}
		})
	}
	waittest.Until(t, "three targets have crashed", func() bool { return targets.crashed() >= crashThreshold })
	time.Sleep(stabilityWindow)
	close(stop)
	callers.Wait()
	slices.SortFunc(reached, time.Time.Compare)
	known := reached[crashThreshold-1].Add(timeToCrash)
	more := 0
	for _, at := range reached {
		t.Logf("reached a target %v after three copies had crashed one", at.Sub(known))
		if at.Sub(known) > stabilityWindow {
			more++
		}
	}
	assert.Assert(t, more <= maxSendsAfter, "reached targets %d times more", more)
}
