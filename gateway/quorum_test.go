package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

const expiredLongAgo = -time.Hour

// An old leader that renews without the store and a new one that believes it has stopped
// never go together, also while the number of routers grows by up to two fifths. The routers that
// back the old one are the first and those that follow the new one the last, so that they
// have as few in common as may be.
func TestBackingAndJoiningExcludeEachOther(t *testing.T) {
	const now = time.Hour
	name := func(i int) string { return string(rune('a' + i)) }
	for before := 2; before <= 24; before++ {
		for after := before; after <= before+before*2/5; after++ {
			for backers := range before {
				old := newQuorum(name(0), expiredLongAgo)
				for i := 1; i <= backers; i++ {
					old.recordPromise(name(i), now+time.Second)
				}
				left := old.reachedFor(now, before)
				assert.Equal(t, left == time.Second, backers+1 >= int(math.Ceil(quorumShare*float64(before))))
				promise := func(i int) time.Duration {
					if i <= backers {
						return now + time.Second
					}
					return expiredLongAgo
				}
				next := newQuorum(name(after-1), promise(after-1))
				for i := after - 2; i > 0; i-- {
					ok, ends := next.addFollower(name(i), promise(i), after)
					assert.Assert(t, !ok || left == 0 || ends > now, "%d routers, then %d; %d back", before, after, backers)
				}
			}
		}
	}
}

func TestPromisesToTheOldLeaderAreWaitedOut(t *testing.T) {
	b := newQuorum("a", expiredLongAgo)
	ok, _ := b.addFollower("b", 5*time.Second, 4)
	assert.Assert(t, !ok)
	ok, until := b.addFollower("c", time.Second, 4)
	assert.Assert(t, ok)
	assert.Equal(t, until, 5*time.Second)
}

// Guards against a router that has just started, leads, and takes itself for the whole fleet.
func TestRouterThatHasCountedNobodyIsNotBacked(t *testing.T) {
	b := newQuorum("a", expiredLongAgo)
	assert.Assert(t, !b.reached(0, 0))
	ok, _ := b.addFollower("b", expiredLongAgo, 0)
	assert.Assert(t, !ok)
	ok, _ = b.recheck(0)
	assert.Assert(t, !ok)
	ok, _ = b.recheck(3)
	assert.Assert(t, ok)
	assert.Assert(t, !b.reached(0, 3))
	assert.Assert(t, b.reached(0, 1))
}

// Symptom: after the leader is lost, keys of targets that are lost soon after it are
// unserved for ten seconds.
// Sequence: one of ten routers began shortly before and doesn't know what it promised.
func TestOneRouterWithoutMemoryDoesNotCount(t *testing.T) {
	b := newQuorum("a", expiredLongAgo)
	for i := range 9 {
		until := time.Duration(expiredLongAgo)
		if i == 0 {
			until = time.Hour
		}
		ok, ends := b.addFollower(string(rune('b'+i)), until, 10)
		assert.Equal(t, ok, i >= 4)
		if ok {
			assert.Equal(t, ends == expiredLongAgo, i >= 6, "%d follow", i+2)
		}
	}
}

// Symptom: two targets hold a key for a fraction of a second.
// Sequence: a leader without the store gives a long grant at the very end of its backing;
// those that backed it then follow another, to which the holder doesn't answer.
// Cause: the new leader reckons with the shorter grants that a leader alone gives.
func TestLongGrantAtTheEndOfABackingIsWaitedOut(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, promised := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 3 * time.Second} {
		a := takeOverTable(now)
		a.OldLeaderStops(oldLeaderDeadlinesAt(now, promised).normal, oldLeaderDeadlinesAt(now, promised).outage)
		assertHolderUntil(t, a, now, now.Add(promised+assign.WireDelay+outageGrantTTL))
	}
}

func takeOverTable(now time.Time) *assign.Assigner {
	table := keyspace.New("s")
	table.Segments[0].Holder = keyspace.Holder{Target: "a"}
	return assign.TakeOver(now, assign.Config{LongHold: outageGrantTTL, OldLeader: orderLimitWithQuorum}, "s", table)
}

func assertHolderUntil(t *testing.T, a *assign.Assigner, now, until time.Time) {
	t.Helper()
	for at := now; at.Before(until); at = at.Add(50 * time.Millisecond) {
		a.Step(at)
		assert.Equal(t, a.Table().Find(0).Target, "a", "%v after", at.Sub(now))
	}
}

// Symptom: the keys of a target that a new leader doesn't reach are unserved for 20 s.
// Sequence: the leader is lost, no router was without the store, and none began of late.
func TestShortGrantsAreNotWaitedOutAsLongOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	a := takeOverTable(now)
	stops := oldLeaderDeadlinesAt(now, -time.Minute)
	a.OldLeaderStops(stops.normal, stops.outage)
	assertHolderUntil(t, a, now, now.Add(orderLimitWithoutQuorum+assign.DefaultHold))
	a.Step(now.Add(orderLimitWithoutQuorum + assign.DefaultHold + 200*time.Millisecond))
	assert.Equal(t, a.Table().Find(0).Target, "")
}

// A router that has just begun may have backed a leader in its life before.
func TestWhatWasPromisedBeforeTheStartIsNotKnown(t *testing.T) {
	f := &subscription{started: time.Now().Add(-3 * time.Second)}
	about := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got > want-time.Second && got <= want, "%v", got)
	}
	about(f.promisedToOther(leaderStatus{revision: 7}), -3*time.Second)
	f.recordPromise(leaderStatus{revision: 6}, time.Now().Add(time.Second))
	about(f.promisedToOther(leaderStatus{revision: 7}), time.Second)
	about(f.promisedToOther(leaderStatus{revision: 6}), -3*time.Second)
	f.recordPromise(leaderStatus{revision: 6}, time.Now().Add(-time.Second))
	about(f.promisedToOther(leaderStatus{revision: 7}), -time.Second)
}

func TestWeakRoutersAskForTheLeadLater(t *testing.T) {
	for _, share := range []float64{0, 0.32, 1} {
		assert.Assert(t, campaignDelay(share, 12) < 12*campaignSpreadPerRouter)
		assert.Assert(t, campaignDelay(share, 1000) < maxCampaignSpread)
	}
	assert.Assert(t, campaignDelay(0.16, 12) >= lowCPUCampaignDelay)
	assert.Assert(t, campaignDelay(0.16, 12) > maxCampaignSpread, "a small VM asks after the last of the others")
	assert.Assert(t, campaignDelay(1, 0) < campaignSpreadPerRouter)
}

// Symptom: a router that has just begun to lead stops assigning keys.
// Sequence: targets change between the begin of its term and the answer of the store with
// the division of the keys.
func TestTargetsMayChangeWhileTheDivisionIsRead(t *testing.T) {
	l := &leader{term: &term{services: map[string]*serviceAssignment{"s": {}}}}
	l.setTargets(&targetStatus{targets: []directory.Target{{ID: "a", Service: "s"}}})
	assert.Equal(t, len(l.targets.targets), 1)
}
