package spread

import "time"

// join is the progress of a starting router towards a complete view.
type join struct {
	done bool
	// askedAt is when peers were last asked, offers the number of answers since.
	askedAt time.Time
	offers  int
	// bestPeer is the peer with the highest revision so far, bestMax.
	bestPeer string
	bestMax  uint64
	// source is the peer whose snapshot is being received, afterKey the last key received.
	source     string
	afterKey   string
	lastPartAt time.Time
}

// tickJoin asks peers for their revision, waits for a few answers and requests the snapshot of
// the peer with the highest revision.
//
// With only one peer, a router that restarts while the store is unreachable could take its
// records from a peer that was cut off for an hour, and work with a lower revision than before
// its restart. With several peers this happens only if all of them are behind.
func (c *Core) tickJoin() {
	j := &c.join
	if j.done || len(c.members.Local) == 0 {
		return
	}
	if j.source != "" {
		if c.now.Sub(j.lastPartAt) >= c.cfg.JoinTimeout {
			*j = join{}
		}
		return
	}
	if j.askedAt.IsZero() {
		c.queryPeers()
		return
	}
	if c.now.Sub(j.askedAt) < c.cfg.JoinTimeout && j.offers < c.cfg.JoinPeers {
		return
	}
	if j.bestPeer == "" {
		j.askedAt = time.Time{}
		return
	}
	j.source = j.bestPeer
	c.requestPart()
}

func (c *Core) queryPeers() {
	c.join.askedAt = c.now
	c.join.offers = 0
	names := c.members.Local
	sent := 0
	for _, i := range c.rnd.Perm(len(names)) {
		if names[i] == c.self || sent == c.cfg.JoinPeers {
			continue
		}
		sent++
		c.send(names[i], Message{Kind: Query})
	}
}

// receiveOffer records the revision of a peer that has a complete view itself.
func (c *Core) receiveOffer(from string, m *Message) {
	j := &c.join
	if j.done || !m.Done {
		return
	}
	j.offers++
	if j.bestPeer == "" || m.Max > j.bestMax {
		j.bestPeer, j.bestMax = from, m.Max
	}
}

func (c *Core) requestPart() {
	c.join.lastPartAt = c.now
	c.send(c.join.source, Message{Kind: SnapshotRequest, After: c.join.afterKey})
}

// sendSnapshot sends the next part of all records. The receiver requests each part, so that it
// sets the pace.
func (c *Core) sendSnapshot(to, after string) {
	if !c.join.done {
		return
	}
	list := c.table.sorted(after, "")
	entries := make([]Entry, 0, len(list))
	for _, h := range list {
		entries = append(entries, h.Entry)
	}
	n, _ := chunk(entries, c.cfg.MaxMessage)
	c.send(to, Message{Kind: Snapshot, Entries: entries[:n:n], Done: n == len(entries)})
}

func (c *Core) receiveSnapshot(from string, m *Message) {
	c.merge(m.Entries)
	if c.join.done || from != c.join.source {
		return
	}
	if m.Done {
		c.finishJoin(from)
		return
	}
	if len(m.Entries) > 0 {
		c.join.afterKey = m.Entries[len(m.Entries)-1].Key
	}
	c.requestPart()
}

// finishJoin reports that the view is complete.
func (c *Core) finishJoin(from string) {
	if c.join.done {
		return
	}
	c.join = join{done: true}
	c.actions = append(c.actions, Ready{From: from, Revision: c.table.max})
}
