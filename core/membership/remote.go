package membership

import (
	"slices"
	"strings"

	"tarragongw/core/rendezvous"
)

// links holds the representatives' statements on other data centres, sorted by data centre
// and representative.
type links struct {
	list []Link
	seq  uint64
}

func (l *links) all() []Link { return slices.Clone(l.list) }

// representatives returns the routers that represent d. All routers with the same view
// choose the same ones.
func (c *Core) representatives(d *dataCentre) []string {
	if d.reps != nil {
		return d.reps
	}
	names := make([]string, 0, d.live)
	for _, r := range d.members {
		if isLive(r.state) && !r.leaving {
			names = append(names, r.Name)
		}
	}
	d.reps = rendezvous.Top("representative\x00"+d.name, c.cfg.Representatives, names)
	return d.reps
}

// Representative reports whether this router represents its data centre.
func (c *Core) Representative() bool {
	return slices.Contains(c.representatives(c.home), c.self.Name)
}

// speaksForDataCentre reports whether this router sends on behalf of its data centre. A
// leaving router does so only if all others are leaving too: otherwise its leaving would
// never be announced to other data centres, and its data centre would appear to be cut off
// while it drains.
func (c *Core) speaksForDataCentre() bool {
	return c.Representative() || len(c.representatives(c.home)) == 0
}

// sendSummaries sends the digest of this data centre to one representative of each other
// data centre, and publishes which of them can be heard. One summary in FullSummary
// contains the digests of all data centres, so that a data centre learns through a third
// one about those that it cannot hear itself.
func (c *Core) sendSummaries() {
	if !c.speaksForDataCentre() || c.left {
		return
	}
	c.summaries++
	m := Message{Kind: Digest, Digests: []DCDigest{{DataCentre: c.home.name, Sum: c.home.sum}}}
	if c.summaries%c.cfg.FullSummary == 0 {
		m.Digests = c.digests()
	}
	var changed []Link
	for _, d := range c.dcs {
		if d == c.home {
			continue
		}
		if to := c.nextRepresentative(d); to != "" {
			c.send(to, m)
		}
		if l, ok := c.changedLink(d); ok {
			changed = append(changed, l)
		}
	}
	c.publishLinks(changed)
}

// nextRepresentative selects the representatives of d in turn. With a random choice, a
// representative occasionally received nothing for so long that it considered this data
// centre cut off.
func (c *Core) nextRepresentative(d *dataCentre) string {
	reps := c.representatives(d)
	if len(reps) == 0 {
		return c.anyKnownRouter(d)
	}
	return reps[c.summaries%len(reps)]
}

func (c *Core) anyRepresentative(d *dataCentre) string {
	reps := c.representatives(d)
	if len(reps) == 0 {
		return c.anyKnownRouter(d)
	}
	return reps[c.rnd.IntN(len(reps))]
}

