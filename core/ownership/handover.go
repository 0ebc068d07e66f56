package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
)

// considerHandOver gives the duty to a better-ranked router, to the next one at a
// planned stop, or keeps the list of successors up to date.
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

// handOverReceiver is who the duty should be handed to now.
func (k *Keeper) handOverReceiver(now time.Duration, d *duty) (Router, bool) {
	for _, r := range k.rank(d) {
		if r == k.cfg.Self {
			if !k.stopping {
				return Router{}, false
			}
			continue
		}
		if k.leaving[r] && (!k.stopping || d.takenWhileStopping) {
			// Of two that stop and have only each other, one keeps what it was given.
			continue
		}
		if k.stopping || now-max(k.liveSince[r.Name], d.takenAt) >= k.cfg.HandBackAfter && k.reachesTarget(now, d, r) {
			return r, true
		}
	}
	return Router{}, false
}

// handOver stops first and writes then, so that the new grantor only has to wait
// for orders under way.
func (k *Keeper) handOver(now time.Duration, d *duty, to Router) {
	k.writeNextGrantor(now, d, GrantorRecord{Router: to, Successors: k.successors(now, d, to), DataCentre: k.dataCentreForRecord(d)})
}

// writeNextGrantor fills in what is the same for every next grantor.
func (k *Keeper) writeNextGrantor(now time.Duration, d *duty, next GrantorRecord) {
	op := k.nextOp()
	next.Target, next.Term = d.spec.Name, nextEpoch(d.record.Term)
	next.YieldAfter, next.Ops = d.wantedYield(), d.record.Ops.with(op)
	k.drop(d, d.reported) // that it is handed over is told once the record says so
	k.refreshGate()
	k.put(now, d.key, d.revision, op, Update{Grantor: &next})
}

// reachProbe is what another router said of its way to a target: when it was asked, and when it
// last said that it reaches the target.
type reachProbe struct{ askedAt, reachedAt time.Duration }

// reachesTarget reports whether the router said a moment ago that it reaches the target;
// else it is asked, now and then.
//
// What goes wrong without it: a router that is parted from its targets alone gives their
// duties to one that reaches them, gets them back after HandBackAfter and gives them away
// again. One notices targets whose grantor changes again and again, with a pause of their
// keys each time.
func (k *Keeper) reachesTarget(now time.Duration, d *duty, r Router) bool {
	w, asked := d.reachProbes[r]
	switch {
	case asked && w.reachedAt > w.askedAt && now-w.reachedAt <= k.cfg.ReplyTimeout:
		return true
	case asked && now-w.askedAt < k.cfg.HandBackAfter/2:
		return false
	}
	if d.reachProbes == nil {
		d.reachProbes = make(map[Router]reachProbe)
	}
	d.reachProbes[r] = reachProbe{askedAt: now}
	k.send(r, &ownershippb.Peer{Kind: ownershippb.Peer_PROBE, Target: d.spec.Name})
	return false
}

// noteReachProbe takes in the answer of a router that a duty may be handed to. It says nothing of
// the target itself, which this router reaches.
func (d *duty) noteReachProbe(now time.Duration, from Router, reached bool) bool {
	w, asked := d.reachProbes[from]
	if !asked || d.silentSince != 0 {
		return false
	}
	if reached {
		w.reachedAt = now
		d.reachProbes[from] = w
	}
	return true
}
