package gateway

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/platform"
)

// Each key is served by the one target that holds it, whichever router gets the request.
func TestKeysAreServedByTheirHolder(t *testing.T) {
	f := newFleet(t, 2, keyedConfig, keyedTarget("a"), keyedTarget("b"), keyedTarget("c"))
	seen := map[string]bool{}
	waittest.Until(t, "all keys have a holder", func() bool { return f.holder(0) != "" && f.holder(keyspace.LastKey) != "" })
	for k := 0; k <= int(keyspace.LastKey); k += 5000 {
		for _, g := range f.gateways {
			got := f.sendUntilServed(g, call{method: "GET", path: "/read/1", key: k})
			holder := f.holder(keyspace.Key(k))
			assert.Equal(t, got.body, holder+" ran "+got.id)
			seen[holder] = true
		}
	}
	assert.Equal(t, len(seen), 3, "all targets hold keys: %v", seen)
	got := f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1})
	assert.Equal(t, got.status, http.StatusBadRequest, "a request without a key")
}

// Guards against keys that are unserved for seconds after the leader's process has crashed.
func TestAnotherRouterLeadsBeforeGrantsExpire(t *testing.T) {
	retryOnStall(t, func() error {
		f := newFleet(t, 3, keyedConfig, keyedTarget("a"), keyedTarget("b"))
		f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 7})
		f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 65000})
		old := f.leader()
		abandon(old)
		var other *Gateway
		for _, g := range f.gateways {
			if g != old {
				other = g
			}
		}
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, key := range []int{7, 65000} {
				if got := f.send(other, call{method: "GET", path: "/read/1", key: key}); got.status != http.StatusOK {
					return errors.Errorf("key %d: %d %s", key, got.status, got.body)
				}
			}
		}
		if l := f.leader(); l == nil || l == old {
			return errors.New("no other router leads")
		}
		return nil
	})
}

// Guards against a leader that has just started, knows the key table but no targets yet, and orders all
// targets to release their keys.
func TestLeaderReleasesNoKeysBeforeItKnowsTheTargets(t *testing.T) {
	f := newFleet(t, 1, keyedConfig, keyedTarget("a"), keyedTarget("b"))
	keys := []int{7, 30000, 65000}
	holders := map[int]string{}
	for _, key := range keys {
		f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: key})
		holders[key] = f.holder(keyspace.Key(key))
	}
	abandon(f.gateways[0])
	f.slowPrefix = platform.TargetPrefix
	g := f.start("router-1")
	waittest.Until(t, "it leads", func() bool { return f.leader() == g })
	for _, key := range keys {
		f.sendUntilServed(g, call{method: "GET", path: "/read/1", key: key})
		assert.Equal(t, f.holder(keyspace.Key(key)), holders[key])
	}
	assert.Assert(t, !strings.Contains(f.log.String(), "kind=release"), "keys were taken")
}

// A draining target hands its keys over and gets no new work.
func TestDrainingTargetHandsItsKeysOver(t *testing.T) {
	f := newFleet(t, 2, keyedConfig, keyedTarget("a"), keyedTarget("b"))
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
	leaving := f.targets[f.holder(100)]
	leaving.Drain(f.store)
	waittest.Until(t, "another target holds the key", func() bool {
		holder := f.holder(100)
		return holder != "" && holder != leaving.ID
	})
	f.sendUntilServed(f.gateways[1], call{method: "GET", path: "/read/1", key: 100})
	before := len(leaving.Runs())
	for range 50 {
		f.sendUntilServed(f.gateways[1], call{method: "GET", path: "/read/1", key: 100})
	}
	assert.Equal(t, len(leaving.Runs()), before)
}

// Guards against keys of a crashed target that are never served again.
func TestKeysOfACrashedTargetMoveOnceTheirGrantHasExpired(t *testing.T) {
	f := newFleet(t, 1, keyedConfig, keyedTarget("a"), keyedTarget("b"))
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
	lost := f.targets[f.holder(100)]
	lost.Close()
	began := time.Now()
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
	assert.Assert(t, time.Since(began) < 6*time.Second, "after %v", time.Since(began))
}

// A target that was restarted under the same ID holds nothing, and its keys are granted again.
func TestRestartedTargetIsGrantedItsKeysAgain(t *testing.T) {
	f := newFleet(t, 1, keyedConfig, keyedTarget("a"))
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
	f.targets["a"].Restart(f.store)
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
}

