package ownership

import (
	"iter"
	"maps"
	"time"

	"tarragongw/core/routing"
)

// Gate is an immutable snapshot of what this router may send. It is safe for concurrent
// use.
type Gate struct {
	table  *Table
	rights map[string]sendRight
}

type sendRight struct {
	term  uint64
	until time.Duration
}

// MaySend reports whether a request on the unit may be sent to the target now. It must be
// called right before the first byte is written: a router that was suspended since the
// look-up may have been superseded, and the target would then have two senders or the unit
// two owners. The end of the right on the router's own clock reveals this.
func (g *Gate) MaySend(now time.Duration, target string, unit routing.Unit, token uint64) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	if !ok || now >= h.until {
		return false
	}
	st, ok := g.table.State(unit)
	return ok && st.Target == target && st.Token == token && !st.Releasing
}

// Term returns the term under which this router sends to the target; zero means that it
// does not send to it.
func (g *Gate) Term(target string) uint64 {
	if g == nil {
		return 0
	}
	return g.rights[target].term
}

// Targets iterates over the targets that this router sends to, in no particular order.
func (g *Gate) Targets() iter.Seq[string] {
	if g == nil {
		return func(func(string) bool) {}
	}
	return maps.Keys(g.rights)
}

// Table returns the ownership that the gate checks against.
func (g *Gate) Table() *Table { return g.table }

// Expired reports whether the right to send to the target has expired by this router's clock
// and was neither renewed nor given up in an orderly way. This is the state of a router
// that was suspended and has not yet processed the end of its right.
func (g *Gate) Expired(now time.Duration, target string) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	return ok && now >= h.until
}

// Until returns when the right to send to the target ends by this router's clock, and
// whether the router has such a right.
func (g *Gate) Until(target string) (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	h, ok := g.rights[target]
	return h.until, ok
}

// Holds reports whether this router may send to the target now, regardless of the unit. It
// is the check for services that are not divided by key.
func (g *Gate) Holds(now time.Duration, target string) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	return ok && now < h.until
}
