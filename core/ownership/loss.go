package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
)

// lossSuspicion is what speaks for and against the loss of one target.
type lossSuspicion struct {
	// unhealthy is the verdict of health checks, given at sickAt.
	unhealthy   bool
	unhealthyAt time.Duration
	// firstAskedAt and askedAt are when other routers were first and last asked whether they
	// reach the target; zero: they weren't.
	firstAskedAt time.Duration
	askedAt      time.Duration
	// unreachableAt and reachedAt are when a router last said that it doesn't, or that it does;
	// reachedBy is the one that does.
	unreachableAt time.Duration
	reachedAt     time.Duration
	reachedBy     Router
	// withheld means that the loss is not declared although the evidence is there.
	withheld bool
}

// suspectSince is since when the target is in doubt; zero: it is not.
func (d *duty) suspectSince() time.Duration {
	if d.silentSince != 0 {
		return d.silentSince
	}
	return d.suspicion.unhealthyAt
}

// hasOwnEvidence says whether this router's own evidence makes the target lost. A silence counts
// from when the store answers again: whoever was cut off heard neither. A verdict of
// health checks waits for one tick, since those on several targets come one by one.
func (k *Keeper) hasOwnEvidence(now time.Duration, d *duty) bool {
	silent := d.silentSince != 0 && now-d.silentSince >= k.cfg.LostAfter
	sick := d.suspicion.unhealthy && now-d.suspicion.unhealthyAt >= k.cfg.tick()
	return (silent || sick) && (d.suspectSince() > k.storeRegainedAt || now-k.storeRegainedAt >= k.cfg.LostAfter)
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

// clearLoss takes back all doubt in a target.
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

// advanceLosses declares targets lost, not too many at once.
//
// What goes wrong without a cap: a router whose own link fails, or that is parted from
// the targets alone, hears none of them. It declares all lost and gives their units to
// the few that are left, or to those of other data centres, and takes them back a
// moment later; each move costs the units' service.
func (k *Keeper) advanceLosses(now time.Duration) {
	for len(k.declaredAt) > 0 && now-k.declaredAt[0] >= k.cfg.LossWindow {
		k.declaredAt = k.declaredAt[1:]
	}
	held, doubted := k.countSuspects()
	if doubted == 0 {
		return
	}
	room := max(1, int(k.cfg.MaxLostShare*float64(held))) - len(k.declaredAt)
	tooMany := doubted > room
	for _, d := range k.dutyList {
		if d.phase < waiting || k.lostTargets[d.spec.Name] || d.suspectSince() == 0 {
			continue
		}
		if tooMany {
			k.askOtherRouters(now, d)
		}
		if k.hasOwnEvidence(now, d) && k.decideLoss(now, d, room) {
			room--
		}
	}
}

// countSuspects counts the targets that this router is grantor of, and those in doubt.
func (k *Keeper) countSuspects() (held, doubted int) {
	for _, d := range k.dutyList {
		if d.phase < waiting {
			continue
		}
		held++
		if d.suspectSince() != 0 && !k.lostTargets[d.spec.Name] {
			doubted++
		}
	}
	return held, doubted
}

// decideLoss declares the target lost, gives its duty away or holds the verdict. It reports
// whether it declared on this router's own evidence, of which room is left so much.
func (k *Keeper) decideLoss(now time.Duration, d *duty, room int) bool {
	since := d.suspectSince()
	switch {
	case !k.storeReachable(now):
		// Whoever hears neither the targets nor the store may be cut off itself, and can
		// move nothing anyway.
		k.withholdLoss(d)
	case d.suspicion.reachedAt > since:
		k.withholdLoss(d)
		k.handOverIfReady(now, d, d.suspicion.reachedBy)
	case d.suspicion.unreachableAt > since:
		k.declareLost(d)
	case room <= 0 || d.suspicion.firstAskedAt != 0 && now-d.suspicion.firstAskedAt < 2*k.cfg.ReplyTimeout:
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

// storeReachable reports whether the store, which is no target, answered just now.
func (k *Keeper) storeReachable(now time.Duration) bool {
	return now-k.storeAnsweredAt <= 2*k.cfg.RenewEvery+k.cfg.ReplyTimeout
}

func (k *Keeper) declareLost(d *duty) {
	d.suspicion = lossSuspicion{}
	k.setLost(d.spec.Name, true)
	k.announceLoss(d, true)
}

// announceLoss tells the data centre's routers what became of a target, of which they hear
// nothing else. Without this a router gives units to a target that was lost at the same
// time, and they have to move once more.
func (k *Keeper) announceLoss(d *duty, lost bool) {
	for _, r := range k.live {
		if r != k.cfg.Self {
			k.send(r, &ownershippb.Peer{Kind: ownershippb.Peer_PROBED, Target: d.spec.Name, Refused: lost})
		}
	}
}

// isSuspect reports whether the target is a bad choice for units: silent to this router,
// or lost by the word of another one a short while ago.
func (k *Keeper) isSuspect(now time.Duration, target string) bool {
	d := k.duties[target]
	if d == nil {
		return false
	}
	told := d.suspicion.unreachableAt > d.suspicion.reachedAt && now-d.suspicion.unreachableAt < k.cfg.HandBackAfter
	return d.suspectSince() != 0 || told
}

func (k *Keeper) withholdLoss(d *duty) {
	if !d.suspicion.withheld {
		d.suspicion.withheld = true
		k.report(LossHeld, d.spec.Name, d.term)
	}
}

// handOverIfReady hands the duty to a router that reaches the target where this one doesn't.
func (k *Keeper) handOverIfReady(now time.Duration, d *duty, to Router) {
	ready := d.phase == serving && !d.withoutStore && !d.received.active && k.writes[d.key] == nil
	if ready && now < d.validUntil(k) && k.isLive(to) && !k.leaving[to] {
		k.handOver(now, d, to)
	}
}

// probersAsked is how many other routers are asked whether they reach a target.
const probersAsked = 2

// askOtherRouters asks the next routers in line whether they reach a silent target.
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

// probeSelf looks at a target that takes no grants while the old authority is waited out,
// and goes on while it is silent. Health checks begin once this router serves: where the
// target was lost along with its grantor, its keys would wait for both in turn.
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

// probeForRouter looks on behalf of another router.
func (k *Keeper) probeForRouter(now time.Duration, d *duty, from Router) {
	if !k.storeReachable(now) {
		k.sendRead(now, d) // a router without duties has no other reason to ask the store
	}
	k.emit(ProbeTarget{Target: d.spec.Name, For: from})
}

// targetProbed tells the router that asked. One that may be cut off itself doesn't say
// that it misses a target.
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
