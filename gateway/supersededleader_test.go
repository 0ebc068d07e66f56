package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

// holdsAny reports whether the target holds any of restoreKeys.
func holdsAny(target *platformtest.Target) bool {
	for _, k := range restoreKeys {
		if target.Holds(keyspace.Key(k)) {
			return true
		}
	}
	return false
}

// restartReleasedTarget has the holder of a key lose its entry, release its keys to a leader other than the given one and start again
// unseen by the store. No key may have two holders.
func (f *fleet) restartReleasedTarget(t *testing.T, old *Gateway, holder *platformtest.Target) {
	t.Helper()
	watch := f.watchDoubleHolders()
	holder.Unregister(f.store)
	waittest.Until(t, "another router leads", func() bool { return f.leaderOtherThan(old) != nil })
	waittest.Until(t, "the target has released its keys", func() bool { return !holdsAny(holder) })
	holder.RestartUnseen()
	time.Sleep(3 * time.Second)
	watch.assertNone(t)
	assert.Assert(t, f.holder(testKey) != "" && f.holder(testKey) != holder.ID)
}

func newSupersededFleet(t *testing.T) (f *fleet, leader *Gateway, holder *platformtest.Target) {
	t.Helper()
	f = newFleet(t, 4, keyedConfig, keyedTarget("a"), keyedTarget("b"), keyedTarget("c"))
	waittest.Until(t, "the keys are held", func() bool { return f.holder(testKey) != "" })
	return f, f.leader(), f.targets[f.holder(testKey)]
}

// Guards against keys with two holders: a leader that the store turns away goes on renewing the grants of a target that has released
// its keys to the next leader, and has started again since, unseen by the store.
func TestSupersededLeaderGrantsNothingToARestartedTarget(t *testing.T) {
	for range 3 {
		f, old, holder := newSupersededFleet(t)
		f.links[old.opts.Name].cut.Store(true)
		time.Sleep(leaderTTL / 2)
		f.restartReleasedTarget(t, old, holder)
	}
}

// Guards against the same after a planned stop: the store ends the lease of the leader that stops, and its answer is lost.
func TestLeaderWhoseLeaseEndIsNotAnsweredGivesNoOrders(t *testing.T) {
	for range 3 {
		f, old, holder := newSupersededFleet(t)
		f.links[old.opts.Name].leaseOnly.Store(true)
		holder.Unregister(f.store)
		go old.Stop()
		f.restartReleasedTarget(t, old, holder)
	}
}
