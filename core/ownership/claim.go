package ownership

import "time"

// considerClaim decides whether this router takes the duty up. The store's
// compare-and-swap serialises those who try.
func (k *Keeper) considerClaim(now time.Duration, d *duty) {
	key := d.key
	if d.phase == claiming && k.actWithoutStore(now, d) {
		return
	}
	if now < d.nextClaimAt || k.writes[key] != nil || !d.recordRead || len(k.live) == 0 {
		return
	}
	if k.stopping {
		k.retryHandOverAtStop(now, d)
		return
	}
	if d.record == nil {
		if k.ranksFirst(d) {
			k.claim(now, d)
		}
		return
	}
	if d.record.Router == k.cfg.Self {
		if d.termRaisePending {
			k.claim(now, d)
			return
		}
		k.takeHandOver(now, d)
		return
	}
	if k.grantorIsRemote(d) {
		k.considerRemoteClaim(now, d)
		return
	}
	if k.grantorLive(d) {
		d.supersededAt = 0
		k.abandonClaim(d)
		return
	}
	if !k.notYetSeen(now, d.record.Router) && !k.justSuperseded(now, d) && k.mayClaim(d) {
		k.claim(now, d)
		return
	}
	k.abandonClaim(d)
}

// justSuperseded reports whether the grantor took the duty over from this router a
// short while ago, which shows that it lived although it isn't heard. Without this two
// routers that reach the store but not each other take the duty from each other with
// each renewal, for as long as they are apart.
func (k *Keeper) justSuperseded(now time.Duration, d *duty) bool {
	return d.supersededAt != 0 && now-d.supersededAt < k.cfg.HandBackAfter && !k.hasRestarted(d.record.Router)
}

// notYetSeen reports whether the router may live although this one, which has just started,
// has not met it. Without this a router that starts would take duties from grantors
// that live, or report them lost.
func (k *Keeper) notYetSeen(now time.Duration, r Router) bool {
	_, met := k.lastSeen[r.Name]
	return !met && now-k.liveSince[k.cfg.Self.Name] < k.cfg.LostAfter
}

// retryHandOverAtStop repeats a hand-over at a planned stop whose write failed.
func (k *Keeper) retryHandOverAtStop(now time.Duration, d *duty) {
	if d.record == nil || d.record.Router != k.cfg.Self {
		return
	}
	if to, ok := k.handOverReceiver(now, d); ok {
		d.nextClaimAt = now + k.cfg.RenewEvery
		k.handOver(now, d, to)
	}
}

// abandonClaim goes back to promising when the grantor turned out to live before
// this router acted.
func (k *Keeper) abandonClaim(d *duty) {
	if d.phase == claiming && !d.withoutStore {
		d.phase, d.promisesStoppedAt = idle, 0
	}
}

func (k *Keeper) ranksFirst(d *duty) bool {
	ranked := k.rank(d)
	return len(ranked) > 0 && ranked[0] == k.cfg.Self
}

func (d *duty) firstSuccessor() (Router, bool) {
	if d.record == nil || len(d.record.Successors) == 0 {
		return Router{}, false
	}
	return d.record.Successors[0], true
}

func (k *Keeper) isFirstSuccessor(d *duty) bool {
	s, ok := d.firstSuccessor()
	return ok && s == k.cfg.Self
}

// mayClaim is asked where the recorded grantor is not live.
func (k *Keeper) mayClaim(d *duty) bool {
	s, ok := d.firstSuccessor()
	if ok && s == k.cfg.Self {
		return true
	}
	if ok && k.isLive(s) || !k.ranksFirst(d) {
		return false
	}
	if d.spec.Grants.ChecksTokens || d.record.YieldAfter > 0 || d.deadConfirmed || k.bothRestarted(d) {
		return true
	}
	d.report(k, Unprovable)
	return false
}

// bothRestarted reports whether later lives prove the end of the recorded grantor and
// of its first successor.
func (k *Keeper) bothRestarted(d *duty) bool {
	s, ok := d.firstSuccessor()
	return k.hasRestarted(d.record.Router) && (!ok || k.hasRestarted(s))
}

