package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
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

// writeNextGrantor completes the record of the next grantor, stops serving and writes the
// record.
func (k *Keeper) writeNextGrantor(now time.Duration, d *duty, next GrantorRecord) {
	op := k.nextOp()
	next.Target, next.Term = d.spec.Name, nextEpoch(d.record.Term)
	next.YieldAfter, next.Ops = d.wantedYield(), d.record.Ops.with(op)
	until := min(d.until, d.validUntil(k))
	if d.handOver != nil { // an earlier attempt has failed
		until = d.handOver.until
	}
	d.handOver = &handOver{op: op, until: until}
	k.drop(d, d.reported) // HandedOver is reported once the record is written
	k.refreshGate()
	k.put(now, d.key, d.revision, op, Update{Grantor: &next})
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
