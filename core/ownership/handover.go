package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// considerHandOver hands the duty over to a better-ranked router, or to the next one at a
// planned stop; otherwise it keeps the list of successors up to date.
func (k *Keeper) considerHandOver(now time.Duration, d *duty) {
	if d.withoutStore || d.received.active || k.writes[d.key] != nil || now >= d.validUntil(k) {
		return
	}
	if to, ok := k.handOverReceiver(now, d); ok {
		k.handOver(now, d, to)
		return
	}
	k.updateSuccessors(now, d)
}

// handOverReceiver returns the router that the duty should be handed over to now.
func (k *Keeper) handOverReceiver(now time.Duration, d *duty) (Router, bool) {
	for _, r := range k.rank(d) {
		if r == k.cfg.Self {
			if !k.stopping {
				return Router{}, false
			}
			continue
		}
		if k.leaving[r] && (!k.stopping || d.takenWhileStopping) {
			// If two routers stop at the same time and have only each other, a duty that one
			// of them received while stopping stays there.
			continue
		}
		if k.stopping || now-max(k.liveSince[r.Name], d.takenAt) >= k.cfg.HandBackAfter && k.reachesTarget(now, d, r) {
			return r, true
		}
	}
	return Router{}, false
}

// handOver stops serving before it writes the record, so that the new grantor only has to
// wait for orders under way.
func (k *Keeper) handOver(now time.Duration, d *duty, to Router) {
	k.writeNextGrantor(now, d, GrantorRecord{Router: to, Successors: k.successors(now, d, to), DataCentre: k.dataCentreForRecord(d)})
}

// handOver is a hand-over whose record is not known to have landed.
type handOver struct {
	op   Op
	next *GrantorRecord
	// countedAt is when the requests in flight were asked for; they are awaited while counting.
	countedAt time.Duration
	counting  bool
}

// writeNextGrantor stops serving, has the requests in flight counted, and then writes the record
// of the next grantor. The order matters: the record has to name all that began before the gate
// was closed.
func (k *Keeper) writeNextGrantor(now time.Duration, d *duty, next GrantorRecord) {
	if k.formersFull(now, d) || now < d.earlierSendersUntil {
		return // the next grantor would not know of them
	}
	d.handOver = &handOver{next: &next, countedAt: now, counting: true}
	r := k.keepFinishRight(d)
	next.Formers = k.formersForRecord(now, d)
	k.drop(d, d.reported) // HandedOver is reported once the record is written
	k.refreshGate()
	if !k.dividedByKey(d.spec.Service) {
		k.writeHandOver(now, d, nil)
		return
	}
	k.countSequence++
	r.countSequence, r.counted = k.countSequence, false
	k.emit(CountBegun{Target: d.spec.Name, Sequence: r.countSequence})
}

// countsBegun reports whether the requests in flight are being counted for a hand-over.
func (d *duty) countsBegun() bool { return d.handOver != nil && d.handOver.counting }

// countsForHandOver reports whether a hand-over of the duty waits for the count of requests in
// flight. If the count is late, the record says that any unit may have some.
func (k *Keeper) countsForHandOver(now time.Duration, d *duty) bool {
	if !d.countsBegun() {
		return false
	}
	if now-d.handOver.countedAt >= k.cfg.ReplyTimeout {
		k.writeHandOver(now, d, &UnitSet{All: true})
	}
	return true
}

// begunCounted continues the hand-over.
func (k *Keeper) begunCounted(now time.Duration, e BegunCounted) {
	r := k.finishRightOf(e.Target, e.Sequence)
	if r == nil {
		return
	}
	r.counted, r.busy = true, make(map[routing.Unit]time.Duration, len(e.Units))
	for _, u := range e.Units {
		r.busy[u] = 0
	}
	if d := k.duties[e.Target]; d != nil && d.countsBegun() {
		units := newUnitSet(e.Units)
		k.writeHandOver(now, d, &units)
	}
}

// writeHandOver writes the record of the next grantor, which names this router as a former one if
// requests of it are in flight.
func (k *Keeper) writeHandOver(now time.Duration, d *duty, begun *UnitSet) {
	h := d.handOver
	h.counting, h.op = false, k.nextOp()
	next := h.next
	next.Target, next.Term = d.spec.Name, nextEpoch(d.record.Term)
	next.YieldAfter, next.Ops = d.wantedYield(), d.record.Ops.with(h.op)
	if begun != nil && !begun.Empty() {
		next.Formers = append(next.Formers, Former{Router: k.cfg.Self, Units: *begun})
	}
	k.put(now, d.key, d.revision, h.op, Update{Grantor: next})
}

// reachProbe is what is known about whether another router reaches a target: when that
// router was asked, and when it last answered that it reaches the target.
type reachProbe struct{ askedAt, reachedAt time.Duration }

// reachesTarget reports whether the router answered a moment ago that it reaches the
// target. If not, the router is asked, at limited intervals.
//
// Without this check, a router that reaches everything but its targets would hand their
// duties to a router that reaches them, get them back after HandBackAfter and hand them
// over again. The grantors of these targets would change repeatedly, with a pause in
// serving their keys each time.
func (k *Keeper) reachesTarget(now time.Duration, d *duty, r Router) bool {
	probe, asked := d.reachProbes[r]
	switch {
	case asked && probe.reachedAt > probe.askedAt && now-probe.reachedAt <= k.cfg.ReplyTimeout:
		return true
	case asked && now-probe.askedAt < k.cfg.HandBackAfter/2:
		return false
	}
	if d.reachProbes == nil {
		d.reachProbes = make(map[Router]reachProbe)
	}
	d.reachProbes[r] = reachProbe{askedAt: now}
	k.send(r, &ownershippb.Peer{Kind: ownershippb.Peer_PROBE, Target: d.spec.Name})
	return false
}

// noteReachProbe applies the answer of a router that the duty may be handed to. The answer
// says nothing about the state of the target, which this router reaches itself.
func (d *duty) noteReachProbe(now time.Duration, from Router, reached bool) bool {
	probe, asked := d.reachProbes[from]
	if !asked || d.silentSince != 0 {
		return false
	}
	if reached {
		probe.reachedAt = now
		d.reachProbes[from] = probe
	}
	return true
}
