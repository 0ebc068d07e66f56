package spread

import (
	"slices"

	"tarragongw/core/rendezvous"
)

// outbox holds the records that are queued to be sent down one tree.
type outbox struct {
	root    string
	entries []Entry
}

// maxTrees bounds the trees that are cached: those of the watchers and of routers that
// recently wrote something.
const maxTrees = 16

// children returns this router's children in the tree of root. All routers with the same
// member view put the members in the same order, by rendezvous weight for the root, and that
// order, read as a heap, is the tree. If a member is lost, it drops out of the order, which
// repairs the tree.
func (c *Core) children(root string) []string {
	if list, ok := c.trees[root]; ok {
		return list
	}
	if len(c.trees) >= maxTrees {
		clear(c.trees)
	}
	list := c.buildChildren(root)
	c.trees[root] = list
	return list
}

func (c *Core) buildChildren(root string) []string {
	order := c.treeOrder(root)
	at := slices.Index(order, c.self)
	if at < 0 {
		return nil
	}
	first := min(at*c.cfg.Fanout+1, len(order))
	last := min(first+c.cfg.Fanout, len(order))
	return order[first:last]
}

// treeOrder returns the members in the order of the tree of root, root first.
func (c *Core) treeOrder(root string) []string {
	rest := slices.DeleteFunc(slices.Clone(c.members.Local), func(n string) bool { return n == root })
	return append([]string{root}, rendezvous.Order("tree\x00"+root, rest)...)
}

// parent returns this router's parent in the tree of root, or an empty string for the root
// itself.
func (c *Core) parent(root string) string {
	order := c.treeOrder(root)
	at := slices.Index(order, c.self)
	if at <= 0 {
		return ""
	}
	return order[(at-1)/c.cfg.Fanout]
}

// relay queues records to be sent down the tree of root, each revision once.
func (c *Core) relay(root string, entries []Entry) {
	if len(entries) == 0 || len(c.children(root)) == 0 {
		return
	}
	box := c.outboxOf(root)
	for i := range entries {
		h := c.table.byKey[entries[i].Key]
		if h == nil || h.Revision != entries[i].Revision || slices.Contains(h.relayed, root) {
			continue
		}
		h.relayed = append(h.relayed, root)
		box.add(h.Entry)
	}
}

func (c *Core) outboxOf(root string) *outbox {
	for i := range c.outboxes {
		if c.outboxes[i].root == root {
			return &c.outboxes[i]
		}
	}
	c.outboxes = append(c.outboxes, outbox{root: root})
	return &c.outboxes[len(c.outboxes)-1]
}

// add queues a record, in place of an older revision of its key that is still queued: a burst
// of changes to one key is sent once.
func (b *outbox) add(e Entry) {
	for i := range b.entries {
		if b.entries[i].Key == e.Key {
			b.entries[i] = e
			return
		}
	}
	b.entries = append(b.entries, e)
}

// flush sends the queued records, at most once a tick and up to MaxFlush bytes, ownership
// first. The rest stays queued for the next tick.
func (c *Core) flush() {
	if len(c.outboxes) == 0 || c.now.Sub(c.lastFlush) < c.cfg.Tick {
		return
	}
	c.lastFlush = c.now
	var kept []outbox
	for i := range c.outboxes {
		if b := &c.outboxes[i]; c.flushOutbox(b) {
			kept = append(kept, *b)
		}
	}
	c.outboxes = kept
}

// flushOutbox sends the records of one outbox and reports whether some are left.
func (c *Core) flushOutbox(b *outbox) bool {
	sortByUrgency(b.entries)
	sent, budget := 0, c.cfg.MaxFlush-c.flushPatches(b)
	for sent < len(b.entries) && budget > 0 {
		n, size := chunk(b.entries[sent:], min(c.cfg.MaxMessage, budget))
		part := b.entries[sent : sent+n : sent+n]
		for _, child := range c.children(b.root) {
			c.send(child, Message{Kind: Delta, Root: b.root, Entries: part})
		}
		sent += n
		budget -= size
	}
	b.entries = b.entries[sent:]
	return len(b.entries) > 0
}

// chunk returns how many of the records fit into limit bytes, at least one, and their size.
func chunk[T any, P interface {
	*T
	size() int
}](records []T, limit int) (n, size int) {
	for n < len(records) {
		s := P(&records[n]).size()
		if n > 0 && size+s > limit {
			break
		}
		size += s
		n++
	}
	return n, size
}

// setMembers handles a new member view, from which the trees and the watchers follow.
func (c *Core) setMembers(m Members) {
	if c.repairDue.IsZero() && anyMissing(c.members.Local, m.Local) {
		c.repairDue = c.now.Add(c.cfg.RepairDelay)
	}
	c.members = m
	clear(c.trees)
	for name := range c.lastNotice {
		if _, ok := slices.BinarySearch(m.Local, name); !ok {
			delete(c.lastNotice, name)
		}
	}
	for name := range c.storeStates {
		if _, ok := slices.BinarySearch(m.Local, name); !ok {
			delete(c.storeStates, name)
		}
	}
	c.updateWatch()
}

// anyMissing reports whether a name of the sorted list before is missing from after.
func anyMissing(before, after []string) bool {
	for _, name := range before {
		if _, ok := slices.BinarySearch(after, name); !ok {
			return true
		}
	}
	return false
}
