package membership

import (
	"slices"
	"time"
)

// verdictDelay returns how much longer to wait for the suspicions of other routers before a
// verdict.
//
// In a partition all members on the other side fall silent at once, but heartbeats are
// spread over their interval, so the first verdicts are due when most of the silent members
// are not suspected yet and do not count towards the cap. Without the delay a few members
// are declared lost on each side. If more than one member appears to be silent, the verdict
// waits for one more heartbeat interval.
func (c *Core) verdictDelay(w *watch) time.Duration {
	silent, total := c.silentCount()
	few := max(1, int(c.cfg.MassSilenceShare*float64(total)))
	if silent-1 >= few || c.helpersUnreachable(w) || c.silentOthers(w) >= min(few, silentOthersForDelay) {
		return c.cfg.Heartbeat
	}
	return 0
}

// silentOthersForDelay is the number of other silent members, among the few that this
// router and its helpers observe, from which a verdict is delayed.
const silentOthersForDelay = 2

// silentOthers returns the number of other members that this router or a helper finds
// silent, whether or not the suspicion was published.
func (c *Core) silentOthers(w *watch) int {
	names := slices.Clone(w.silentOthers)
	for _, name := range c.silentWatches(w.member.Name) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return len(names)
}

// silentWatches returns the names of the members other than except that this router
// observes and whose pings were not answered.
func (c *Core) silentWatches(except string) []string {
	var names []string
	for _, w := range c.watches {
		if w.member.Name != except && c.now.Sub(w.silentSince) >= c.cfg.ProbeAfter+c.cfg.ProbeEvery {
			names = append(names, w.member.Name)
		}
	}
	return names
}

// helpersUnreachable reports whether half or more of the helpers sent no report at all.
func (c *Core) helpersUnreachable(w *watch) bool {
	return len(w.helpers) > 0 && 2*(len(w.helpers)-len(w.reporters)) >= len(w.helpers)
}

// suspect marks the member as suspect. If other members are silent too, it publishes the
// suspicion, so that every router can count the silent members before the first verdict. A
// single suspicion is not published: if every pause of every router were announced to all,
// the traffic per router would grow with the fleet.
func (c *Core) suspect(w *watch) {
	if w.published || !isLive(w.member.state) || c.neverHeard(w.member) {
		return
	}
	c.change(w.member, Suspect, CauseSilent, "")
	if c.verdictDelay(w) > 0 {
		w.published = true
		c.enqueue(w.member.update())
	}
}

// judge declares a silent member lost, or isolated if too many members are silent.
func (c *Core) judge(w *watch) {
	r := w.member
	if !isLive(r.state) || !c.confirmed(w) {
		return
	}
	if c.overCap() || c.minority() {
		c.declare(r, Isolated, CauseOverCap)
		return
	}
	if c.neverHeard(r) {
		c.declare(r, Lost, CauseNeverHeard)
		return
	}
	c.recentLossTimes = append(c.recentLossTimes, c.now)
	c.declare(r, Lost, CauseSilent)
	// The member may be alive although it is not heard. It then learns of the claim and can
	// refute it.
	c.send(r.Name, Message{Kind: Push, Updates: []Update{r.update()}})
}

// neverHeard reports whether r became known recently and was never heard itself. A router
// that returns with an old view introduces many such members; their silence is not a sign
// of a partition and does not count towards the cap.
func (c *Core) neverHeard(r *record) bool {
	return r.lastHeard.IsZero() && (c.now.Sub(r.firstKnown) < c.cfg.NeverHeardGrace || c.neverHeardPeers())
}

// declare reports a verdict and publishes it.
func (c *Core) declare(r *record, to State, cause Cause) {
	c.change(r, to, cause, "")
	c.enqueue(r.update())
}

// confirmed reports whether enough helpers found the member silent too. If there is no
// other router to ask, a recent response from outside the data centre's routers must show
// that it is not this router that is cut off.
func (c *Core) confirmed(w *watch) bool {
	others := c.home.live - 2
	if others <= 0 || c.neverHeardPeers() {
		return c.hasExternalContact()
	}
	return len(w.confirmers) >= min(c.cfg.Confirmations, others)
}

// overCap reports whether so many members are silent at once that a partition is more
// likely than their loss.
func (c *Core) overCap() bool {
	silent, total := c.silentCount()
	return silent > c.maxSilent(total)
}

// silentCount returns the number of members of the data centre that are suspect, isolated
// or were lost within the window, and the number of all members including these.
func (c *Core) silentCount() (silent, total int) {
	for _, s := range c.suspects {
		if s.DataCentre == c.self.DataCentre && !c.neverHeard(s) {
			silent++
		}
	}
	total = c.home.live
	silent += c.home.isolated
	total += c.home.isolated
	lost := c.recentLosses()
	return silent + lost, total + lost
}

// recentLosses returns the number of losses within the window and discards older ones.
func (c *Core) recentLosses() int {
	old := 0
	for old < len(c.recentLossTimes) && c.now.Sub(c.recentLossTimes[old]) > c.cfg.LostWindow {
		old++
	}
	c.recentLossTimes = c.recentLossTimes[old:]
	return len(c.recentLossTimes)
}

// maxSilent returns how many of total members may be silent at once and still be declared
// lost: always one, and in a small data centre any strict minority.
func (c *Core) maxSilent(total int) int {
	n := int(c.cfg.LostShare * float64(total))
	if total <= c.cfg.SmallFleet {
		n = max(n, (total-1)/2)
	}
	return max(n, 1)
}
