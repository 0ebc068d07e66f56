package ownership

import "time"

// considerClaim decides whether this router claims the duty. The store's compare-and-swap
// serialises concurrent claims.
func (k *Keeper) considerClaim(now time.Duration, d *duty) {
	key := d.key
	if d.phase == claiming && k.actWithoutStore(now, d) {
		return
	}
	if k.countsForHandOver(now, d) {
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

// justSuperseded reports whether the grantor took the duty over from this router a short
// while ago, which shows that it was alive although no heartbeat of it arrives. Without
// this check two routers that reach the store but not each other would take the duty from
// each other with each renewal, as long as the connection between them is down.
func (k *Keeper) justSuperseded(now time.Duration, d *duty) bool {
	return d.supersededAt != 0 && now-d.supersededAt < k.cfg.HandBackAfter && !k.hasRestarted(d.record.Router)
}

// notYetSeen reports whether the router may be alive although this one, which has just
// started, has not seen it yet. Without this check a router that starts would take duties
// from live grantors or report them lost.
func (k *Keeper) notYetSeen(now time.Duration, r Router) bool {
	_, known := k.lastSeen[r.Name]
	return !known && now-k.liveSince[k.cfg.Self.Name] < k.cfg.LostAfter
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

// abandonClaim returns to giving promises when the grantor turned out to be live before
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

// mayClaim reports whether this router may claim the duty of a grantor that is not live.
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

// bothRestarted reports whether later instances prove that the recorded grantor and its
// first successor have ended.
func (k *Keeper) bothRestarted(d *duty) bool {
	s, ok := d.firstSuccessor()
	return k.hasRestarted(d.record.Router) && (!ok || k.hasRestarted(s))
}

// oldAuthority returns how long from now the authority of other routers may have effects,
// once the claim is in the store; never where nothing bounds it.
//
// It is not enough to wait for the recorded grantor alone. A router that claims the duty,
// has to wait for the long YieldAfter of the grantor before it, and is lost during that
// wait would be replaced by its first successor, which waits only for that router's
// authority while the earlier grantor still acts. A claim is therefore marked as unproved
// until its router serves.
func (k *Keeper) oldAuthority(d *duty) time.Duration {
	switch {
	case k.cfg.omit == omitWaitOut || d.record == nil:
		return 0
	case d.record.Router == k.cfg.Self && !d.successorStopped:
		return never
	case d.record.Unproved && k.waitForAllGrantors(d) == never && d.deadConfirmed:
		return k.cfg.waitOut() // only the operators' confirmation can end this wait
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

// waitForAllGrantors returns the wait after which no earlier grantor can act any more.
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

// claim writes the next epoch of the record with this router as grantor. From here on this
// router gives the old grantor no promises.
func (k *Keeper) claim(now time.Duration, d *duty) {
	if d.phase == idle {
		d.phase, d.promisesStoppedAt = claiming, now
	}
	d.nextClaimAt = now + k.cfg.RenewEvery
	d.oldAuthorityWait = k.oldAuthority(d)
	op := k.nextOp()
	next := &GrantorRecord{Target: d.spec.Name, Term: TermPlaces, Router: k.cfg.Self, Formers: k.formersForClaim(d),
		Successors: k.successors(now, d, k.cfg.Self), DataCentre: k.dataCentreForRecord(d), YieldAfter: d.wantedYield(), Ops: Ops{op}}
	if d.record != nil {
		next.Term, next.Ops = nextEpoch(d.record.Term), d.record.Ops.with(op)
		next.Unproved = d.record.Unproved || d.oldAuthorityWait > k.cfg.waitOut()
		if next.Unproved {
			// A router that takes over before the proof must also wait for the grantor before
			// this one.
			next.YieldAfter = longer(next.YieldAfter, d.record.YieldAfter)
		}
	}
	k.put(now, d.key, d.revision, op, Update{Grantor: next})
}

// grantorWritten is called when a write of the grantor record is known to be in the store.
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
		// The units stay assigned: no other router can have ordered the target since this one
		// took over.
		d.withoutStore, d.until = false, 0
		k.setTerm(d, g.Term)
		k.confirm(now, d, w.sentAt)
	case d.phase == claiming:
		if k.isRemote(d) {
			k.report(ClaimedElsewhere, g.Target, g.Term)
		}
		if d.oldAuthorityWait > 0 {
			d.earlierSendersUntil = now + k.cfg.waitOut()
		}
		k.startProof(now, d, d.oldAuthorityWait)
		k.confirm(now, d, w.sentAt)
	}
}

// grantorWriteFailed restores the phase before the write; the record is read again.
func (k *Keeper) grantorWriteFailed(now time.Duration, w *write) {
	d := k.duties[w.update.Grantor.Target]
	if d == nil || d.withoutStore || d.phase != claiming {
		return
	}
	if d.record != nil && d.record.Term >= w.update.Grantor.Term {
		d.phase, d.promisesStoppedAt = idle, 0
	}
}

// raiseTerm claims the next epoch of a record that already names this router. Its successor
// may have acted without the store under a higher term of this epoch, so that a target that
// checks refuses this router's own term. successorStopped means that the successor is known
// to have stopped; otherwise the only proof is that the target accepts the new term.
func (k *Keeper) raiseTerm(now time.Duration, d *duty, proved bool) {
	k.endFinishRight(d.key)
	k.drop(d, d.reported)
	d.termRaisePending, d.successorStopped = true, proved
	k.considerClaim(now, d)
}

// takeHandOver takes up a duty that the record gives to this router. The writer of the
// record stopped before it wrote, so only orders under way have to be waited for.
func (k *Keeper) takeHandOver(now time.Duration, d *duty) {
	d.phase, d.promisesStoppedAt = claiming, now
	wait := k.cfg.OrderBound + k.cfg.slack()
	if d.record.Unproved {
		// A hand-over is never unproved: this is this router's own claim whose wait was
		// interrupted, for example because the target left the configuration for a moment.
		wait = k.waitForAllGrantors(d)
	}
	k.startProof(now, d, wait)
	k.sendRead(now, d)
}