// anyKnownRouter returns a random known router of d that has not left. It may not be a
// member, for example if it is known only from the platform's VM list.
func (c *Core) anyKnownRouter(d *dataCentre) string {
	names := make([]string, 0, len(d.members))
	for _, r := range d.members {
		if r.state != Left {
			names = append(names, r.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[c.rnd.IntN(len(names))]
}

// changedLink returns this router's statement on another data centre if it differs from the
// previous one. There is no statement until the data centre was heard, or RemoteTimeout has
// passed since it was first expected.
func (c *Core) changedLink(d *dataCentre) (Link, bool) {
	if d.lastHeard.IsZero() && d.firstExpected.IsZero() {
		d.firstExpected = c.now
	}
	if d.lastHeard.IsZero() && c.now.Sub(d.firstExpected) < c.cfg.RemoteTimeout {
		return Link{}, false
	}
	up := !d.lastHeard.IsZero() && c.now.Sub(d.lastHeard) < c.cfg.RemoteTimeout
	if old, ok := c.findLink(c.self.Name, d.name); ok && old.Up == up && old.Incarnation == c.self.Incarnation {
		return Link{}, false
	}
	c.links.seq++
	return Link{From: c.self.Name, Incarnation: c.self.Incarnation, DataCentre: d.name, Seq: c.links.seq, Up: up}, true
}

// publishLinks sends the changed statements to each router of the data centre in one
// message.
func (c *Core) publishLinks(changed []Link) {
	if len(changed) == 0 {
		return
	}
	for _, l := range changed {
		c.storeLink(l)
	}
	for _, r := range c.home.ring {
		if r != c.self {
			c.send(r.Name, Message{Kind: Push, Links: changed})
		}
	}
}

// expireLinks removes the statements of routers that no longer represent the data centre.
func (c *Core) expireLinks() {
	reps := c.representatives(c.home)
	c.links.list = slices.DeleteFunc(c.links.list, func(l Link) bool { return !slices.Contains(reps, l.From) })
}

func (c *Core) findLink(from, dc string) (Link, bool) {
	for _, l := range c.links.list {
		if l.From == from && l.DataCentre == dc {
			return l, true
		}
	}
	return Link{}, false
}

func (c *Core) receiveLinks(list []Link) {
	for _, l := range list {
		if c.byName[l.From] == nil || l.DataCentre == c.home.name || l.DataCentre == "" || !c.acceptsDataCentre(l.DataCentre) {
			continue
		}
		old, ok := c.findLink(l.From, l.DataCentre)
		if ok && (l.Incarnation < old.Incarnation || l.Incarnation == old.Incarnation && l.Seq <= old.Seq) {
			continue
		}
		c.storeLink(l)
	}
}

// storeLink stores a statement and reports a change of the data centre's link.
func (c *Core) storeLink(l Link) {
	before := c.linkUp(l.DataCentre)
	i, found := slices.BinarySearchFunc(c.links.list, l, compareLink)
	if found {
		c.links.list[i] = l
	} else {
		c.links.list = slices.Insert(c.links.list, i, l)
	}
	after := c.linkUp(l.DataCentre)
	if before == after {
		return
	}
	c.invalidate(c.dataCentre(l.DataCentre))
	c.out = append(c.out, LinkChanged{DataCentre: l.DataCentre, Up: after})
}

func compareLink(a, b Link) int {
	if a.DataCentre != b.DataCentre {
		return strings.Compare(a.DataCentre, b.DataCentre)
	}
	return strings.Compare(a.From, b.From)
}

// linkUp reports whether any current representative hears the data centre, or none has made
// a statement yet. A new representative without a statement does not outweigh one that
// states that it hears nothing.
func (c *Core) linkUp(dc string) bool {
	said := false
	for _, rep := range c.representatives(c.home) {
		l, ok := c.findLink(rep, dc)
		if ok && l.Up {
			return true
		}
		said = said || ok
	}
	return !said
}

// forward queues a change within this data centre for the other data centres, if this
// router represents its own. Suspicions are not forwarded.
func (c *Core) forward(u Update) {
	if u.State == Suspect || u.Member.DataCentre != c.self.DataCentre || len(c.dcs) == 1 || !c.speaksForDataCentre() {
		return
	}
	c.outboundQueue = replaceUpdate(c.outboundQueue, u, c.cfg.MaxQueued)
}

// flushOutbound sends the queued changes to one representative of each other data centre.
func (c *Core) flushOutbound() {
	if len(c.outboundQueue) == 0 {
		return
	}
	n := min(len(c.outboundQueue), c.cfg.MaxUpdates)
	batch := c.outboundQueue[:n:n]
	c.outboundQueue = c.outboundQueue[n:]
	for _, d := range c.dcs {
		if d == c.home {
			continue
		}
		if to := c.anyRepresentative(d); to != "" {
			c.send(to, Message{Kind: Push, Updates: batch})
		}
	}
}
