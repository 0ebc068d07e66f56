package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
)

// lossSuspicion is the evidence for and against the loss of one target.
type lossSuspicion struct {
	// unhealthy is the result of the health checks, received at unhealthyAt.
	unhealthy   bool
	unhealthyAt time.Duration
	// firstAskedAt and askedAt are when other routers were first and last asked whether they
	// reach the target; zero if they were not.
	firstAskedAt time.Duration
	askedAt      time.Duration
	// unreachableAt and reachedAt are when another router last answered that it does not
	// reach the target, or that it does; reachedBy is the router that reaches it.
	unreachableAt time.Duration
	reachedAt     time.Duration
	reachedBy     Router
	// withheld means that the loss is not declared although there is evidence for it.
	withheld bool
}

// suspectSince returns since when the target has been suspected of being lost; zero if it
// is not.
func (d *duty) suspectSince() time.Duration {
	if d.silentSince != 0 {
		return d.silentSince
	}
	return d.suspicion.unhealthyAt
}

// hasOwnEvidence reports whether this router's own evidence shows that the target is lost.
// Missing replies count only from when the store answers again, because a router that was
// cut off got replies from neither. A failed health check counts after one tick, because
// the results for several targets arrive one by one.
func (k *Keeper) hasOwnEvidence(now time.Duration, d *duty) bool {
	silent := d.silentSince != 0 && now-d.silentSince >= k.cfg.LostAfter
	unhealthy := d.suspicion.unhealthy && now-d.suspicion.unhealthyAt >= k.cfg.tick()
	return (silent || unhealthy) && (d.suspectSince() > k.storeRegainedAt || now-k.storeRegainedAt >= k.cfg.LostAfter)
}

func (k *Keeper) targetHealth(now time.Duration, e TargetHealth) {
	d := k.duties[e.Target]
	switch {
	case d == nil || d.phase < waiting:
		k.setLost(e.Target, e.Lost)
	case !e.Lost:
		k.clearLoss(d)
	default:
		d.suspicion.unhealthy, d.suspicion.unhealthyAt = true, now
	}
}

// clearLoss clears the loss of a target and all suspicion, because the target answers.
func (k *Keeper) clearLoss(d *duty) {
	if k.lostTargets[d.spec.Name] {
		k.announceLoss(d, false)
	}
	k.clearSuspicion(d)
	k.setLost(d.spec.Name, false)
}

func (k *Keeper) clearSuspicion(d *duty) {
	if d.suspicion.withheld {
		k.report(LossDismissed, d.spec.Name, d.term)
	}
	d.suspicion = lossSuspicion{}
}

// advanceLosses declares targets lost, with a limit on how many at once.
//
// Without the limit, a router whose own link fails, or that is partitioned from its targets
// alone, would get no replies from any of them. It would declare all of them lost, move
// their units to the few other targets or to other data centres, and move them back a
// moment later; each move interrupts the service of the units.
func (k *Keeper) advanceLosses(now time.Duration) {
	for len(k.declaredAt) > 0 && now-k.declaredAt[0] >= k.cfg.LossWindow {
		k.declaredAt = k.declaredAt[1:]
	}
	granted, suspects := k.countSuspects()
	if suspects == 0 {
		return
	}
	remaining := max(1, int(k.cfg.MaxLostShare*float64(granted))) - len(k.declaredAt)
	tooMany := suspects > remaining
	for _, d := range k.dutyList {
		if d.phase < waiting || k.lostTargets[d.spec.Name] || d.suspectSince() == 0 {
			continue
		}
		if tooMany {
			k.askOtherRouters(now, d)
		}
		if k.hasOwnEvidence(now, d) && k.decideLoss(now, d, remaining) {
			remaining--
		}
	}
}

// countSuspects counts the targets whose grantor is this router, and those of them that are
// suspected of being lost.
func (k *Keeper) countSuspects() (granted, suspects int) {
	for _, d := range k.dutyList {
		if d.phase < waiting {
			continue
		}
		granted++
		if d.suspectSince() != 0 && !k.lostTargets[d.spec.Name] {
			suspects++
		}
	}
	return granted, suspects
}

// decideLoss declares the target lost, hands its duty over, or withholds the loss. It
// reports whether it declared the loss on this router's own evidence; room is how many such
// declarations are still allowed.
func (k *Keeper) decideLoss(now time.Duration, d *duty, remaining int) bool {
	since := d.suspectSince()
	switch {
	case !k.storeReachable(now):
		// A router that hears from neither the targets nor the store may be cut off itself,
		// and could not move any units anyway.
		k.withholdLoss(d)
	case d.suspicion.reachedAt > since:
		k.withholdLoss(d)
		k.handOverIfReady(now, d, d.suspicion.reachedBy)
	case d.suspicion.unreachableAt > since:
		k.declareLost(d)
	case remaining <= 0 || d.suspicion.firstAskedAt != 0 && now-d.suspicion.firstAskedAt < 2*k.cfg.ReplyTimeout:
		k.withholdLoss(d)
	default:
		k.declaredAt = append(k.declaredAt, now)
		k.declareLost(d)
		return true
	}
	return false
}

// storeAnswered notes an answer of the store.
func (k *Keeper) storeAnswered(now time.Duration) {
	if !k.storeReachable(now) {
		k.storeRegainedAt = now
	}
	k.storeAnsweredAt = now
	k.storeRequest.answered()
}

