package membership

import "time"

// health is this router's assessment of itself. A router that was suspended or is cut off
// finds all others silent although the fault is its own, so it checks itself before it
// judges others.
type health struct {
	lastTick time.Time
	// wakeAt is the time that Wake returned for the next tick; zero if Wake was not called.
	wakeAt time.Time
	// settleUntil is the end of the time without verdicts after a suspension, a cut-off or
	// a claim that this router is lost.
	settleUntil time.Time
	// score is the local health score; scoreChanged is when it last changed.
	score        int
	scoreChanged time.Time
	// lastPeerHeard is when any router of the data centre was last heard, and
	// lastExternalContact when anything else was. peerEverHeard says that a router of the
	// data centre was heard at all.
	lastPeerHeard       time.Time
	lastExternalContact time.Time
	peerEverHeard       bool
	// cutOff, declaredLostAt and superseded are reasons to consider this router isolated.
	// declaredLostAt is zero unless others have declared it lost.
	cutOff         bool
	declaredLostAt time.Time
	superseded     bool
	// isolated says that this router considers itself isolated, for the reason cause.
	isolated bool
	cause    Cause
}

// detectSuspension compares the time between ticks with the expected time.
//
// When the process is stopped for a while (a paused VM, a long garbage collection, an
// overcommitted host), it finds afterwards that no router was heard for longer than
// LostAfter. The suspension shows as a gap between two ticks. Silence is counted only while
// this router was running, and no verdict is reached for a while, in which the waiting
// messages are read and pings are answered.
func (c *Core) detectSuspension() {
	last, due := c.health.lastTick, c.health.lastTick.Add(c.cfg.Tick)
	if c.health.wakeAt.After(due) {
		due = c.health.wakeAt
	}
	c.health.lastTick = c.now
	if last.IsZero() || c.now.Sub(due) < c.cfg.SuspensionGap-c.cfg.Tick {
		c.decayScore()
		return
	}
	c.resumeAfterSuspension(c.now.Sub(last))
}

// resumeAfterSuspension continues after a suspension of this router, which lasted for at most
// the time suspended.
//
// The time without verdicts is no longer than the suspension, and after a short suspension
// the silence counted so far is kept. If each suspension were followed by SettleTime and a
// new count, a suspension of 60 ms near the loss of another router, as occurs on a busy
// host, would delay the verdict by a second, and the next one by another second. In a data
// centre with two routers no other router could reach the verdict. After a short suspension
// the others still consider this router alive, its sessions are open and its knowledge is
// valid.
func (c *Core) resumeAfterSuspension(suspended time.Duration) {
	c.health.settleUntil = later(c.health.settleUntil, c.now.Add(min(suspended, c.cfg.SettleTime)))
	c.raiseScore()
	short := suspended < c.cfg.LostAfter-c.cfg.Heartbeat
	c.timers.heartbeat = c.now
	c.health.lastPeerHeard = c.now
	for _, w := range c.watches {
		if short {
			w.excludeSuspension(suspended, c.now)
			continue
		}
		w.reset(c.now)
	}
	c.indirectProbes = c.indirectProbes[:0]
	for _, r := range c.suspects {
		r.stateChanged = c.now
	}
}

func (c *Core) raiseScore() {
	c.health.score = min(c.health.score+1, c.cfg.MaxHealthScore)
	c.health.scoreChanged = c.now
}

func (c *Core) decayScore() {
	if c.health.score > 0 && c.now.Sub(c.health.scoreChanged) >= c.cfg.HealthDecay {
		c.health.score--
		c.health.scoreChanged = c.now
	}
}

// detectCutOff detects that this router hears no other router of its data centre.
func (c *Core) detectCutOff() {
	cut := c.peers() > 0 && c.now.Sub(c.health.lastPeerHeard) >= c.cfg.CutOffAfter
	if cut && (c.peers() == 1 && c.hasExternalContact() || c.neverHeardPeers()) {
		// The only other router is silent while the platform responds, so the other router
		// is at fault; or all others are known only from claims of other data centres.
		cut = false
	}
	if cut == c.health.cutOff {
		return
	}
	c.health.cutOff = cut
	if !cut {
		c.endCutOff()
	}
}

// hasExternalContact reports whether something other than the data centre's routers
// responded recently.
func (c *Core) hasExternalContact() bool {
	return c.now.Sub(c.health.lastExternalContact) <= c.cfg.ExternalContactAge
}