// While the store refuses all calls, requests are served and grants renewed.
func TestRequestsAndGrantsContinueDuringAStoreOutage(t *testing.T) {
	retryOnStall(t, func() error {
		f := newFleet(t, 2, keyedConfig, keyedTarget("a"), keyedTarget("b"))
		keys := []int{100, 65000}
		for _, key := range keys {
			f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: key})
		}
		f.store.Refuse(http.StatusServiceUnavailable)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for i, key := range keys {
				if got := f.send(f.gateways[i], call{method: "GET", path: "/read/1", key: key}); got.status != http.StatusOK {
					return errors.Errorf("key %d: %d %s", key, got.status, got.body)
				}
			}
		}
		f.store.Refuse(0)
		f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
		return nil
	})
}

// Guards against a router that applies an older or undecodable configuration.
func TestConfigurationNeverReverts(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	g := f.gateways[0]
	f.configure(plainConfig)
	waittest.Until(t, "the second configuration is in force", func() bool { return g.view.Load().config.Version == 6 })
	f.store.Put(platform.ConfigKey, []byte(`{"version":"00000003",`+plainConfig+`}`))
	f.store.Put(platform.ConfigKey, []byte(`{"version":`))
	f.configure(plainConfig)
	waittest.Until(t, "the third configuration is in force", func() bool { return g.view.Load().config.Version == 9 })
	assert.Equal(t, f.send(g, call{method: "GET", path: "/read/1", key: -1}).status, http.StatusOK)
}

// Guards against routers that serve with an old configuration for many seconds, because the store has
// not reported the change to their watches and then compacts its history, without an error on any
// connection.
func TestChangeMissedByWatchesIsFoundAfterCompaction(t *testing.T) {
	f := newFleet(t, 3, plainConfig, plainTarget("a"))
	time.Sleep(300 * time.Millisecond)
	f.store.SuppressEvents()
	f.configure(plainConfig)
	time.Sleep(100 * time.Millisecond)
	f.store.Compact()
	heartbeat := time.NewTicker(200 * time.Millisecond)
	defer heartbeat.Stop()
	began := time.Now()
	for _, g := range f.gateways {
		waittest.Until(t, "the configuration is in force", func() bool {
			select {
			case <-heartbeat.C:
				f.targets["a"].Register(f.store)
			default:
			}
			return g.view.Load().config.Version == 6
		})
	}
	assert.Assert(t, time.Since(began) < 3*time.Second, "after %v", time.Since(began))
}

// Target entries that can't be decoded are ignored, and don't affect other targets.
func TestUndecodableTargetEntriesAreIgnored(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.store.Put(platform.TargetPrefix+"x", []byte{0xff})
	f.store.Put(platform.TargetPrefix+"y", []byte(`{"address":3}`))
	f.add(plainTarget("b"))
	waittest.Until(t, "the second target is known", func() bool {
		f.gateways[0].mu.RLock()
		defer f.gateways[0].mu.RUnlock()
		return len(f.gateways[0].targets) == 2
	})
}

// In a planned stop, requests in flight and new requests that still arrive are answered, and the answers
// announce the end of the connection.
func TestPlannedStopCutsOffNoRequests(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	g := f.gateways[0]
	f.targets["a"].SetServiceTime(700 * time.Millisecond)
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.sendAs(g, call{method: "POST", path: "/pay/1", key: -1, body: "x"}, "under-way") }()
	waittest.Until(t, "the request runs", func() bool { return len(f.targets["a"].Runs()) == 1 })
	stopped := make(chan int, 1)
	go func() { stopped <- g.Stop() }()
	waittest.Until(t, "the gateway is not ready", func() bool {
		resp, err := http.Get("http://" + g.readyListener.Addr().String() + platform.ReadyPath)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	late := f.sendAs(g, call{method: "POST", path: "/pay/2", key: -1, body: "x"}, "late")
	assert.Equal(t, late.status, http.StatusOK)
	got := <-inFlight
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, <-stopped, 0)
}

// Guards against connections that are reset without an answer in a planned stop: a request arrives
// shortly before the router stops listening, and takes longer than the rest of the grace.
func TestRequestsThatOutlastTheGraceAreAnswered(t *testing.T) {
	f := newFleet(t, 1, strings.ReplaceAll(plainConfig, `"timeout":"1000ms"`, `"timeout":"60000ms"`), plainTarget("a"))
	g := f.gateways[0]
	f.targets["a"].SetServiceTime(5 * time.Second)
	answers := make(chan answer, 2)
	for _, c := range []call{{method: "GET", path: "/read/1", key: -1}, {method: "POST", path: "/pay/1", key: -1, body: "x"}} {
		c.left = time.Minute
		go func() { answers <- f.sendAs(g, c, "id-"+c.method) }()
	}
	waittest.Until(t, "both run", func() bool { return len(f.targets["a"].Runs()) == 2 })
	assert.Equal(t, g.Stop(), 2)
	for range 2 {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusGatewayTimeout, "%s", got.id)
	}
}

