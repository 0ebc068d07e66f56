package spread

import "strings"

// merge stores the records that are newer than those held and returns them. A record with a
// revision at or below the held one is dropped, whether it comes from an older peer, a store
// that answers late or a peer that returns from a partition.
func (c *Core) merge(entries []Entry) []Entry {
	var newer []Entry
	before := c.table.sum
	for _, e := range entries {
		if !c.table.newer(&e) || !c.fits(&e) {
			continue
		}
		if e.Deleted {
			e.Value = nil
		}
		older := c.replacedVersion(&e)
		c.table.put(e).previous = older
		newer = append(newer, e)
	}
	if len(newer) == 0 {
		return nil
	}
	sortByUrgency(newer)
	c.recentSums.add(before, c.now)
	c.actions = append(c.actions, Deliver{Entries: newer})
	return newer
}

// fits checks a record against the bounds on memory. A record that does not fit is reported,
// not silently dropped.
func (c *Core) fits(e *Entry) bool {
	if e.Key == "" || len(e.Value) > c.cfg.MaxValue {
		c.actions = append(c.actions, Refused{Key: e.Key, Size: e.size()})
		return false
	}
	h := c.table.byKey[e.Key]
	growth := e.size()
	if h != nil {
		growth -= h.size()
	}
	if h == nil && len(c.table.byKey) >= c.cfg.MaxEntries || growth > 0 && c.table.bytes+growth > c.cfg.MaxBytes {
		c.actions = append(c.actions, Refused{Key: e.Key, Size: e.size()})
		return false
	}
	return true
}

// fromStore merges records that this router read or wrote and passes on those that are newer,
// as the root of its own tree.
func (c *Core) fromStore(e *FromStore) {
	entries := e.Entries
	if e.Complete {
		entries = append(entries[:len(entries):len(entries)], c.deletedSince(e)...)
	} else {
		entries = c.limiter.admit(entries, c.now, c.cfg.MinChangeInterval)
	}
	c.relay(c.self, c.merge(entries))
	if e.Complete && e.Prefix == c.cfg.Prefix {
		c.finishJoin("")
	}
}

// deletedSince returns deletions of the keys that the store no longer has. Keys written after
// the list was read are not deleted.
func (c *Core) deletedSince(e *FromStore) []Entry {
	present := make(map[string]bool, len(e.Entries))
	for i := range e.Entries {
		present[e.Entries[i].Key] = true
	}
	var deletions []Entry
	for _, h := range c.table.sorted("", e.Prefix) {
		if !present[h.Key] && !h.Deleted && h.Revision < e.Revision && strings.HasPrefix(h.Key, e.Prefix) {
			deletions = append(deletions, Entry{Key: h.Key, Class: h.Class, Revision: e.Revision, Deleted: true})
		}
	}
	return deletions
}

func (c *Core) receive(from string, m *Message) {
	switch m.Kind {
	case Delta:
		c.receiveDelta(m)
	case Patched:
		c.receivePatches(from, m)
	case Digest:
		c.receiveDigest(from, m)
	case Groups:
		c.receiveGroups(from, m)
	case Have:
		c.receiveHave(from, m)
	case Want:
		c.receiveWant(from, m)
	case Fill:
		c.receiveFill(m)
	case Query:
		c.send(from, Message{Kind: Digest, Sum: c.table.sum, Max: c.table.max, Reply: true, Done: c.join.done})
	case SnapshotRequest:
		c.sendSnapshot(from, m.After)
	case Snapshot:
		c.receiveSnapshot(from, m)
	case StoreState:
		c.receiveStoreState(m)
	case Ask:
		c.receiveAsk(m)
	case Notice:
		c.receiveNotice(m)
	case Rows:
		c.receiveRows(from, m)
	}
}

// receiveDelta merges records and passes them on down the same tree, even if they already came
// by another tree: each tree must be complete by itself, so that the loss of one inner node
// keeps a change from nobody.
func (c *Core) receiveDelta(m *Message) {
	c.merge(m.Entries)
	c.relay(m.Root, m.Entries)
}

// receiveFill merges records that came outside a tree and passes the newer ones on down the
// trees: a router that missed a change did not pass it on, so the routers below it missed it
// too. A watcher also does this, as the root of its own tree, with records from another data
// centre while its own cannot reach the store.
func (c *Core) receiveFill(m *Message) {
	newer := c.merge(m.Entries)
	for _, root := range c.watchersOf(c.dc, c.members.Local, c.storeStates) {
		c.relay(root, newer)
	}
}
