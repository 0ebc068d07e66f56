package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/duty"
	"tarragongw/internal/waittest"
	"tarragongw/peer/feed"
	"tarragongw/platform"
)

// newTestClusterState returns the state of a router that has not been started.
func newTestClusterState(t *testing.T) *clusterState {
	g, _ := idleGateway(t)
	g.log = slog.New(slog.DiscardHandler)
	g.opts.Adapter.TargetPrefix, g.opts.Mailbox = platform.TargetPrefix, defaultMailbox
	g.workers, g.system = duty.NewWorkers(g.lifetime), duty.NewSystem(g.log)
	g.paths = newPaths(g)
	g.pools = newPools(g.opts.Adapter.Dialect, nil, nil, nil)
	g.subscription = newSubscription(g)
	g.leader = newLeader(g)
	g.firstSync = make(chan struct{})
	g.state = newClusterState(g)
	return g.state
}

// Guards against a target that a router goes on sending to although it is gone, because it came and went between two
// readings of the leader, which never told of it.
func TestTargetThatTheLeaderNeverToldOfGoesWithItsNextUpdate(t *testing.T) {
	cs := newTestClusterState(t)
	ids := func() (ids []string) {
		for _, target := range cs.directory.Targets() {
			ids = append(ids, target.ID)
		}
		return ids
	}
	cs.directory.Replace(time.Now(), []directory.Target{{ID: "a", Revision: 3}, {ID: "short", Revision: 7}}, 7)
	cs.applyUpdate(&feed.Update{TargetsComplete: true, Targets: []directory.Target{{ID: "a", Revision: 3}}, TargetsRevision: 5})
	assert.DeepEqual(t, ids(), []string{"a", "short"})
	cs.applyUpdate(&feed.Update{Stale: true})
	assert.DeepEqual(t, ids(), []string{"a", "short"})
	cs.applyUpdate(&feed.Update{Targets: []directory.Target{{ID: "b", Revision: 9}}, TargetsRevision: 9})
	assert.DeepEqual(t, ids(), []string{"a", "b"})
}

// Guards against targets that routers lose for good after an outage of the store in which entries lapse: a router that has
// found them missing, and follows a leader for which they were never gone, is not told that they are back.
func TestEntriesThatLapseInAnOutageAreBackAtAllRouters(t *testing.T) {
	f := newFleet(t, 0, mixedConfig, mixedTargets()...)
	f.proxied = true
	for i := range 5 {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	f.awaitServed()
	f.cutStore(true)
	f.silenceFeeds(true)
	time.Sleep(minOutage + 2*time.Second)
	for _, target := range f.targets {
		target.Unregister(f.store)
	}
	f.cutStore(false)
	for _, g := range f.gateways {
		waittest.Until(t, "all have found the entries missing", func() bool { return !g.gate.isShut() && g.stateAge.age() < time.Second })
	}
	f.silenceFeeds(false)
	f.awaitSubscribed()
	for _, target := range f.targets {
		target.Register(f.store)
	}
	time.Sleep(directory.ReturnGrace)
	for _, g := range f.gateways {
		waittest.Until(t, g.opts.Name+" knows all targets", func() bool {
			g.mu.RLock()
			defer g.mu.RUnlock()
			return len(g.targets) == len(f.targets)
		})
	}
}

func (f *fleet) silenceFeeds(silent bool) {
	for _, proxy := range f.proxies {
		proxy.setSilent(silent)
	}
}