// storeReachable reports whether the store answered recently. The store is independent of
// the targets, so its answers show that this router is not cut off itself.
func (k *Keeper) storeReachable(now time.Duration) bool {
	return now-k.storeAnsweredAt <= 2*k.cfg.RenewEvery+k.cfg.ReplyTimeout
}

func (k *Keeper) declareLost(d *duty) {
	d.suspicion = lossSuspicion{}
	k.setLost(d.spec.Name, true)
	k.announceLoss(d, true)
}

// announceLoss tells the other routers of the data centre that a target was lost or that it
// answers again; they have no other source for it. Without this a router would assign units
// to a target that was lost at the same time, and the units would have to move once more.
func (k *Keeper) announceLoss(d *duty, lost bool) {
	for _, r := range k.live {
		if r != k.cfg.Self {
			k.send(r, &ownershippb.Peer{Kind: ownershippb.Peer_PROBED, Target: d.spec.Name, Refused: lost})
		}
	}
}

// isSuspect reports whether the target is a bad choice for units: it does not answer this
// router, or another router reported a short while ago that it does not reach it.
func (k *Keeper) isSuspect(now time.Duration, target string) bool {
	d := k.duties[target]
	if d == nil {
		return false
	}
	reportedUnreachable := d.suspicion.unreachableAt > d.suspicion.reachedAt && now-d.suspicion.unreachableAt < k.cfg.HandBackAfter
	return d.suspectSince() != 0 || reportedUnreachable
}

func (k *Keeper) withholdLoss(d *duty) {
	if !d.suspicion.withheld {
		d.suspicion.withheld = true
		k.report(LossHeld, d.spec.Name, d.term)
	}
}

// handOverIfReady hands the duty over to a router that reaches the target when this one
// does not.
func (k *Keeper) handOverIfReady(now time.Duration, d *duty, to Router) {
	ready := d.phase == serving && !d.withoutStore && !d.received.active && k.writes[d.key] == nil
	if ready && now < d.validUntil(k) && k.isLive(to) && !k.leaving[to] {
		k.handOver(now, d, to)
	}
}

// probersAsked is the number of other routers that are asked whether they reach a target.
const probersAsked = 2

// askOtherRouters asks the next routers in the target's order whether they reach a target
// that does not answer.
func (k *Keeper) askOtherRouters(now time.Duration, d *duty) {
	if d.suspicion.askedAt != 0 && now-d.suspicion.askedAt < k.cfg.ReplyTimeout {
		return
	}
	d.suspicion.askedAt = now
	if d.suspicion.firstAskedAt == 0 {
		d.suspicion.firstAskedAt = now
	}
	asked := 0
	for _, r := range k.rank(d) {
		if r != k.cfg.Self && asked < probersAsked {
			asked++
			k.send(r, &ownershippb.Peer{Kind: ownershippb.Peer_PROBE, Target: d.spec.Name})
		}
	}
}

// probeSelf probes a target that takes no grants while this router waits for the end of the
// old authority, and for as long as the target does not answer. Health checks start only
// once this router serves; if the target was lost along with its grantor, its keys would
// otherwise wait first for the old authority and then for the health checks.
func (k *Keeper) probeSelf(now time.Duration, d *duty) {
	if d.probing && now-d.probedAt < k.cfg.LostAfter || now-d.probedAt < k.cfg.RenewEvery {
		return
	}
	d.probing, d.probedAt = true, now
	k.emit(ProbeTarget{Target: d.spec.Name, For: k.cfg.Self})
}

func (k *Keeper) noteOwnProbe(now time.Duration, d *duty, reached bool) {
	d.probing = false
	if d.phase < waiting {
		return
	}
	if reached && k.noteResponseTime(now, d, d.probedAt) {
		d.silentSince = 0
		k.clearLoss(d)
	} else if d.silentSince == 0 {
		d.silentSince = d.probedAt
	}
}

// probeForRouter probes the target on behalf of another router.
func (k *Keeper) probeForRouter(now time.Duration, d *duty, from Router) {
	if !k.storeReachable(now) {
		k.sendRead(now, d) // a router without duties has no other reason to ask the store
	}
	k.emit(ProbeTarget{Target: d.spec.Name, For: from})
}

// targetProbed sends the result of a probe to the router that asked for it. A router that
// may be cut off itself does not report that it fails to reach a target.
func (k *Keeper) targetProbed(now time.Duration, e TargetProbed) {
	if e.For == k.cfg.Self {
		if d := k.duties[e.Target]; d != nil && d.probing {
			k.noteOwnProbe(now, d, e.Reached)
		}
		return
	}
	if e.Reached || k.storeReachable(now) {
		k.send(e.For, &ownershippb.Peer{Kind: ownershippb.Peer_PROBED, Target: e.Target, Refused: !e.Reached})
	}
}

func (k *Keeper) noteProbeReply(now time.Duration, d *duty, e PeerMessage) {
	if d.noteReachProbe(now, e.From, !e.Message.GetRefused()) {
		return
	}
	k.checkUnowned = true
	if e.Message.GetRefused() {
		d.suspicion.unreachableAt = now
		return
	}
	d.suspicion.reachedAt, d.suspicion.reachedBy = now, e.From
}

func (k *Keeper) setLost(target string, lost bool) {
	if k.lostTargets[target] == lost {
		return
	}
	k.schedulePlanning()
	if !lost {
		delete(k.lostTargets, target)
		return
	}
	k.lostTargets[target] = true
	if d := k.duties[target]; d != nil && d.phase == serving {
		k.report(TargetLost, target, d.term)
	}
}
