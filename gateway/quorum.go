package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// quorumShare is the share of all routers that forms a quorum. Any two quorums have a router in common,
// even while the number of routers grows by up to two fifths.
const quorumShare = 0.6

// quorum decides for how long a leader may renew grants without the store, and for how long a new
// leader has to wait for grants that the old one may still renew.
//
// By itself, a leader may renew grants until shortly before its lease may end, so that it has stopped when another router
// leads. After that it may only do so while a quorum of routers can't reach the store either: each of them
// promises to follow no other leader until some time. A new leader that a quorum of routers follows
// learns from their promises when the old one stops at the latest. Without promises, each time a
// leader loses its connection to the store, the keys of targets that the new leader doesn't reach
// would stay unserved for orderLimitWithQuorum.
type quorum struct {
	mu sync.Mutex
	// promises is until when each router has promised to follow no other leader, by the clock that
	// goes on during suspension.
	promises map[string]time.Duration
	// followers are the routers that follow this leader, including the leader itself, with the end of
	// the last promise of each to another leader, possibly in the past.
	followers map[string]time.Duration
}

// newQuorum returns the quorum of a leader whose own promise to another leader ends at until.
func newQuorum(self string, until time.Duration) *quorum {
	return &quorum{promises: map[string]time.Duration{}, followers: map[string]time.Duration{self: until}}
}

// isQuorum reports whether the leader and the given number of others are a quorum of all routers. If the
// number of routers is unknown, which is zero, there is no quorum: otherwise a router that has just
// started would be a quorum by itself.
func isQuorum(others, routers int) bool {
	return routers > 0 && others+1 >= int(math.Ceil(quorumShare*float64(routers)))
}

// recordPromise records that a router has promised to follow no other leader until a time.
func (q *quorum) recordPromise(router string, until time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.promises[router] = max(q.promises[router], until)
}

// hasPromise reports whether a router's promise holds, so that it can't reach the store.
func (q *quorum) hasPromise(now time.Duration, router string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.promises[router] > now
}

// reached reports whether a quorum has made promises to this leader, given the number of routers.
func (q *quorum) reached(now time.Duration, routers int) bool { return q.reachedFor(now, routers) > 0 }

// reachedFor returns for how long the promises of a quorum hold, given the number of routers.
func (q *quorum) reachedFor(now time.Duration, routers int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	ends := latestFirst(q.promises)
	for others := range len(ends) + 1 {
		if !isQuorum(others, routers) {
			continue
		}
		if others == 0 {
			return orderLimitWithQuorum // this router is a quorum by itself
		}
		return max(ends[others-1]-now, 0)
	}
	return 0
}

func latestFirst(ends map[string]time.Duration) []time.Duration {
	return slices.SortedFunc(maps.Values(ends), func(x, y time.Duration) int { return cmp.Compare(y, x) })
}

// addFollower records that a router follows this leader, and that its last promise to another leader
// ends at until. It reports whether a quorum follows and, if so, when the promises to any older leader
// have ended.
//
// If a quorum had made promises to an older leader, its size plus the number of followers exceeds the
// number of all routers. At least as many followers as the excess belonged to that quorum, and their
// promises ended no sooner than the quorum did. So the n-th latest promise is a bound for any n up to the
// excess. With n above one, a single router that has started recently, and therefore doesn't know its
// promises, has no influence.
func (q *quorum) addFollower(router string, until time.Duration, routers int) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if last, again := q.followers[router]; !again || until > last {
		q.followers[router] = until
	}
	return q.oldLeaderPromisesEnd(routers)
}

// recheck returns what addFollower would, after the number of routers may have changed.
func (q *quorum) recheck(routers int) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.oldLeaderPromisesEnd(routers)
}

// oldLeaderPromisesEnd computes the results of addFollower; the caller holds the lock.
func (q *quorum) oldLeaderPromisesEnd(routers int) (bool, time.Duration) {
	if !isQuorum(len(q.followers)-1, routers) {
		return false, 0
	}
	ends := latestFirst(q.followers)
	common := len(ends) - int(quorumShare*float64(routers))
	return true, ends[min(max(common, 1), len(ends))-1]
}
