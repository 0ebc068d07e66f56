package ownership

import (
	"iter"
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
	// closed is set while no new request may be sent under the right.
	closed bool
	// since is the lowest of this router's terms whose requests may be finished, finishUntil until
	// when.
	since       uint64
	finishUntil time.Duration
}

// MaySend reports whether a request on the unit may be sent to the target now. It must be
// called right before the first byte is written: a router that was suspended since the
// look-up may have been superseded, and the target would then have two senders or the unit
// two owners. The end of the right on the router's own clock reveals this.
func (g *Gate) MaySend(now time.Duration, target string, unit routing.Unit, token uint64) bool {
	if !g.Holds(now, target) {
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
	if h := g.rights[target]; !h.closed {
		return h.term
	}
	return 0
}

// Targets iterates over the targets that this router sends to, in no particular order.
func (g *Gate) Targets() iter.Seq[string] {
	return func(yield func(string) bool) {
		if g == nil {
			return
		}
		for target, h := range g.rights {
			if !h.closed && !yield(target) {
				return
			}
		}
	}
}

// Table returns the ownership that the gate checks against.
func (g *Gate) Table() *Table { return g.table }

// SendUntil returns until when, by this router's clock, bytes of a request may be sent to the
// target that was admitted under the term; zero means not at all. started is set if bytes of it
// have been sent.
//
// What has started may be finished after a move, which waits for it, and after a hand-over, for as
// long as the next grantor waits for it; see finishRight. It may not be finished after another router
// has taken the target over because this one was suspended or cut off: the unit may have moved
// meanwhile.
func (g *Gate) SendUntil(target string, term uint64, started bool) time.Duration {
	if g == nil || term == 0 {
		return 0
	}
	h := g.rights[target]
	switch {
	case term < h.since || term > h.term:
		return 0
	case started:
		return h.finishUntil
	case term == h.term && !h.closed:
		return h.until
	default:
		return 0
	}
}

// Holds reports whether this router may send to the target now, regardless of the unit. It
// is the check for services that are not divided by key.
func (g *Gate) Holds(now time.Duration, target string) bool {
	if g == nil {
		return false
	}
	h, ok := g.rights[target]
	return ok && !h.closed && now < h.until
}
