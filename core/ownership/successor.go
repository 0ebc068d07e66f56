package ownership

import (
	"slices"
	"time"
)

// successors lists the routers that may take over from the grantor: the live routers in the
// target's order and, if these are too few, the recorded grantor and successors that were
// lost a short while ago.
//
// Without the recently lost routers, a router whose own links fail would receive no
// heartbeats of the others, remove them from its records and then be lost itself. No
// recorded router could take over from it; a target that does not check terms would stay
// unserved (reported as unprovable), and so would one that checks them and is lost too. The
// same holds for a router that takes a duty over from a grantor that is still alive and is
// then lost itself. The two do not take the duty from each other in turn while the
// connection between them is down; see justSuperseded.
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

// recentlyLost reports whether this instance of the router was live within HoldSuccessor
// and is not live now.
func (k *Keeper) recentlyLost(now time.Duration, r Router) bool {
	at, gone := k.lostAt[r.Name]
	return gone && k.lastSeen[r.Name] == r && now-at < k.cfg.HoldSuccessor
}

// updateSuccessors keeps the list of successors in the record up to date, and that of former
// grantors. A record without
// a successor gets its first one at once, because until then no router could take over.
func (k *Keeper) updateSuccessors(now time.Duration, d *duty) {
	if now < d.nextSuccessorWriteAt {
		return // a refused write is not repeated in each step
	}
	want := k.successors(now, d, k.cfg.Self)
	listed := slices.Equal(want, d.record.Successors) || len(d.record.Successors) > 0 && !k.liveLongEnough(now, want)
	formers := k.formersForRecord(now, d)
	sameFormers := slices.EqualFunc(formers, d.record.Formers, Former.equal)
	if listed && sameFormers && d.record.YieldAfter == d.wantedYield() && !d.record.Unproved {
		return
	}
	if listed {
		want = d.record.Successors
	}
	d.nextSuccessorWriteAt = now + k.cfg.RenewEvery
	op := k.nextOp()
	next := *d.record
	next.Successors, next.YieldAfter, next.Ops = want, d.wantedYield(), d.record.Ops.with(op)
	next.Unproved, next.Formers = false, formers
	k.put(now, d.key, d.revision, op, Update{Grantor: &next})
}

// liveLongEnough reports whether the live ones of these routers have been live for long
// enough to be recorded.
func (k *Keeper) liveLongEnough(now time.Duration, routers []Router) bool {
	for _, r := range routers {
		if at, live := k.liveSince[r.Name]; live && now-at < k.cfg.LostAfter {
			return false
		}
	}
	return true
}

// noteLostRouters records when routers ceased to be live, for HoldSuccessor. A router that
// left as announced is not recorded, because it will not return.
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
