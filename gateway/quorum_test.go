package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/internal/waittest"
	"tarragongw/peer/feed"
)

const expiredLongAgo = -time.Hour

// Once a new leader expects the old one to have stopped, the old leader has no quorum, even while the
// number of routers grows by up to two fifths. The first routers make promises to the old leader and the
// last ones follow the new leader, so that they have as few routers in common as possible.
func TestOldLeaderHasNoQuorumAfterTheNewLeaderExpectsItToStop(t *testing.T) {
	const now = time.Hour
	name := func(i int) string { return string(rune('a' + i)) }
	for before := 2; before <= 24; before++ {
		for after := before; after <= before+before*2/5; after++ {
			for promiseCount := range before {
				old := newQuorum(name(0), expiredLongAgo)
				for i := 1; i <= promiseCount; i++ {
					old.recordPromise(name(i), now+time.Second)
				}
				left := old.reachedFor(now, before)
				assert.Equal(t, left == time.Second, promiseCount+1 >= int(math.Ceil(quorumShare*float64(before))))
				promise := func(i int) time.Duration {
					if i <= promiseCount {
						return now + time.Second
					}
					return expiredLongAgo
				}
				next := newQuorum(name(after-1), promise(after-1))
				for i := after - 2; i > 0; i-- {
					ok, ends := next.addFollower(name(i), promise(i), after)
					assert.Assert(t, !ok || left == 0 || ends > now, "%d routers, then %d; %d promises", before, after, promiseCount)
				}
			}
		}
	}
}

func TestPromisesToTheOldLeaderAreWaitedOut(t *testing.T) {
	q := newQuorum("a", expiredLongAgo)
	ok, _ := q.addFollower("b", 5*time.Second, 4)
	assert.Assert(t, !ok)
	ok, until := q.addFollower("c", time.Second, 4)
	assert.Assert(t, ok)
	assert.Equal(t, until, 5*time.Second)
}

// Guards against a leader that has just started and takes itself for a quorum of the whole fleet.
func TestNoQuorumWhileTheNumberOfRoutersIsUnknown(t *testing.T) {
	q := newQuorum("a", expiredLongAgo)
	assert.Assert(t, !q.reached(0, 0))
	ok, _ := q.addFollower("b", expiredLongAgo, 0)
	assert.Assert(t, !ok)
	ok, _ = q.recheck(0)
	assert.Assert(t, !ok)
	ok, _ = q.recheck(3)
	assert.Assert(t, ok)
	assert.Assert(t, !q.reached(0, 3))
	assert.Assert(t, q.reached(0, 1))
}

// Guards against keys that are unserved for ten seconds if their target is lost soon after the leader,
// because one of ten routers was started shortly before and doesn't know its promises.
func TestOneRestartedRouterDoesNotDelayTheNewLeader(t *testing.T) {
	q := newQuorum("a", expiredLongAgo)
	for i := range 9 {
		until := time.Duration(expiredLongAgo)
		if i == 0 {
			until = time.Hour
		}
		ok, ends := q.addFollower(string(rune('b'+i)), until, 10)
		assert.Equal(t, ok, i >= 4)
		if ok {
			assert.Equal(t, ends == expiredLongAgo, i >= 6, "%d follow", i+2)
		}
	}
}

// Guards against two targets that hold a key for a fraction of a second. A leader without the store gives
// a grant with outageGrantTTL at the very end of the promises to it; the routers that made the promises
// then follow another leader, to which the holder doesn't answer. The new leader must not assume the
// shorter TTL of a leader without a quorum.
func TestOutageGrantAtTheEndOfAPromiseIsWaitedOut(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, promised := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 3 * time.Second} {
		a := takeOverTable(now)
		a.BoundOldLeader(oldLeaderBoundAt(now, promised))
		assertHolderUntil(t, a, now, now.Add(promised+assign.LateArrivalBound+outageGrantTTL))
	}
}