// oldAuthority is how long from now the authority of others may have effects, once
// the claim is in the store; never where nothing bounds it.
//
// What goes wrong where only the recorded grantor counts: a router claims, is to wait the
// long YieldAfter of the one before it out and is lost meanwhile. Its first successor waits
// no longer than its own predecessor's authority, and the one before acts still. So a claim
// is marked as unproved until its router serves.
func (k *Keeper) oldAuthority(d *duty) time.Duration {
	switch {
	case k.cfg.omit == omitWaitOut || d.record == nil:
		return 0
	case d.record.Router == k.cfg.Self && !d.successorStopped:
		return never
	case d.record.Unproved && k.waitForAllGrantors(d) == never && d.deadConfirmed:
		return k.cfg.waitOut() // the operators' word is the only remedy here
	case d.record.Unproved && k.cfg.omit != omitUnproved:
		return k.waitForAllGrantors(d)
	case d.record.Router == k.cfg.Self || k.bothRestarted(d):
		return k.cfg.OrderBound + k.cfg.slack()
	case k.isFirstSuccessor(d) || d.deadConfirmed:
		return k.cfg.waitOut()
	default:
		return k.waitForAllGrantors(d)
	}
}

// waitForAllGrantors is the wait that outlasts all grantors that there have been.
func (k *Keeper) waitForAllGrantors(d *duty) time.Duration {
	y := d.recordedYield(k)
	switch {
	case y == 0:
		return never
	case k.cfg.omit == omitYieldWait:
		return k.cfg.waitOut()
	default:
		return k.cfg.stretch(y) + k.cfg.waitOut()
	}
}

// claim writes the next epoch of the record with this router as grantor. From here
// on it promises nothing to the old one.
func (k *Keeper) claim(now time.Duration, d *duty) {
	if d.phase == idle {
		d.phase, d.promisesStoppedAt = claiming, now
	}
	d.nextClaimAt = now + k.cfg.RenewEvery
	d.oldAuthorityWait = k.oldAuthority(d)
	op := k.nextOp()
	next := &GrantorRecord{Target: d.spec.Name, Term: TermPlaces, Router: k.cfg.Self,
		Successors: k.successors(now, d, k.cfg.Self), DataCentre: k.dataCentreForRecord(d), YieldAfter: d.wantedYield(), Ops: Ops{op}}
	if d.record != nil {
		next.Term, next.Ops = nextEpoch(d.record.Term), d.record.Ops.with(op)
		next.Unproved = d.record.Unproved || d.oldAuthorityWait > k.cfg.waitOut()
		if next.Unproved {
			// Whoever takes over before the proof has to outlast the one before too.
			next.YieldAfter = longer(next.YieldAfter, d.record.YieldAfter)
		}
	}
	k.put(now, d.key, d.revision, op, Update{Grantor: next})
}

// grantorWritten goes on after a write of the grantor record landed.
func (k *Keeper) grantorWritten(now time.Duration, w *write) {
	g := w.update.Grantor
	d := k.duties[g.Target]
	if d == nil || d.record == nil || d.record.Term != g.Term || d.record.Router != g.Router {
		return
	}
	switch {
	case g.Router != k.cfg.Self:
		k.report(HandedOver, g.Target, g.Term)
	case d.withoutStore:
		// The units stay: nobody else could order since this router took over.
		d.withoutStore, d.term, d.until = false, g.Term, 0
		k.confirm(now, d, w.sentAt)
	case d.phase == claiming:
		if k.isRemote(d) {
			k.report(ClaimedElsewhere, g.Target, g.Term)
		}
		k.startProof(now, d, d.oldAuthorityWait)
		k.confirm(now, d, w.sentAt)
	}
}

// grantorWriteFailed goes back to where the write started; the record is read anew.
func (k *Keeper) grantorWriteFailed(now time.Duration, w *write) {
	d := k.duties[w.update.Grantor.Target]
	if d == nil || d.withoutStore || d.phase != claiming {
		return
	}
	if d.record != nil && d.record.Term >= w.update.Grantor.Term {
		d.phase, d.promisesStoppedAt = idle, 0
	}
}

// raiseTerm takes the next epoch of a record that names this router already. Its
// successor may have acted without the store under a higher term of this epoch, so
// that a target that checks refuses this router's own. proved says that it has
// stopped; otherwise only the target's word that it took the new term will do.
func (k *Keeper) raiseTerm(now time.Duration, d *duty, proved bool) {
	k.drop(d, d.reported)
	d.termRaisePending, d.successorStopped = true, proved
	k.considerClaim(now, d)
}

// takeHandOver takes up a duty that the record gives to this router: its writer
// stopped before it wrote, so only orders under way are waited out.
func (k *Keeper) takeHandOver(now time.Duration, d *duty) {
	d.phase, d.promisesStoppedAt = claiming, now
	wait := k.cfg.OrderBound + k.cfg.slack()
	if d.record.Unproved {
		// A hand-over is never unproved: this is an own claim whose wait was broken off, as
		// where the target left the configuration for a moment.
		wait = k.waitForAllGrantors(d)
	}
	k.startProof(now, d, wait)
	k.sendRead(now, d)
}