// neverHeardPeers reports whether this router has heard no other router of its data centre
// for NoPeersAfter since its start, while the platform or other data centres respond. What
// it knows about its data centre then comes from other routers and may be out of date.
//
// This matters when all routers of a data centre are lost and new ones replace them. Other
// data centres still report the lost routers as alive. Without this rule the new router
// hears none of them, considers itself cut off, and asks one lost router to confirm the
// silence of the other. It never declares them lost, and their targets stay unserved.
//
// If only the new router's path to the others is broken, its verdict is wrong. They refute
// it where they learn of it, and their duties change hands once, protected by fencing or by
// waiting for expiry.
func (c *Core) neverHeardPeers() bool {
	return !c.health.peerEverHeard && c.now.Sub(c.start) >= c.cfg.NoPeersAfter && c.hasExternalContact()
}

// endCutOff publishes a new version of this router, since others may consider it isolated
// or lost.
func (c *Core) endCutOff() {
	c.health.settleUntil = c.now.Add(c.cfg.SettleTime)
	for _, w := range c.watches {
		w.reset(c.now)
	}
	c.raiseVersion()
	c.enqueue(c.self.update())
}

// peers returns the number of other routers of the data centre that are live or isolated.
func (c *Core) peers() int {
	return c.home.live - 1 + c.home.isolated
}

// canJudge reports whether this router may reach verdicts on others now.
func (c *Core) canJudge() bool {
	return !c.left && !c.health.cutOff && !c.health.superseded && c.health.declaredLostAt.IsZero() &&
		!c.now.Before(c.health.settleUntil)
}

// lostAfter returns the silence before a verdict, extended according to the local health
// score.
func (c *Core) lostAfter() time.Duration {
	return c.cfg.LostAfter + time.Duration(c.health.score)*c.cfg.HealthStep
}

// checkHealth reports when this router begins or ceases to consider itself isolated, and
// when the cause changes.
func (c *Core) checkHealth() {
	cause := c.isolationCause()
	if cause == c.health.cause {
		return
	}
	c.health.cause = cause
	c.health.isolated = cause != ""
	c.view = nil
	if c.health.isolated {
		c.out = append(c.out, IsolationChanged{On: true, Cause: cause})
		return
	}
	c.out = append(c.out, IsolationChanged{Cause: CauseRecovered})
}

// isolationCause returns the most severe reason to consider this router isolated, or an
// empty cause.
func (c *Core) isolationCause() Cause {
	switch {
	case c.health.superseded:
		return CauseSuperseded
	case c.health.cutOff:
		return CauseCutOff
	case !c.health.declaredLostAt.IsZero():
		return CauseDeclaredLost
	case c.minority():
		return CauseMinority
	case c.now.Before(c.health.settleUntil):
		return CauseSuspended
	}
	return ""
}

// minority reports whether this router reaches no more than half of its data centre.
func (c *Core) minority() bool {
	isolated := c.home.isolated
	return isolated > 0 && 2*isolated >= c.home.live+isolated
}

// receiveClaimOnSelf handles a claim about this router's own name.
func (c *Core) receiveClaimOnSelf(u Update) {
	if u.Member.Incarnation > c.self.Incarnation {
		c.newerInstance(u.Member.Incarnation)
		return
	}
	if u.Member.Incarnation < c.self.Incarnation || c.left {
		return
	}
	if u.State == Lost {
		// Other routers act as if this router were gone. Until one of them answers a ping,
		// this router must not rely on its duties, even if it has already refuted the
		// claim: the refutation may not have been delivered.
		c.health.declaredLostAt = c.now
	}
	if u.Version < c.self.version || u.State == Alive && u.Version == c.self.version {
		return
	}
	c.self.version = max(c.self.version, u.Version)
	c.raiseVersion()
	c.enqueue(c.self.update())
}

// newerInstance records that others know an instance of this router's name with the
// incarnation. A higher incarnation always belongs to a newer instance, since a router
// looks up its earlier incarnations before it starts. This instance is then a leftover; it
// must not act, and it keeps its incarnation.
func (c *Core) newerInstance(incarnation uint64) {
	c.health.superseded = c.health.superseded || incarnation > c.self.Incarnation
}

// receiveAck clears a claim that this router is lost: a router that knows its current
// version answered it.
func (c *Core) receiveAck() {
	if !c.health.declaredLostAt.IsZero() && c.now.Sub(c.health.declaredLostAt) >= c.cfg.Heartbeat {
		c.health.declaredLostAt = time.Time{}
		c.health.settleUntil = c.now.Add(c.cfg.SettleTime)
	}
}
