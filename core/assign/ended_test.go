package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// takeOverBesideLostTarget returns a new leader's path to targets of which "a" has lost its entry and "b" is there. It never learns
// when the leader before it stopped.
func takeOverBesideLostTarget(t *testing.T) *leaderPath {
	old := newSettled(t, "a", "b")
	now := after(placementQuietPeriod + time.Second)
	a := TakeOver(now, Config{OutageGrantTTL: 6 * time.Second, OldLeaderBound: 10 * time.Second}, "s", old.Table())
	a.SetTargets(now, testTargets("b"))
	a.SetDeparted(testTargets("a"))
	return newLeaderPath(a, now)
}

// Guards against keys that are refused for twelve seconds and more, until the last grant of a former leader has expired, although
// another target answers at their holder's address.
func TestKeysOfAnEndedTargetAreFreedBeforeExpiry(t *testing.T) {
	for name, replaced := range map[string]bool{"another target answers": true, "nobody answers": false} {
		t.Run(name, func(t *testing.T) {
			p := takeOverBesideLostTarget(t)
			p.replaced["a"], p.unreached["a"] = replaced, true
			p.run(200 * time.Millisecond)
			kept := keysPerTarget(p.a)["a"]
			assert.Equal(t, kept == 0, replaced, "%d keys are still assigned to the departed target", kept)
			p.run(p.a.cfg.OldLeaderBound + expiresAfter(p.a.cfg.OutageGrantTTL))
			assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"b": 1 << 16})
		})
	}
}

// Guards against keys that wait for the next try although a claim on their holder's address says that it may have ended.
func TestHolderWhoseAddressIsClaimedIsAskedAtOnce(t *testing.T) {
	p := takeOverBesideLostTarget(t)
	p.unreached["a"] = true
	p.run(3 * maxReleaseRetryDelay)
	delete(p.unreached, "a")
	p.replaced["a"] = true
	p.a.AskAgain([]keyspace.Holder{{Target: "a", StartUnixMilli: 1}})
	p.run(30 * time.Millisecond)
	assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"b": 1 << 16})
}

// Guards against a target that is given keys, and loses them without a release, after its address was another target's for a while.
func TestTargetThatHasItsAddressAgainReleasesItsKeys(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b"), after(2*time.Second))
	p.replaced["a"] = true
	p.run(time.Second)
	assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"b": 1 << 16})
	delete(p.replaced, "a")
	p.run(2 * maxProbeDelay)
	p.a.SetTargets(p.now, testTargets("a"))
	p.run(time.Second)
	assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"a": 1 << 16})
	p.silent["a"] = true
	p.a.SetTargets(p.now, testTargets("b"))
	p.run(time.Second)
	assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"a": 1 << 16})
}

// Guards against keys that nobody serves for up to sixteen seconds after a change of the leader, although their holder, whose
// entry is gone, runs on and would release them.
func TestNewLeaderHasDepartedHoldersReleaseTheirKeys(t *testing.T) {
	old := newSettled(t, "a", "b")
	now := after(placementQuietPeriod + time.Second)
	a := TakeOver(now, Config{OutageGrantTTL: 6 * time.Second, OldLeaderBound: 10 * time.Second}, "s", old.Table())
	a.SetTargets(now, testTargets("b"))
	a.SetDeparted(testTargets("a"))
	a.BoundOldLeader(OldLeaderBound{Until: now, LastGrant: now, LastLongGrant: now})
	runUntilIdle(a, now)
	assert.DeepEqual(t, keysPerTarget(a), map[string]int{"b": 1 << 16})
}

// Guards against keys with two holders: a holder that has released its keys to a new leader starts again and is granted them by the
// leader before.
func TestReleaseCountsOnceFormerLeadersHaveStopped(t *testing.T) {
	p := takeOverBesideLostTarget(t)
	stop := p.now.Add(3 * time.Second)
	p.run(time.Second)
	assert.Assert(t, keysPerTarget(p.a)["a"] > 0, "the holder may have started again since its release")
	p.a.BoundOldLeader(OldLeaderBound{Until: stop, LastGrant: stop, LastLongGrant: stop})
	for ; p.now.Before(stop); p.run(100 * time.Millisecond) {
		assert.Assert(t, keysPerTarget(p.a)["a"] > 0, "%v before former leaders stop", stop.Sub(p.now))
	}
	p.run(100 * time.Millisecond)
	assert.DeepEqual(t, keysPerTarget(p.a), map[string]int{"b": 1 << 16})
}

// Guards against keys that nobody serves while they can't be moved yet, because their holder has begun to leave.
func TestKeysStayServedUntilFormerLeadersHaveStopped(t *testing.T) {
	old := newSettled(t, "a", "b", "c", "d")
	now := after(placementQuietPeriod + time.Second)
	p := newLeaderPath(TakeOver(now, Config{OldLeaderBound: 2 * time.Second}, "s", old.Table()), now)
	p.a.SetTargets(now, draining("a"))
	p.run(1900 * time.Millisecond)
	for i := range p.a.spans {
		assert.Assert(t, p.a.spans[i].acked && !p.a.spans[i].Moving, "%+v", p.a.spans[i])
	}
	p.run(300 * time.Millisecond)
	assert.Equal(t, keysPerTarget(p.a)["a"], 0)
}
