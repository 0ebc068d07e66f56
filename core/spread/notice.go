package spread

// noticeID orders the notices of one router.
type noticeID struct{ incarnation, seq uint64 }

// notNewerThan reports whether the notice is older than o or the same.
func (n noticeID) notNewerThan(o noticeID) bool {
	return n.incarnation < o.incarnation || n.incarnation == o.incarnation && n.seq <= o.seq
}

// announce sends a notice down this router's tree.
func (c *Core) announce(value []byte) {
	c.noticeSeq++
	m := Message{Kind: Notice, Root: c.self, Incarnation: c.incarnation, Seq: c.noticeSeq, Entries: []Entry{{Value: value}}}
	for _, child := range c.children(c.self) {
		c.send(child, m)
	}
}

// receiveNotice passes a notice on and reports it. A notice that is not newer than the last
// one of the same router is dropped: otherwise one that was delayed on its way would replace a
// later one.
func (c *Core) receiveNotice(m *Message) {
	id := noticeID{m.Incarnation, m.Seq}
	if len(m.Entries) != 1 || m.Root == c.self || id.notNewerThan(c.lastNotice[m.Root]) {
		return
	}
	if _, known := c.lastNotice[m.Root]; !known && len(c.lastNotice) >= maxTrees {
		return
	}
	c.lastNotice[m.Root] = id
	for _, child := range c.children(m.Root) {
		c.send(child, *m)
	}
	c.actions = append(c.actions, Announced{From: m.Root, Value: m.Entries[0].Value})
}
