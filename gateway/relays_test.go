package gateway

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

// lostPaths returns the number of targets that the gateway doesn't reach directly.
func (g *Gateway) lostPaths() int {
	g.paths.mu.Lock()
	defer g.paths.mu.Unlock()
	return len(g.paths.tracker.Lost())
}

// cutFollower returns a fleet of two gateways, of which the one that follows is cut off from all targets and
// serves its callers through the leader.
func cutFollower(t *testing.T, targets ...*platformtest.Target) (f *fleet, cut, leader *Gateway) {
	t.Helper()
	f = newCuttableFleet(t, 2, targets...)
	leader = f.leader()
	cut = f.gateways[0]
	if cut == leader {
		cut = f.gateways[1]
	}
	f.sendUntilServed(cut, call{method: "GET", path: "/read/1", key: -1})
	f.paths[cut.opts.Name].Sever(platformtest.Reset)
	f.sendUntilServed(cut, call{method: "GET", path: "/read/1", key: -1})
	waittest.Until(t, "the paths count as lost", func() bool {
		f.send(cut, call{method: "GET", path: "/read/1", key: -1})
		return cut.lostPaths() == len(targets)
	})
	return f, cut, leader
}

// relayedRequests counts the requests that were sent through another router.
func (f *fleet) relayedRequests() int { return strings.Count(f.log.String(), "msg=relayed ") }

// Guards against hops, connections and messages between routers while nothing is cut, also beside a target
// that crashes.
func TestNothingIsRelayedWhereNothingIsCut(t *testing.T) {
	f := newFleet(t, 3, mixedConfig, mixedTargets()...)
	f.awaitServed()
	load := startLoad(f)
	time.Sleep(measuredTime)
	f.targets["p0"].Crash()
	time.Sleep(measuredTime)
	load.end()
	for _, line := range []string{"msg=relayed ", "relays changed", "paths to targets lost", "reach compared"} {
		assert.Check(t, !strings.Contains(f.log.String(), line), line)
	}
}

// Guards against a router that sends through others for good after its own path was cut for a while.
func TestCutRouterReturnsToItsOwnPath(t *testing.T) {
	f, cut, _ := cutFollower(t, plainTarget("p0"), plainTarget("p1"), plainTarget("p2"))
	f.paths[cut.opts.Name].Restore()
	waittest.Until(t, "no path is lost", func() bool { return cut.lostPaths() == 0 })
	before := f.relayedRequests()
	assert.Assert(t, before > 0)
	for range 50 {
		got := f.send(cut, call{method: "GET", path: "/read/1", key: -1})
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, f.relayedRequests(), before)
}

// Guards against a detour that grows: a router whose own path is cut too takes nothing on for others, and
// requests that nobody could send are refused at once.
func TestRoutersThatReachNothingRefuseAtOnce(t *testing.T) {
	f, cut, leader := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	f.paths[leader.opts.Name].Sever(platformtest.Reset)
	waittest.Until(t, "requests are refused", func() bool {
		f.send(leader, call{method: "GET", path: "/read/1", key: -1})
		return f.send(cut, call{method: "GET", path: "/read/1", key: -1}).status == http.StatusServiceUnavailable
	})
	waittest.Until(t, "there is no relay", func() bool {
		f.send(leader, call{method: "GET", path: "/read/1", key: -1})
		cut.paths.mu.Lock()
		defer cut.paths.mu.Unlock()
		return len(cut.paths.relays) == 0
	})
	for range 20 {
		began := time.Now()
		got := f.send(cut, call{method: "GET", path: "/read/1", key: -1})
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "after %v", time.Since(began))
	}
}

// Guards against requests that are cut off by the planned stop of the router through which they go.
func TestRequestThroughAnotherRouterOutlivesItsStop(t *testing.T) {
	f, cut, leader := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	for _, other := range f.targets {
		other.SetServiceTime(800 * time.Millisecond)
	}
	ids := []string{f.newID(), f.newID(), f.newID(), f.newID()}
	answers := make(chan answer, len(ids))
	for _, id := range ids {
		go func() { answers <- f.sendAs(cut, call{method: "POST", path: "/pay/1", key: -1}, id) }()
	}
	for _, id := range ids {
		waittest.Until(t, "it runs", func() bool { return f.runsOf(id) > 0 })
	}
	assert.Assert(t, leader.relayServer.Conns() > 0)
	stopped := make(chan int, 1)
	go func() { stopped <- leader.Stop() }()
	for range ids {
		got := <-answers
		assert.Check(t, got.status == http.StatusOK, "%d %s", got.status, got.body)
	}
	assert.Equal(t, <-stopped, 0)
}

// Guards against a request that may run once, runs, and is called not run because the router through which
// it went was lost.
func TestRequestLostWithTheRouterOnItsWayMayHaveRun(t *testing.T) {
	f, cut, leader := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	for _, target := range f.targets {
		target.SetServiceTime(300 * time.Millisecond)
	}
	answers, id := make(chan answer, 1), f.newID()
	go func() { answers <- f.sendAs(cut, call{method: "POST", path: "/pay/1", key: -1}, id) }()
	waittest.Until(t, "it runs", func() bool { return f.runsOf(id) > 0 })
	abandon(leader)
	got := <-answers
	assert.Assert(t, got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "%d %s", got.status, got.body)
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, f.runsOf(id), 1)
}

// Guards against leaders that give way to each other for ever because the targets themselves are gone.
func TestLeaderOfLostTargetsGoesOnLeading(t *testing.T) {
	f := newFleet(t, 3, mixedConfig, mixedTargets()...)
	f.awaitServed()
	leader := f.leader()
	for _, id := range []string{"k0", "k1", "k2"} {
		f.targets[id].Crash()
	}
	waittest.Until(t, "the leader has compared itself with others", func() bool {
		return strings.Contains(f.log.String(), "reach compared with other routers")
	})
	time.Sleep(2 * time.Second)
	assert.Assert(t, f.leader() == leader)
	assert.Assert(t, !strings.Contains(f.log.String(), "leadership given up"))
}

// Guards against requests that a router goes on sending through one that stops, and that end with it.
func TestRequestsThroughARouterThatStopsAreNotCut(t *testing.T) {
	f, cut, leader := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	for _, target := range f.targets {
		target.SetServiceTime(600 * time.Millisecond)
	}
	var stopped atomic.Bool
	var late atomic.Int64
	var sending sync.WaitGroup
	for range 8 {
		sending.Go(func() {
			for !stopped.Load() {
				id := f.newID()
				got := f.sendAs(cut, call{method: "POST", path: "/pay/1", key: -1}, id)
				assert.Check(t, got.status == http.StatusOK || f.runsOf(id) == 0, "%s ran and got %d %v", id, got.status, got.err)
				if leader.stopping.Load() && got.status == http.StatusOK {
					late.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, leader.Stop(), 0)
	stopped.Store(true)
	sending.Wait()
	assert.Assert(t, late.Load() > 0)
}
