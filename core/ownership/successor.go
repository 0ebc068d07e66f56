package ownership

import (
	"slices"
	"time"
)

// successors lists who may take over from the grantor: the live routers in the order
// of the target and, where these are too few, the grantor and successors on record that
// were lost a short while ago.
//
// What goes wrong without the second: a router whose own links fail hears the others
// no more, writes them off and is lost itself. Nobody is then on record to take over
// from it; a target that doesn't check stays unserved (reported as unprovable), and
// so does one that checks and is lost too. The same goes for a router that takes a duty
// over from a grantor which lives and is then lost itself. The two don't take the duty
// from each other in turn while they are apart; see justSuperseded.
func (k *Keeper) successors(now time.Duration, d *duty, grantor Router) []Router {
	var out []Router
	for _, r := range k.rank(d) {
		if r != grantor && len(out) < k.cfg.Successors {
			out = append(out, r)
		}
	}
	if d.record == nil {
		return out
	}
	for _, r := range append([]Router{d.record.Router}, d.record.Successors...) {
		if r != grantor && len(out) < k.cfg.Successors && k.recentlyLost(now, r) {
			out = append(out, r)
		}
	}
	return out
}

// recentlyLost reports whether this life of the router was live within HoldSuccessor and
// is not now.
func (k *Keeper) recentlyLost(now time.Duration, r Router) bool {
	at, gone := k.lostAt[r.Name]
	return gone && k.lastSeen[r.Name] == r && now-at < k.cfg.HoldSuccessor
}

// updateSuccessors keeps the list of successors in the record up to date. A record that
// names nobody gets its first successor at once: until then nobody could take over.
func (k *Keeper) updateSuccessors(now time.Duration, d *duty) {
	if now < d.nextSuccessorWriteAt {
		return // a write that was refused is not repeated with each step
	}
	want := k.successors(now, d, k.cfg.Self)
	listed := slices.Equal(want, d.record.Successors) || len(d.record.Successors) > 0 && !k.liveLongEnough(now, want)
	if listed && d.record.YieldAfter == d.wantedYield() && !d.record.Unproved {
		return
	}
	if listed {
		want = d.record.Successors
	}
	d.nextSuccessorWriteAt = now + k.cfg.RenewEvery
	op := k.nextOp()
	next := *d.record
	next.Successors, next.YieldAfter, next.Ops = want, d.wantedYield(), d.record.Ops.with(op)
	next.Unproved = false
	k.put(now, d.key, d.revision, op, Update{Grantor: &next})
}

// liveLongEnough reports whether the live routers among these have been so long enough to be
// written down.
func (k *Keeper) liveLongEnough(now time.Duration, routers []Router) bool {
	for _, r := range routers {
		if at, live := k.liveSince[r.Name]; live && now-at < k.cfg.LostAfter {
			return false
		}
	}
	return true
}

// noteLostRouters remembers when routers ceased to be live, for HoldSuccessor. One that left as
// announced is gone for good.
func (k *Keeper) noteLostRouters(now time.Duration, before map[string]time.Duration, leaving map[Router]bool) {
	for name := range before {
		if _, live := k.liveSince[name]; !live && !leaving[k.lastSeen[name]] {
			k.lostAt[name] = now
		}
	}
	for name, at := range k.lostAt {
		if _, live := k.liveSince[name]; live || now-at >= k.cfg.HoldSuccessor {
			delete(k.lostAt, name)
		}
	}
}