func takeOverTable(now time.Time) *assign.Assigner {
	table := keyspace.New("s")
	table.Segments[0].Holder = keyspace.Holder{Target: "a"}
	return assign.TakeOver(now, assign.Config{OutageGrantTTL: outageGrantTTL, OldLeaderBound: orderLimitWithQuorum}, "s", table)
}

func assertHolderUntil(t *testing.T, a *assign.Assigner, now, until time.Time) {
	t.Helper()
	for at := now; at.Before(until); at = at.Add(50 * time.Millisecond) {
		a.Step(at)
		assert.Equal(t, a.Table().Find(0).Target, "a", "%v after", at.Sub(now))
	}
}

// Guards against keys that are unserved for 20 s if the new leader doesn't reach their target: the leader
// was lost while all routers reached the store, and none of them was started recently.
func TestNormalGrantsAreNotWaitedOutAsOutageGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	a := takeOverTable(now)
	a.BoundOldLeader(oldLeaderBoundAt(now, -time.Minute))
	assertHolderUntil(t, a, now, now.Add(assign.LateArrivalBound+assign.DefaultGrantTTL))
	a.Step(now.Add(assign.LateArrivalBound + assign.DefaultGrantTTL + 200*time.Millisecond))
	assert.Equal(t, a.Table().Find(0).Target, "")
}

// Guards against a leader that is taken for superseded while it still counts on the promise of a router that has restarted: the
// router may have made one right before its start.
func TestPromisesMadeBeforeTheStartAreUnknown(t *testing.T) {
	sub := &subscription{started: time.Now().Add(-3 * time.Second)}
	const madeBefore = -3*time.Second + feed.BackedFor
	assertAbout := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got > want-time.Second && got <= want, "%v", got)
	}
	assertAbout(sub.promisedToOther(leaderStatus{revision: 7}), madeBefore)
	sub.recordPromise(leaderStatus{revision: 6}, time.Now().Add(time.Second))
	assertAbout(sub.promisedToOther(leaderStatus{revision: 7}), time.Second)
	assertAbout(sub.promisedToOther(leaderStatus{revision: 6}), madeBefore)
	sub.recordPromise(leaderStatus{revision: 6}, time.Now().Add(-time.Second))
	assertAbout(sub.promisedToOther(leaderStatus{revision: 7}), -time.Second)
}

func TestRoutersWithLittleCPUCampaignLater(t *testing.T) {
	for _, share := range []float64{0, 0.32, 1} {
		assert.Assert(t, campaignDelay(share, 12) < 12*campaignSpreadPerRouter)
		assert.Assert(t, campaignDelay(share, 1000) < maxCampaignSpread)
	}
	assert.Assert(t, campaignDelay(0.16, 12) >= lowCPUCampaignDelay)
	assert.Assert(t, campaignDelay(0.16, 12) > maxCampaignSpread, "a small VM campaigns after the last of the others")
	assert.Assert(t, campaignDelay(1, 0) < campaignSpreadPerRouter)
}

// Guards against a new leader that stops assigning keys, because targets change after the start of its
// term and before the store has returned the key table.
func TestTargetsMayChangeWhileTheKeyTableIsRead(t *testing.T) {
	l := &leader{term: &term{services: map[string]*serviceAssignment{"s": {}}}}
	l.setTargets(&targetStatus{targets: []directory.Target{{ID: "a", Service: "s"}}})
	assert.Equal(t, len(l.targets.targets), 1)
}

// Guards against a leader that is a quorum by itself because the store has lost the records of the other routers.
func TestLostRecordsMakeNoRouterAQuorum(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("p"))
	g := f.gateways[0]
	waittest.Until(t, "the router leads", func() bool { return f.leader() == g })
	q := newQuorum(g.opts.Name, 0)
	g.setRouters(5)
	assert.Assert(t, !q.reached(0, g.recentRouters()))
	g.setRouters(1)
	assert.Assert(t, !q.reached(0, g.recentRouters()))
}
