package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// backingShare is the part of all routers that has to back a leader which doesn't reach
// the store. Two such parts have a router in common also while the number of routers grows
// by up to two fifths.
const quorumShare = 0.6

// backing decides how long a leader may renew grants without the store, and how long one
// that takes over has to wait for what the old leader may still renew.
//
// Alone, a leader may renew for aloneBound after the last renewal of its lease. Beyond that
// only while enough routers say that they don't reach the store either: each then follows
// no other leader for a time. A new leader that enough routers follow knows by that when
// the old one has stopped at the latest. Without it each loss of a leader's way to the
// store would leave the keys of targets that the new leader doesn't reach unserved for as
// long as an outage of the store is to be borne.
type quorum struct {
	mu sync.Mutex
	// until is when each router's backing of this leader ends, by the clock that counts
	// suspension.
	promises map[string]time.Duration
	// joined has the routers that follow this leader, itself among them, with when the last
	// promise of each to another leader ends, or has ended.
	followers map[string]time.Duration
}

// newBacking returns the backing of a leader which itself backs another until a time.
func newQuorum(self string, until time.Duration) *quorum {
	return &quorum{promises: map[string]time.Duration{}, followers: map[string]time.Duration{self: until}}
}

// enough reports whether so many routers and this one are the share of all; of an unknown
// number, zero, none are. A router that has just started would else take itself for all.
func isQuorum(others, routers int) bool {
	return routers > 0 && others+1 >= int(math.Ceil(quorumShare*float64(routers)))
}

// back notes that a router backs this leader until a time.
func (b *quorum) recordPromise(router string, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promises[router] = max(b.promises[router], until)
}

// backed reports whether enough of so many routers back this leader.
func (b *quorum) reached(now time.Duration, routers int) bool { return b.reachedFor(now, routers) > 0 }

// backedFor is for how long enough of so many routers back this leader.
func (b *quorum) reachedFor(now time.Duration, routers int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := latestFirst(b.promises)
	for others := range len(ends) + 1 {
		if !isQuorum(others, routers) {
			continue
		}
		if others == 0 {
			return orderLimitWithQuorum // this router is enough by itself
		}
		return max(ends[others-1]-now, 0)
	}
	return 0
}

func latestFirst(ends map[string]time.Duration) []time.Duration {
	return slices.SortedFunc(maps.Values(ends), func(x, y time.Duration) int { return cmp.Compare(y, x) })
}

// join notes that a router follows this leader, which backs another one until a time. It
// reports whether enough follow, and when no older leader is backed any more.
//
// Of those that backed an older leader at a time, so many follow this one as enough and all
// followers exceed all routers; the promise of each of them ended later. One that began of
// late, and so doesn't know what it promised, then counts for nothing.
func (b *quorum) addFollower(router string, until time.Duration, routers int) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last, again := b.followers[router]; !again || until > last {
		b.followers[router] = until
	}
	return b.oldLeaderPromisesEnd(routers)
}

// counted is join where nobody has joined, but the number of routers may have become known.
func (b *quorum) recheck(routers int) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.oldLeaderPromisesEnd(routers)
}

// oldEnds is what join returns; the lock is held.
func (b *quorum) oldLeaderPromisesEnd(routers int) (bool, time.Duration) {
	if !isQuorum(len(b.followers)-1, routers) {
		return false, 0
	}
	ends := latestFirst(b.followers)
	common := len(ends) - int(quorumShare*float64(routers))
	return true, ends[min(max(common, 1), len(ends))-1]
}
