package ownership

import (
	"slices"
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// maxFormers bounds the former grantors in a record. A duty with as many is not handed over
// until one of them has finished.
const maxFormers = 8

// Former is a router that handed a target over while requests of it on Units had begun. It may
// send the rest of them, and the units don't move, until it has reported that they have ended.
type Former struct {
	Router Router
	Units  UnitSet
	// Revoked means that Router may send nothing more. What it has sent, and its right by an
	// earlier state of the record, lasts for no longer than the wait-out.
	Revoked bool
}

func (f Former) equal(o Former) bool {
	return f.Router == o.Router && f.Revoked == o.Revoked && f.Units.equal(o.Units)
}

// mayFinish reports whether the record lets the router finish the requests that it had begun.
func (g *GrantorRecord) mayFinish(r Router) bool {
	return slices.ContainsFunc(g.Formers, func(f Former) bool { return f.Router == r && !f.Revoked })
}

// formerState is what the grantor knows of a former grantor.
type formerState struct {
	// heardAt is when the latest report arrived or, before the first one, when this router took
	// the duty up; sequence and units are those of that report.
	heardAt  time.Duration
	reported bool
	sequence uint64
	units    UnitSet
	// revokedAt is when the revocation of the right was known to be in the record, restartedAt
	// when a later instance of the router was seen; zero if that is not so.
	revokedAt   time.Duration
	restartedAt time.Duration
	// cancel has the units whose requests the router is to cancel, since cancelledAt.
	cancel      []routing.Unit
	cancelledAt time.Duration
	// waiting has the units whose moves wait for the router, and since when.
	waiting map[routing.Unit]time.Duration
}

// former returns the state of a former grantor in the duty's record.
func (k *Keeper) former(now time.Duration, d *duty, f *Former) *formerState {
	st := d.formers[f.Router]
	if st == nil {
		st = &formerState{heardAt: now}
		if d.formers == nil {
			d.formers = map[Router]*formerState{}
		}
		d.formers[f.Router] = st
	}
	if f.Revoked && st.revokedAt == 0 {
		st.revokedAt = now
		k.emit(Report{Kind: FormerRevoked, Target: d.spec.Name, Term: d.term, Router: f.Router.Name, Ends: k.cfg.waitOut()})
	}
	return st
}

// formerEnded reports whether no request of the former grantor can reach the target any more.
func (k *Keeper) formerEnded(now time.Duration, f *Former, st *formerState) bool {
	switch {
	case f.Router == k.cfg.Self:
		return true // this router counts its own requests
	case st.reported && st.units.Empty():
		return true
	case st.revokedAt != 0 && now >= st.revokedAt+k.cfg.waitOut():
		return true
	}
	return st.restartedAt != 0 && now >= st.restartedAt+k.cfg.OrderBound+k.cfg.slack()
}

// awaitsFormer reports whether a request of the former grantor on the unit may still reach the
// target.
func (k *Keeper) awaitsFormer(now time.Duration, f *Former, st *formerState, u routing.Unit) bool {
	if !f.Units.Contains(u) || k.formerEnded(now, f, st) {
		return false
	}
	return !st.reported || st.units.Contains(u)
}

// formersDone reports whether no former grantor of the target has requests on the unit.
func (k *Keeper) formersDone(now time.Duration, d *duty, u routing.Unit) bool {
	if k.cfg.omit == omitFormers {
		return true
	}
	for i := range d.record.Formers {
		f := &d.record.Formers[i]
		if k.awaitsFormer(now, f, k.former(now, d, f), u) {
			return false
		}
	}
	return true
}

// advanceFormers follows the moves that wait for former grantors.
func (k *Keeper) advanceFormers(now time.Duration, d *duty) {
	for i := range d.record.Formers {
		f := &d.record.Formers[i]
		st := k.former(now, d, f)
		if st.restartedAt == 0 && k.hasRestarted(f.Router) {
			st.restartedAt = now
		}
		waiting, cancel := k.movesAwaiting(now, d, f, st)
		k.noteFormerWait(now, d, f, st, waiting)
		if len(st.cancel) == 0 {
			st.cancelledAt = now
		}
		more := len(cancel) > len(st.cancel)
		st.cancel = cancel
		if more {
			k.grantFinish(now, d, f, st)
		}
	}
}

// movesAwaiting returns the units whose moves wait for the former grantor, and those of them
// whose requests are to be cancelled, as this router's own would be.
func (k *Keeper) movesAwaiting(now time.Duration, d *duty, f *Former, st *formerState) (waiting, cancel []routing.Unit) {
	for _, m := range k.moves {
		if m.from != d.spec.Name || !k.awaitsFormer(now, f, st, m.unit) {
			continue
		}
		waiting = append(waiting, m.unit)
		if k.lostTargets[m.from] || m.releasedAt != 0 && now >= m.releasedAt+k.cfg.RequestBound {
			cancel = append(cancel, m.unit)
		}
	}
	slices.SortFunc(waiting, compareUnits)
	return waiting, cancel
}

func compareUnits(a, b routing.Unit) int {
	switch {
	case lessUnit(a, b):
		return -1
	case lessUnit(b, a):
		return 1
	}
	return 0
}

// noteFormerWait reports the units whose moves begin or cease to wait for a former grantor.
func (k *Keeper) noteFormerWait(now time.Duration, d *duty, f *Former, st *formerState, waiting []routing.Unit) {
	var began, ended []routing.Unit
	var waited time.Duration
	for _, u := range waiting {
		if _, known := st.waiting[u]; !known {
			began = append(began, u)
		}
	}
	for u, since := range st.waiting {
		if !slices.Contains(waiting, u) {
			ended, waited = append(ended, u), max(waited, now-since)
			delete(st.waiting, u)
		}
	}
	slices.SortFunc(ended, compareUnits)
	if len(began) > 0 {
		if st.waiting == nil {
			st.waiting = map[routing.Unit]time.Duration{}
		}
		for _, u := range began {
			st.waiting[u] = now
		}
		k.emit(Report{Kind: AwaitingFormer, Target: d.spec.Name, Term: d.term, Router: f.Router.Name, Units: began})
	}
	if len(ended) > 0 {
		k.emit(Report{Kind: FormerAwaited, Target: d.spec.Name, Term: d.term, Router: f.Router.Name, Units: ended, Waited: waited})
	}
}

// endFormerWaits forgets the former grantors at the end of the duty.
func (k *Keeper) endFormerWaits(d *duty) {
	for r, st := range d.formers {
		k.noteFormerWait(k.lastStepAt, d, &Former{Router: r}, st, nil)
	}
	d.formers = nil
}

// mustRevoke reports whether the right of a former grantor is to be revoked: it is silent, or
// doesn't cancel what it was asked to cancel, and moves wait for it, or it has been silent for
// so long that it is not expected back.
func (k *Keeper) mustRevoke(now time.Duration, st *formerState) bool {
	silent := now - st.heardAt
	if len(st.waiting) == 0 {
		return silent >= k.cfg.HoldSuccessor
	}
	return silent >= k.cfg.LostAfter || len(st.cancel) > 0 && now-st.cancelledAt >= k.cfg.LostAfter
}

// formersForRecord returns the former grantors that the next record of this grantor names.
func (k *Keeper) formersForRecord(now time.Duration, d *duty) []Former {
	var out []Former
	for i := range d.record.Formers {
		f := d.record.Formers[i]
		st := k.former(now, d, &f)
		if k.formerEnded(now, &f, st) {
			continue
		}
		f.Revoked = f.Revoked || k.mustRevoke(now, st)
		out = append(out, f)
	}
	return out
}

// formersForClaim returns the former grantors that a claim names. The router that it takes over
// from acted as the grantor, and one that is lost is not waited for longer than for the
// authority of the grantor.
func (k *Keeper) formersForClaim(d *duty) []Former {
	if d.record == nil {
		return nil
	}
	out := slices.Clone(d.record.Formers)
	for i := range out {
		f := &out[i]
		if f.Router == k.cfg.Self {
			continue
		}
		_, seen := k.lastSeen[f.Router.Name]
		lost := seen && !k.isLive(f.Router) || k.grantorIsRemote(d)
		f.Revoked = f.Revoked || lost || f.Router == d.record.Router
	}
	return out
}

// formersFull reports whether the record names so many former grantors that another one can't
// be added.
func (k *Keeper) formersFull(now time.Duration, d *duty) bool {
	return len(k.formersForRecord(now, d)) >= maxFormers
}

// takeFinishing applies the report of a former grantor and answers it.
func (k *Keeper) takeFinishing(now time.Duration, d *duty, e PeerMessage) {
	if d.phase < waiting || d.record == nil || e.Message.GetTerm() != d.record.Term || d.record.Router != k.cfg.Self {
		return
	}
	for i := range d.record.Formers {
		f := &d.record.Formers[i]
		if f.Router != e.From {
			continue
		}
		st := k.former(now, d, f)
		if st.reported && e.Message.GetSequence() <= st.sequence {
			return
		}
		st.heardAt, st.reported = now, true
		st.sequence, st.units = e.Message.GetSequence(), decodeUnitSet(e.Message.GetUnits())
		k.grantFinish(now, d, f, st)
	}
}

// grantFinish lets a former grantor go on, for no longer than this router's own authority, so
// that a router that waits for the end of that waits for both. From the revocation on nothing
// is granted.
func (k *Keeper) grantFinish(now time.Duration, d *duty, f *Former, st *formerState) {
	var valid time.Duration
	if d.phase == serving && !f.Revoked && !k.revoking(d, f.Router) {
		valid = max(0, min(d.validUntil(k)-now, k.cfg.Authority))
	}
	k.send(f.Router, &ownershippb.Peer{Kind: ownershippb.Peer_FINISH_GRANTED, Target: d.spec.Name, Term: d.record.Term,
		Sequence: st.sequence, ValidNs: int64(valid), Units: encodeUnitSet(newUnitSet(st.cancel))})
}

// revoking reports whether a record that revokes the router's right, or no longer names it, is
// being written.
func (k *Keeper) revoking(d *duty, r Router) bool {
	w := k.writes[d.key]
	return w != nil && w.update.Grantor != nil && !w.update.Grantor.mayFinish(r)
}
