package ownership

import (
	"iter"
	"maps"
	"time"

	"tarragongw/core/routing"
)

// Gate is an immutable snapshot of what this router may send. It is safe for use
// by many goroutines.
type Gate struct {
	table  *Table
	rights map[string]sendRight
}

type sendRight struct {
	term  uint64
	until time.Duration
}

// MaySend reports whether a request on the unit may be sent to the target now. It
// must be called right before the first byte is written: a router that was paused
// since the look-up may have been superseded, which would give the target two
// senders or the unit two owners; the validity bound on the router's own clock
// shows it here.
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

// Term returns the term under which this router sends to the target; zero means
// that it doesn't.
func (g *Gate) Term(target string) uint64 {
	if g == nil {
		return 0
	}
	return g.rights[target].term
}

// Targets ranges over the targets that this router sends to, in no order.
func (g *Gate) Targets() iter.Seq[string] {
	if g == nil {
		return func(func(string) bool) {}
	}
	return maps.Keys(g.rights)
}

// Table returns the ownership that the gate checks against.
func (g *Gate) Table() *Table { return g.table }

// Lapsed reports whether the right to send to the target has run out by this router's clock
// and was neither renewed nor given up in order. That is what a router finds that was
// suspended: it has not come to the end of its right yet.
func (g *Gate) Lapsed(now time.Duration, target string) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	return ok && now >= h.until
}

// Until returns when the right to send to the target ends by this router's clock, and whether
// there is one.
func (g *Gate) Until(target string) (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	h, ok := g.rights[target]
	return h.until, ok
}

// Holds reports whether this router may send to the target now, whatever the unit;
// it is the check for services that are not divided by key.
func (g *Gate) Holds(now time.Duration, target string) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	return ok && now < h.until
}
