package membership

import (
	"slices"
	"time"
)

// addSilentOthers adds the names of members that a helper finds silent, up to limit names
// in total.
func (w *watch) addSilentOthers(names []string, limit int) {
	for _, name := range names {
		if len(w.silentOthers) < limit && name != w.member.Name && !slices.Contains(w.silentOthers, name) {
			w.silentOthers = append(w.silentOthers, name)
		}
	}
}

// indirectProbe is a ping of target on behalf of another router.
type indirectProbe struct {
	requester string
	seq       uint64
	target    string
	since     time.Time
	lastPing  time.Time
	deadline  time.Time
}

// requestIndirectProbes asks other routers to ping the member, because this router's own
// link may be at fault. The other observers are asked first, because they know when they
// last heard the member. If a heartbeat to this router was dropped just before the member
// was suspended, their reports prevent the two silences from being added up to a loss.
func (c *Core) requestIndirectProbes(w *watch) {
	w.helpRequested = true
	for _, h := range c.helpersFor(w.member) {
		w.helpers = append(w.helpers, h.Name)
		c.send(h.Name, Message{Kind: PingRequest, Seq: c.nextSeq(), Target: w.member.Name})
	}
}

// helpersFor returns other observers of r and as many random routers. The random ones
// observe other members and so know whether r is the only silent member.
func (c *Core) helpersFor(r *record) []*record {
	list := make([]*record, 0, c.cfg.Helpers)
	for _, o := range c.observersOf(r) {
		if o != c.self && o.state == Alive && len(list) < c.cfg.Helpers/2 {
			list = append(list, o)
		}
	}
	for _, o := range c.pick(c.cfg.Helpers, r) {
		if !slices.Contains(list, o) && len(list) < c.cfg.Helpers {
			list = append(list, o)
		}
	}
	return list
}

// pick returns up to n random alive members other than this router and except.
func (c *Core) pick(n int, except *record) []*record {
	ring := c.home.ring
	picked := make([]*record, 0, n)
	for range 4 * n {
		if len(picked) == n || len(ring) < 2 {
			break
		}
		r := ring[c.rnd.IntN(len(ring))]
		if r == c.self || r == except || r.state != Alive || slices.Contains(picked, r) {
			continue
		}
		picked = append(picked, r)
	}
	return picked
}

// receivePing answers a ping.
func (c *Core) receivePing(from string, m *Message) {
	c.send(from, Message{Kind: Ack, Seq: m.Seq})
}

// receivePingRequest begins to ping a member on behalf of another router.
func (c *Core) receivePingRequest(from string, m *Message) {
	if c.byName[m.Target] == nil || len(c.indirectProbes) >= c.cfg.MaxUpdates {
		return
	}
	h := indirectProbe{requester: from, seq: m.Seq, target: m.Target, since: c.now, deadline: c.now.Add(c.cfg.IndirectProbeTimeout)}
	// An immediate first report says what this router already knows and shows that this
	// router can be reached.
	c.report(&h, false, true)
	c.sendIndirectPing(&h)
	c.indirectProbes = append(c.indirectProbes, h)
}

func (c *Core) sendIndirectPing(h *indirectProbe) {
	h.lastPing = c.now
	c.send(h.target, Message{Kind: Ping, Seq: c.nextSeq()})
}

// runIndirectProbes repeats pings on behalf of others and reports when their time is up.
func (c *Core) runIndirectProbes() {
	kept := c.indirectProbes[:0]
	for _, h := range c.indirectProbes {
		if !c.now.Before(h.deadline) {
			if c.canJudge() {
				c.report(&h, false, false)
			}
			continue
		}
		if c.now.Sub(h.lastPing) >= c.cfg.ProbeEvery {
			c.sendIndirectPing(&h)
		}
		kept = append(kept, h)
	}
	c.indirectProbes = kept
}

// report sends the current result of an indirect probe to its requester.
func (c *Core) report(h *indirectProbe, heard, trying bool) {
	m := Message{Kind: Report, Seq: h.seq, Target: h.target, Heard: heard, Trying: trying}
	m.SilentMembers = c.silentWatches(h.target)
	if r := c.byName[h.target]; r != nil && !r.lastHeard.IsZero() {
		m.Silent = c.now.Sub(r.lastHeard)
	}
	c.send(h.requester, m)
}

// reportHeard reports a sign of life to the routers that requested a probe of the member.
func (c *Core) reportHeard(name string) {
	c.indirectProbes = slices.DeleteFunc(c.indirectProbes, func(h indirectProbe) bool {
		if h.target != name {
			return false
		}
		c.report(&h, true, false)
		return true
	})
}

// receiveReport processes a helper's report.
func (c *Core) receiveReport(from string, m *Message) {
	for _, w := range c.watches {
		if w.member.Name != m.Target || !slices.Contains(w.helpers, from) {
			continue
		}
		if m.Heard {
			c.markHeard(w.member)
			w.reset(c.now)
			return
		}
		if heard := c.now.Add(-m.Silent); m.Silent > 0 && heard.After(w.silentSince) {
			w.silentSince = heard
		}
		w.addSilentOthers(m.SilentMembers, c.cfg.Helpers*c.cfg.Observers)
		if !slices.Contains(w.reporters, from) {
			w.reporters = append(w.reporters, from)
		}
		if !m.Trying && !slices.Contains(w.confirmers, from) {
			w.confirmers = append(w.confirmers, from)
		}
	}
}
