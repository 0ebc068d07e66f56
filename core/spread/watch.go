package spread

import (
	"slices"

	"tarragongw/core/rendezvous"
)

// watchersOf returns the routers of a data centre that should watch the store.
func (c *Core) watchersOf(dc string, live []string, states map[string]storeState) []string {
	order := rendezvous.Top("watch\x00"+dc, c.cfg.Candidates, live)
	up := make([]string, 0, len(order))
	var down []string
	for _, name := range order {
		if states[name].down {
			down = append(down, name)
			continue
		}
		up = append(up, name)
	}
	// If no candidate reaches the store, the first ones keep trying: a store outage must not
	// make every router of the data centre call the store.
	all := append(up, down...)
	return all[:min(c.cfg.Watchers, len(all))]
}

// updateWatch starts or stops watching the store according to the member view. A lost watcher
// is replaced by the next router in order as soon as the member view says that it is lost.
func (c *Core) updateWatch() {
	on := slices.Contains(c.watchersOf(c.dc, c.members.Local, c.storeStates), c.self)
	if on == c.watching {
		return
	}
	c.watching = on
	c.actions = append(c.actions, Watch{On: on})
}

// storeReached tells the data centre that this router lost the store or reaches it again, so
// that the next candidate takes over.
func (c *Core) storeReached(up bool) {
	if up == c.storeUp {
		return
	}
	c.storeUp = up
	c.storeSeq++
	m := Message{Kind: StoreState, Root: c.self, Incarnation: c.incarnation, Seq: c.storeSeq, Up: up}
	c.receiveStoreState(&m)
}

func (c *Core) receiveStoreState(m *Message) {
	old, ok := c.storeStates[m.Root]
	if ok && (m.Incarnation < old.incarnation || m.Incarnation == old.incarnation && m.Seq <= old.seq) {
		return
	}
	c.storeStates[m.Root] = storeState{incarnation: m.Incarnation, seq: m.Seq, down: !m.Up}
	for _, child := range c.children(m.Root) {
		c.send(child, *m)
	}
	c.updateWatch()
}