// A stopping leader gives up leadership at once.
func TestStoppingLeaderGivesUpLeadershipAtOnce(t *testing.T) {
	f := newFleet(t, 2, keyedConfig, keyedTarget("a"))
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
	old := f.leader()
	go old.Stop()
	began := time.Now()
	waittest.Until(t, "another router leads", func() bool { l := f.leader(); return l != nil && l != old })
	assert.Assert(t, time.Since(began) < time.Second, "after %v", time.Since(began))
}

// Guards against keys that are unserved from two seconds after the stop of the leader until the store
// recovers: the store fails, and the leader is stopped before it has noticed.
func TestStoppingLeaderKeepsLeadingDuringAStoreOutage(t *testing.T) {
	retryOnStall(t, func() error {
		f := newFleet(t, 3, keyedConfig, keyedTarget("a"))
		f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: 100})
		old := f.leader()
		other := f.gateways[0]
		if other == old {
			other = f.gateways[1]
		}
		f.store.Refuse(http.StatusServiceUnavailable)
		go old.Stop()
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if got := f.send(other, call{method: "GET", path: "/read/1", key: 100}); got.status != http.StatusOK {
				return errors.Errorf("%d %s", got.status, got.body)
			}
		}
		f.store.Refuse(0)
		waittest.Until(t, "another router leads", func() bool { l := f.leader(); return l != nil && l != old })
		return nil
	})
}

// Guards against a stopped router that is counted for another ten seconds, because it removes its record
// and its next renewal writes the record again.
func TestRouterThatStopsIsNotCounted(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	g := f.gateways[1]
	waittest.Until(t, "its record exists", func() bool { return f.store.Value(routerPrefix+g.opts.Name) != nil })
	go g.Stop()
	waittest.Until(t, "its record is gone", func() bool { return f.store.Value(routerPrefix+g.opts.Name) == nil })
	for end := time.Now().Add(memberRenewInterval + 300*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, f.store.Value(routerPrefix+g.opts.Name) == nil)
	}
}

// The number of store calls doesn't grow with the targets' heartbeats, because followers don't watch them.
func TestFollowersDoNotWatchTargets(t *testing.T) {
	f := newFleet(t, 4, plainConfig, plainTarget("a"))
	waittest.Until(t, "all others are subscribed", func() bool {
		subscribed := 0
		for _, g := range f.gateways {
			g.subscription.mu.Lock()
			if g.subscription.subscribed {
				subscribed++
			}
			g.subscription.mu.Unlock()
		}
		return subscribed == 3
	})
	time.Sleep(400 * time.Millisecond) // the calls of the start have ended
	retryOnStall(t, func() error {
		before := f.store.Calls()
		for range 20 {
			f.targets["a"].Register(f.store)
			time.Sleep(50 * time.Millisecond)
		}
		after := f.store.Calls()
		for name := range after {
			after[name] -= before[name]
		}
		if n := after["kv-watch "+platform.TargetPrefix]; n < 1 || n > 4 {
			return errors.Errorf("only the leader should watch the targets, with pauses: %v", after)
		}
		// The leader alone begins so many watches of the configuration in the second that the loop takes.
		leaderWatches := int(math.Ceil(float64(time.Second) / float64(configWatchWait)))
		if after["kv-watch "+leaderPrefix] > 1 || after["kv-watch "+platform.ConfigPrefix] > leaderWatches {
			return errors.Errorf("too many watches for rare changes: %v", after)
		}
		return nil
	})
}

// Guards against a router that uses a whole core and calls the store all the time while the store is
// down: the store refuses all calls, there is no leader, and each failed campaign was immediately
// followed by the next.
func TestFailedCampaignIsNotRepeatedWithoutPause(t *testing.T) {
	f := newFleet(t, 0, "")
	f.store.Put(leaderKey, []byte("other 127.0.0.1:1"))
	f.start("router-0")
	waittest.Until(t, "the fleet's records are read", func() bool { return f.store.Calls()["kv-range "+leaderPrefix] > 0 })
	f.store.Refuse(http.StatusServiceUnavailable)
	f.gateways[0].leader.duty.Tell(&leaderStatus{})
	before := f.store.Calls()
	time.Sleep(1500 * time.Millisecond)
	after := f.store.Calls()
	assert.Assert(t, after["kv-lease"]-before["kv-lease"] <= 12, "%v", after)
}

var _ kv.TxnStore = (*platform.Store)(nil)
