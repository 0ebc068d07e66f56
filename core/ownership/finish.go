package ownership

import (
	"maps"
	"slices"
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// finishRight is the right of a router that is no longer a target's grantor to send the rest of
// the requests that it had begun there.
//
// The record of the hand-over names this router as a former grantor, with the units of those
// requests. The right lasts for Authority from each read of a record that still does, or from
// each report that the grantor answered, so that it has an end where this router is suspended
// or cut off. The grantor moves none of the units before this router has reported that it is
// done, or the right has been revoked in the record and has ended; see formerState.
type finishRight struct {
	target string
	key    string
	// since and term are the lowest and the highest of this router's terms whose requests may be
	// finished: none between them ended without a hand-over.
	since, term uint64
	// until is the end of the right.
	until time.Duration
	// endless means that the target's service is not divided by key, so that nobody waits.
	endless bool
	// revision is that of the latest record that was judged.
	revision uint64
	// busy has the units with requests in flight: when the last request on the unit ended, or zero.
	// It is known once they are counted.
	busy    map[routing.Unit]time.Duration
	counted bool
	// countSequence is that of the latest CountBegun for the target.
	countSequence uint64
	// removedAt is when the target left the configuration, or never.
	removedAt time.Duration
	readAt    time.Duration
	// reported is what the latest report to the grantor contained, as of reportedAt. sentAt
	// holds when the latest reports were sent, by sequence modulo its length.
	reported   UnitSet
	reportedAt time.Duration
	sequence   uint64
	sentAt     [8]time.Duration
}

// keepFinishRight lets requests that were begun under the duty go on while this router doesn't
// serve the target, for no longer than the authority that it had.
func (k *Keeper) keepFinishRight(d *duty) *finishRight {
	r := k.finish[d.key]
	if r == nil {
		r = &finishRight{target: d.spec.Name, key: d.key, since: d.term}
		k.finish[d.key] = r
	}
	r.term, r.revision, r.endless, r.removedAt = d.term, d.revision, false, never
	r.until = max(r.until, min(d.until, d.validUntil(k)))
	k.gateStale = true
	return r
}

// endFinishRight is called when another router may act although this one didn't hand over.
func (k *Keeper) endFinishRight(key string) {
	if r := k.finish[key]; r != nil && len(r.busy) > 0 && !r.endless {
		units := slices.SortedFunc(maps.Keys(r.busy), compareUnits)
		k.emit(Report{Kind: FinishRightEnded, Target: r.target, Term: r.term, Units: units})
	}
	delete(k.finish, key)
	k.gateStale = true
}

// judgeFinishRight decides by a record of the store whether the right goes on.
func (k *Keeper) judgeFinishRight(d *duty, g *GrantorRecord, key string, revision uint64) {
	r := k.finish[key]
	if r == nil || revision <= r.revision {
		return
	}
	r.revision = revision
	mine := g.Router == k.cfg.Self
	switch {
	case g.mayFinish(k.cfg.Self), r.endless:
	case mine && (g.Term == r.term || d != nil && d.withoutStore):
	case !mine && d != nil && d.handedOver(g) && !k.dividedByKey(d.spec.Service):
		r.endless, r.until, k.gateStale = true, never, true
	default:
		k.endFinishRight(key)
	}
}

// judgeUnconfigured is judgeFinishRight for a target that left the configuration.
func (k *Keeper) judgeUnconfigured(g *GrantorRecord, revision uint64) {
	for key, r := range k.finish {
		if r.target == g.Target {
			k.judgeFinishRight(nil, g, key, revision)
		}
	}
}

// handedOver reports whether the record is, or comes after, this router's latest hand-over.
func (d *duty) handedOver(g *GrantorRecord) bool {
	return d.handOver != nil && g.Ops.Landed(d.handOver.op)
}

// extendFinishRight extends the right by a read that found the record that gives it.
func (k *Keeper) extendFinishRight(e StoreRead) {
	r := k.finish[e.Key]
	if r == nil || e.Outcome != Landed || e.Revision != r.revision || k.holdsDuty(e.Key) {
		return
	}
	k.extendFinishing(r, e.SentAt+k.cfg.shrink(k.cfg.Authority))
}

func (k *Keeper) extendFinishing(r *finishRight, until time.Duration) {
	if until > r.until {
		r.until, k.gateStale = until, true
	}
}

// holdsDuty reports whether the record names this router, so that its authority as the grantor
// decides.
func (k *Keeper) holdsDuty(key string) bool {
	d := k.dutyByKey[key]
	return d != nil && d.phase >= waiting
}

// isFinishing reports whether this router is a former grantor that the record's grantor waits for.
func (k *Keeper) isFinishing(key string) bool {
	r := k.finish[key]
	return r != nil && !r.endless && !k.holdsDuty(key)
}

func (k *Keeper) isFinishingAny() bool {
	for key := range k.finish {
		if k.isFinishing(key) {
			return true
		}
	}
	return false
}

// advanceFinishing renews the rights of this router as a former grantor and reports to the
// grantors.
func (k *Keeper) advanceFinishing(now time.Duration) {
	for _, key := range sortedKeys(k.finish) {
		r := k.finish[key]
		if now-r.removedAt >= k.cfg.RequestBound {
			k.endFinishRight(key)
			continue
		}
		if !k.isFinishing(key) {
			continue
		}
		k.forgetEnded(now, r)
		d := k.dutyByKey[key]
		if d != nil && d.record != nil && d.record.Router == k.cfg.Self {
			continue // until the hand-over has landed, the duty reads the record
		}
		k.readFinishing(now, r, d)
		if d != nil && d.record != nil {
			k.reportFinishing(now, r, d)
		}
	}
}

// forgetEnded drops the units whose last request ended long enough ago: what was written before
// a request was cancelled may still be under way to the target.
func (k *Keeper) forgetEnded(now time.Duration, r *finishRight) {
	maps.DeleteFunc(r.busy, func(_ routing.Unit, ended time.Duration) bool {
		return ended != 0 && now >= ended+k.cfg.OrderBound
	})
}

func (k *Keeper) readFinishing(now time.Duration, r *finishRight, d *duty) {
	if now-r.readAt < k.cfg.RenewEvery {
		return
	}
	r.readAt = now
	relayed := d != nil && !k.isRemote(d) && r.until-now > k.cfg.Authority/2
	if !relayed {
		k.storeRequest.sent(now)
	}
	k.emit(Read{Key: r.key, SentAt: now, Relayed: relayed})
}

// reportFinishing tells the grantor what is left, at each renewal interval, and earlier if it
// has become less.
func (k *Keeper) reportFinishing(now time.Duration, r *finishRight, d *duty) {
	units := UnitSet{All: true}
	if r.counted {
		units = newUnitSet(slices.Collect(maps.Keys(r.busy)))
	}
	wait := k.cfg.RenewEvery
	if !units.equal(r.reported) {
		wait = k.cfg.tick()
	}
	if r.reportedAt != 0 && now-r.reportedAt < wait {
		return
	}
	r.reported, r.reportedAt = units, now
	r.sequence++
	r.sentAt[r.sequence%uint64(len(r.sentAt))] = now
	k.send(d.record.Router, &ownershippb.Peer{Kind: ownershippb.Peer_FINISHING, Target: r.target, Term: d.record.Term,
		Sequence: r.sequence, Units: encodeUnitSet(units)})
}

// finishGranted applies a grantor's answer to a report.
func (k *Keeper) finishGranted(d *duty, e PeerMessage) {
	m, r := e.Message, k.finish[d.key]
	if r == nil || r.endless || k.holdsDuty(d.key) || d.record == nil || d.record.Router != e.From || d.record.Term != m.GetTerm() {
		return
	}
	if cancel := decodeUnitSet(m.GetUnits()); !cancel.Empty() {
		k.emit(CancelBegun{Target: r.target, Units: cancel})
	}
	if m.GetSequence() > r.sequence || r.sequence-m.GetSequence() >= uint64(len(r.sentAt)) || !d.record.mayFinish(k.cfg.Self) {
		return
	}
	valid := min(time.Duration(m.GetValidNs()), k.cfg.Authority)
	k.extendFinishing(r, r.sentAt[m.GetSequence()%uint64(len(r.sentAt))]+k.cfg.shrink(valid))
}

func (k *Keeper) begunEnded(now time.Duration, e BegunEnded) {
	if r := k.finishRightOf(e.Target, e.Sequence); r != nil {
		if _, busy := r.busy[e.Unit]; busy {
			r.busy[e.Unit] = now
		}
	}
}

// finishRightOf returns the right whose requests were counted under the sequence, or nil.
func (k *Keeper) finishRightOf(target string, sequence uint64) *finishRight {
	for _, r := range k.finish {
		if r.target == target && r.countSequence == sequence {
			return r
		}
	}
	return nil
}

// removeFinishRights starts the end of the rights to targets that left the configuration.
func (k *Keeper) removeFinishRights(now time.Duration) {
	for _, r := range k.finish {
		_, configured := k.targets[r.target]
		switch {
		case configured:
			r.removedAt = never
		case r.removedAt == never:
			r.removedAt = now
		}
	}
}
