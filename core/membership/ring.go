package membership

import (
	"cmp"
	"slices"
	"strings"
)

// compareRing orders members by ring position, and by name for equal positions.
func compareRing(a, b *record) int {
	if a.ringHash != b.ringHash {
		return cmp.Compare(a.ringHash, b.ringHash)
	}
	return strings.Compare(a.Name, b.Name)
}

// updateRing adds or removes r and recomputes the members that this router observes.
func (c *Core) updateRing(r *record, on bool) {
	ring := c.home.ring
	i, found := slices.BinarySearchFunc(ring, r, compareRing)
	switch {
	case on && !found:
		c.home.ring = slices.Insert(ring, i, r)
	case !on && found:
		c.home.ring = slices.Delete(ring, i, i+1)
	}
	c.assignObservers()
}

// assignObservers finds this router's observers, which are its successors on the ring, and
// the members that it observes, which are its predecessors. Positions are hashes of names,
// so that the routers of one rack are spread over the ring.
func (c *Core) assignObservers() {
	ring := c.home.ring
	at, found := slices.BinarySearchFunc(ring, c.self, compareRing)
	if !found {
		return
	}
	n := len(ring)
	k := min(c.cfg.Observers, n-1)
	c.observers = c.observers[:0]
	watches := make([]*watch, 0, k)
	for i := 1; i <= k; i++ {
		c.observers = append(c.observers, ring[(at+i)%n])
		watches = append(watches, c.watchOf(ring[(at-i+n)%n]))
	}
	c.watches = watches
}

// watchOf returns the watch of r, a new one if r was not observed yet.
func (c *Core) watchOf(r *record) *watch {
	for _, w := range c.watches {
		if w.member == r {
			return w
		}
	}
	return &watch{member: r, silentSince: c.now}
}

// observersOf returns the successors of r on the ring.
func (c *Core) observersOf(r *record) []*record {
	ring := c.home.ring
	at, found := slices.BinarySearchFunc(ring, r, compareRing)
	if !found {
		return nil
	}
	n := len(ring)
	list := make([]*record, 0, c.cfg.Observers)
	for i := 1; i <= min(c.cfg.Observers, n-1); i++ {
		list = append(list, ring[(at+i)%n])
	}
	return list
}
