package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// An old leader that renews without the store and a new one that believes it has stopped
// never go together, also while the number of routers grows by up to half.
func TestBackingAndJoiningExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.IntRange(2, 40).Draw(t, "routers")
		after := before + rapid.IntRange(0, before/2).Draw(t, "more")
		old, next := newBacking(), newBacking()
		now := time.Hour
		follow, promised := false, time.Duration(0)
		for i := 1; i < after; i++ {
			name := string(rune('a' + i))
			backs := i < before && rapid.Bool().Draw(t, "backs")
			if backs {
				old.back(name, now+time.Second) // it follows no other leader until then
			}
			switch {
			case i == 1 && backs: // the next leader itself
				next.promised = now + time.Second
			case i > 1 && !backs:
				follow, promised = next.join(name, 0, after)
			}
		}
		joined := follow && promised <= now
		assert.Assert(t, !(old.backed(now, before) && joined), "%d routers, then %d", before, after)
		assert.Assert(t, !old.backed(now+time.Second, before) || before == 1)
		if left := old.backedFor(now, before); left > 0 {
			assert.Assert(t, old.backed(now+left-1, before) && (left > time.Second || !old.backed(now+left, before)))
		}
	})
}

func TestPromisesToTheOldLeaderAreWaitedOut(t *testing.T) {
	b := newBacking()
	ok, _ := b.join("b", 5*time.Second, 4)
	assert.Assert(t, !ok)
	ok, until := b.join("c", time.Second, 4)
	assert.Assert(t, ok)
	assert.Equal(t, until, 5*time.Second)
}

// Symptom: two targets hold a key for a fraction of a second.
// Sequence: a leader without the store gives a long grant at the very end of its backing;
// those that backed it then follow another, to which the holder doesn't answer.
// Cause: the new leader reckons with the shorter grants that a leader alone gives.
func TestLongGrantAtTheEndOfABackingIsWaitedOut(t *testing.T) {
	const long = 4 * time.Second
	now := time.Unix(1000, 0)
	for _, promised := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 3 * time.Second} {
		table := keyspace.New("s")
		table.Segments[0].Holder = keyspace.Holder{Target: "a"}
		a := assign.TakeOver(now, assign.Config{LongHold: long, OldLeader: oldLeaderBound}, "s", table)
		a.OldLeaderStops(oldLeaderStops(now, promised, long)...)
		a.Step(now)
		lastHeld := now.Add(max(promised, 0) + assign.WireDelay + long)
		for at := now; at.Before(lastHeld); at = at.Add(50 * time.Millisecond) {
			a.Step(at)
			assert.Equal(t, a.Table().Find(0).Target, "a", "%v after, promised %v", at.Sub(now), promised)
		}
	}
}

func TestWeakRoutersAskForTheLeadLater(t *testing.T) {
	for _, share := range []float64{0, 0.32, 1} {
		assert.Assert(t, campaignAfter(share, 12) < 12*campaignSpread)
		assert.Assert(t, campaignAfter(share, 1000) < mostSpread)
	}
	assert.Assert(t, campaignAfter(0.16, 12) >= weakPause)
	assert.Assert(t, campaignAfter(1, 0) < campaignSpread)
}

// Symptom: a router that has just begun to lead stops assigning keys.
// Sequence: targets change between the begin of its term and the answer of the store with
// the division of the keys.
func TestTargetsMayChangeWhileTheDivisionIsRead(t *testing.T) {
	l := &leader{term: &term{post: map[string]*post{"s": {}}}}
	l.setTargets([]directory.Target{{ID: "a", Service: "s"}})
	assert.Equal(t, len(l.targets), 1)
}
