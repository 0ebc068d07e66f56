package ownership

import "time"

// tick is the interval of ticks while anything but renewals is under way.
func (c *Config) tick() time.Duration { return c.RenewEvery / 4 }

// Wake returns how long after now the next Tick is due, at least RenewEvery/4. The shell
// may send it earlier, or at each RenewEvery/4; a Tick that comes much later counts as a
// pause of this router.
func (k *Keeper) Wake(now time.Duration) time.Duration {
	d := k.cfg.tick()
	if k.onlyRenewalsDue() {
		d = max(d, k.nextDue(now+k.cfg.Authority)-now)
	}
	k.wakeAt = now + d
	return d
}

// onlyRenewalsDue reports whether nothing but renewals is pending and no event is expected.
func (k *Keeper) onlyRenewalsDue() bool {
	if k.stopping || k.checkUnowned || len(k.moves) > 0 || len(k.writes) > 0 || k.isFinishingAny() {
		return false
	}
	for _, d := range k.dutyList {
		if !k.onlyRenewalDue(d) {
			return false
		}
	}
	return true
}

// onlyRenewalDue reports whether a duty is served in the normal way, by this router or by
// another live one.
func (k *Keeper) onlyRenewalDue(d *duty) bool {
	switch d.phase {
	case idle:
		return d.recordRead && d.record != nil && d.record.Router != k.cfg.Self && k.grantorLive(d)
	case serving:
		// While a reply is missing, steps are short, so that a pause of this router is noticed.
		return !d.withoutStore && !d.received.active && d.silentSince == 0 && !d.suspicion.unhealthy && len(d.record.Formers) == 0 &&
			(!d.spec.takesGrants() || d.digest == d.sentDigest)
	default:
		return false
	}
}

// nextDue returns the earliest time at which a renewal, or the end of the wait for a reply,
// is due, but at most latest.
func (k *Keeper) nextDue(latest time.Duration) time.Duration {
	next := min(latest, k.renewTogetherBy)
	for _, d := range k.dutyList {
		if d.phase != serving {
			continue
		}
		next = min(next, d.readAt+k.cfg.RenewEvery)
		switch {
		case !d.spec.takesGrants():
		case d.outstanding != 0:
			next = min(next, d.sentAt+k.cfg.ReplyTimeout)
		default:
			next = min(next, max(d.abandonedArrivesBy, d.sentAt+k.cfg.RenewEvery))
		}
	}
	return next
}

// renewalsDue reports whether a renewal is due. All renewals that would soon be due are
// then done in the same step, so that the renewals of one router share their wake-ups and
// their reads share one call.
//
// A relay may ask for the next renewals sooner. All routers of a data centre that use the
// relay then share one read, and none of them ever waits longer for its next renewals.
func (k *Keeper) renewalsDue(now time.Duration) bool {
	if now >= k.renewTogetherBy {
		k.renewTogetherBy = never
		return true
	}
	for _, d := range k.dutyList {
		if d.phase != serving {
			continue
		}
		if now-d.readAt >= k.cfg.RenewEvery || d.spec.takesGrants() && d.outstanding == 0 && now-d.sentAt >= k.cfg.RenewEvery {
			return true
		}
	}
	return false
}

// renewalDue reports whether a renewal that was last done at the given time is to be
// repeated now.
func (k *Keeper) renewalDue(now, at time.Duration) bool {
	return now-at >= k.cfg.RenewEvery || k.renewTogether && now-at >= k.cfg.RenewEvery/2
}

// late returns by how much this step comes later than it was due.
func (k *Keeper) late(now time.Duration) time.Duration {
	return now - max(k.lastStepAt+k.cfg.tick(), k.wakeAt)
}
