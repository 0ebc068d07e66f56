package membership

import "time"

// maxSleep limits the time between two ticks of an idle router. A suspension is detected by
// a late tick; a suspension that ends before the next tick is due is not detected, so the
// limit must be well below LostAfter.
const maxSleep = 5 // ticks

// Wake returns how long after now the next Tick is due, at least one Config.Tick. The shell
// may send it earlier or at each Config.Tick; a later Tick may count as a suspension of
// this router.
func (c *Core) Wake(now time.Time) time.Duration {
	tick := c.cfg.Tick
	next := now.Add(tick)
	if c.idle() {
		next = c.nextDue(now.Add(maxSleep * tick))
	}
	d := max(next.Sub(now), tick)
	c.health.wakeAt = now.Add(d)
	return d
}

// idle reports whether no member is silent and only periodic tasks are pending.
func (c *Core) idle() bool {
	if c.start.IsZero() || c.health.isolated || c.health.cutOff || c.health.score > 0 || !c.health.declaredLostAt.IsZero() {
		return false
	}
	return len(c.indirectProbes) == 0 && len(c.suspects) == 0 && len(c.outboundQueue) == 0 && c.home.isolated == 0
}

// nextDue returns the earliest time before latest at which a tick has something to do.
func (c *Core) nextDue(latest time.Time) time.Time {
	next := latest
	t := &c.timers
	for _, at := range []time.Time{t.heartbeat, t.sync, t.summary, t.heal, t.second} {
		next = earlier(next, at)
	}
	for _, w := range c.watches {
		if w.probeNow {
			return c.now
		}
		next = earlier(next, w.silentSince.Add(c.cfg.ProbeAfter))
	}
	if c.peers() > 0 {
		next = earlier(next, c.health.lastPeerHeard.Add(c.cfg.CutOffAfter))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
