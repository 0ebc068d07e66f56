package membership

import (
	"time"

	"tarragongw/core/digest"
)

// sendDigest sends the digests of all data centres to a random router of this data centre,
// which finds the changes that pushes and repeats missed.
func (c *Core) sendDigest() {
	for _, r := range c.pick(1, c.self) {
		c.send(r.Name, Message{Kind: Digest, Digests: c.digests(), Links: c.links.all()})
	}
}

func (c *Core) digests() []DCDigest {
	list := make([]DCDigest, 0, len(c.dcs))
	for _, d := range c.dcs {
		list = append(list, DCDigest{DataCentre: d.name, Sum: d.sum})
	}
	return list
}

// receiveDigests asks for the members of data centres on which the views differ. A view
// that changed recently is skipped, because the change may still be spreading.
func (c *Core) receiveDigests(from *record, m *Message) {
	for _, theirs := range m.Digests {
		if theirs.DataCentre == "" || !c.acceptsDataCentre(theirs.DataCentre) {
			continue
		}
		ours := c.dataCentre(theirs.DataCentre)
		if ours.sum == theirs.Sum || c.now.Sub(ours.sumChanged) < c.cfg.DigestSettleTime {
			continue
		}
		c.send(from.Name, Message{Kind: ListRequest, DataCentre: theirs.DataCentre})
		if m.Seq == 0 {
			// Seq marks the reply, so that the receiver does not reply to it.
			reply := []DCDigest{{DataCentre: ours.name, Sum: ours.sum}}
			c.send(from.Name, Message{Kind: Digest, Seq: 1, Digests: reply})
		}
	}
}

// sendList sends all members of one data centre, or of all if name is empty. A router that
// was just suspended or is superseded sends nothing, because its view is out of date.
func (c *Core) sendList(to, name string) {
	if c.now.Before(c.health.settleUntil) || c.health.superseded {
		return
	}
	for _, d := range c.dcs {
		if name == "" || d.name == name {
			c.sendMembers(to, d)
		}
	}
}

// sendMembers sends the members of d in messages of limited size.
func (c *Core) sendMembers(to string, d *dataCentre) {
	var updates []Update
	for _, r := range d.members {
		if r.state == Unknown {
			continue
		}
		updates = append(updates, r.update())
		if len(updates) == c.cfg.ListChunk {
			c.send(to, Message{Kind: List, DataCentre: d.name, Updates: updates})
			updates = nil
		}
	}
	if len(updates) > 0 {
		c.send(to, Message{Kind: List, DataCentre: d.name, Updates: updates})
	}
}

// expire ends suspicions without a verdict and removes members that ended long ago. It runs
// once per second because it iterates over all members.
func (c *Core) expire() {
	for i := len(c.suspects) - 1; i >= 0; i-- {
		r := c.suspects[i]
		if c.now.Sub(r.stateChanged) >= c.cfg.SuspicionExpiry && !c.watchedSilent(r) {
			c.change(r, Alive, CauseExpired, "")
		}
	}
	c.recentLosses()
	c.expireLinks()
	for _, d := range c.dcs {
		c.expireIn(d)
	}
}

// watchedSilent reports whether this router itself finds r silent.
func (c *Core) watchedSilent(r *record) bool {
	for _, w := range c.watches {
		if w.member == r && c.now.Sub(w.silentSince) >= c.cfg.SuspectAfter {
			return true
		}
	}
	return false
}

func (c *Core) expireIn(d *dataCentre) {
	for i := len(d.members) - 1; i >= 0; i-- {
		r := d.members[i]
		age := c.now.Sub(r.stateChanged)
		switch {
		case r.state.ended() && age >= c.cfg.RetainEnded, r.state == Unknown && !r.listed && r != c.self:
			c.remove(r)
		case d == c.home && r.state == Isolated && c.delisted(r) && !r.hearsNobody && age >= c.delistedAfter(r) && c.canJudge():
			c.declare(r, Lost, CauseDelisted)
		}
	}
}

// delisted reports whether the platform's VM list, read by this router itself after r
// became isolated, does not name r. An earlier list may be from a time before r started,
// and r would be declared lost while it is alive.
func (c *Core) delisted(r *record) bool { return !r.listed && c.listAt.After(r.stateChanged) }

// delistedAfter returns the silence after which a delisted member is declared lost. It
// differs from router to router, so that usually one of them declares the loss and the
// others learn of it.
func (c *Core) delistedAfter(r *record) time.Duration {
	spread := digest.Mix(c.self.ringHash^r.ringHash) % uint64(c.cfg.DelistedAfter)
	return c.cfg.DelistedAfter + time.Duration(spread)
}

// byNameOrder returns all records, ordered by data centre and name.
func (c *Core) byNameOrder() []*record {
	list := make([]*record, 0, len(c.byName))
	for _, d := range c.dcs {
		list = append(list, d.members...)
	}
	return list
}
