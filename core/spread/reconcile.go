package spread

import "time"

// sumHistory holds the last digests of this router and when each was replaced. A peer that
// still has one of them is not behind: the change is still on its way to it.
type sumHistory struct {
	sums [64]replacedSum
	next int
}

type replacedSum struct {
	sum   uint64
	until time.Time
}

func (p *sumHistory) add(sum uint64, until time.Time) {
	p.sums[p.next] = replacedSum{sum, until}
	p.next = (p.next + 1) % len(p.sums)
}

// heldSince reports whether this router had the digest sum at some time after since.
func (p *sumHistory) heldSince(sum uint64, since time.Time) bool {
	for i := range p.sums {
		if p.sums[i].sum == sum && p.sums[i].until.After(since) {
			return true
		}
	}
	return false
}

// sendDigest sends this router's digest. It finds changes that did not reach part of the tree
// because of a lost inner node or a dropped message.
func (c *Core) sendDigest(to string) {
	c.send(to, Message{Kind: Digest, Sum: c.table.sum, Max: c.table.max})
}

// randomHome returns a random other router of this data centre.
func (c *Core) randomHome() string { return c.randomOf(c.members.Local) }

// randomRemote returns a random watcher of a random other data centre.
func (c *Core) randomRemote() string {
	if len(c.members.Remote) == 0 {
		return ""
	}
	dc := c.members.Remote[c.rnd.IntN(len(c.members.Remote))]
	return c.randomOf(c.watchersOf(dc.Name, dc.Live, nil))
}

func (c *Core) randomOf(names []string) string {
	if len(names) == 0 {
		return ""
	}
	i := c.rnd.IntN(len(names))
	if names[i] == c.self {
		i = (i + 1) % len(names)
	}
	return names[i]
}

func (c *Core) receiveDigest(from string, m *Message) {
	if m.Reply {
		c.receiveOffer(from, m)
		return
	}
	if m.Sum == c.table.sum || c.recentSums.heldSince(m.Sum, c.now.Add(-c.cfg.PropagationTime)) {
		return
	}
	c.send(from, Message{Kind: Groups, Sum: c.table.sum, Sums: c.table.sums()})
}

// receiveGroups lists the revisions in some of the groups that differ. The other groups are
// left to later rounds, so that two very different routers do not flood each other.
func (c *Core) receiveGroups(from string, m *Message) {
	if len(m.Sums) != len(c.table.groups) || c.recentSums.heldSince(m.Sum, c.now.Add(-c.cfg.PropagationTime)) {
		return
	}
	left := c.cfg.MaxGroups
	offset := c.rnd.IntN(len(m.Sums))
	for i := range m.Sums {
		g := (i + offset) % len(m.Sums)
		if m.Sums[g] == c.table.groups[g].sum {
			continue
		}
		if left--; left < 0 {
			return
		}
		c.send(from, Message{Kind: Have, Group: uint32(g), Items: c.table.items(uint32(g))})
	}
}

// receiveHave sends the records that the peer lacks and requests those that this router lacks.
func (c *Core) receiveHave(from string, m *Message) {
	if int(m.Group) >= len(c.table.groups) {
		return
	}
	theirs := make(map[uint64]uint64, len(m.Items))
	var want []uint64
	for _, item := range m.Items {
		theirs[item.Hash] = item.Revision
		h := c.table.byHash[item.Hash]
		if h == nil || h.Revision < item.Revision {
			want = append(want, item.Hash)
		}
	}
	if len(want) > 0 {
		c.send(from, Message{Kind: Want, Hashes: want})
	}
	var fill []Entry
	for _, h := range c.table.groups[m.Group].keys {
		if revision, ok := theirs[h.hash]; !ok || revision < h.Revision {
			fill = append(fill, h.Entry)
		}
	}
	c.sendFill(from, fill)
}

func (c *Core) receiveWant(from string, m *Message) {
	var fill []Entry
	for _, hash := range m.Hashes {
		if h := c.table.byHash[hash]; h != nil {
			fill = append(fill, h.Entry)
		}
	}
	c.sendFill(from, fill)
}

// sendFill sends records, ownership first, up to the limit for one tick. Later rounds find the
// remaining ones.
func (c *Core) sendFill(to string, entries []Entry) {
	sortByUrgency(entries)
	budget := c.cfg.MaxFlush
	for len(entries) > 0 && budget > 0 {
		n, size := chunk(entries, c.cfg.MaxMessage)
		c.send(to, Message{Kind: Fill, Entries: entries[:n:n]})
		entries = entries[n:]
		budget -= size
	}
}

// repairDigests sends this router's digest to its parents in the trees of the watchers,
// shortly after a member was lost.
//
// When an inner node dies, changes sent before its loss is known don't reach the routers below
// it. Without this, they would only be found by a random exchange. The parents in the repaired
// tree are the routers that should have sent them.
func (c *Core) repairDigests() {
	if c.repairDue.IsZero() || c.now.Before(c.repairDue) {
		return
	}
	c.repairDue = time.Time{}
	for _, root := range c.watchersOf(c.dc, c.members.Local, c.storeStates) {
		c.sendDigest(c.parent(root))
	}
}
