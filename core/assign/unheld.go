package assign

import (
	"cmp"
	"slices"
	"time"
)

// minUngrantedFailures is how many orders in a row to a new holder must have failed before its keys go to another one.
const minUngrantedFailures = 2

// freeUngranted takes keys from new holders that no grant can have reached, because each of their orders failed before it left
// this router. Others can be tried at once: nothing has to expire.
func (a *Assigner) freeUngranted(now time.Time) {
	if !a.anyCandidate(func(c *candidate) bool { return c.failures >= minUngrantedFailures }) || !a.mostAnswer() {
		return
	}
	for i := range a.spans {
		s := &a.spans[i]
		if c := a.candidates[s.Target]; c != nil && c.failures >= minUngrantedFailures && s.ungranted(now) {
			a.markUnheld(s, Ungranted, s.handover)
		}
	}
}

// ungranted reports whether no grant of the range can have reached its holder.
func (s *span) ungranted(now time.Time) bool {
	return s.newHolder && s.grantSent && !s.acked && !s.inherited && !s.Moving && !s.orderInFlight && !s.lastExpiry().After(now)
}

// unheldByDemand returns the ranges without a holder, those with the most load first.
func (a *Assigner) unheldByDemand() []*span {
	var unheld []*span
	for i := range a.spans {
		if s := &a.spans[i]; s.Target == "" {
			unheld = append(unheld, s)
		}
	}
	slices.SortStableFunc(unheld, func(x, y *span) int {
		return cmp.Compare(a.loadTracker.rangeLoad(y.From, y.To), a.loadTracker.rangeLoad(x.From, x.To))
	})
	return unheld
}

// sortByDemand sorts orders by how much depends on them: first grants, which end the time in which nobody serves the keys,
// before releases, which begin it, and these before renewals; those with the most load first.
func (a *Assigner) sortByDemand(now time.Time, orders []Order) {
	if !slices.ContainsFunc(orders, func(o Order) bool { return o.urgency() < renewalUrgency }) {
		return
	}
	if a.loadTracker.sortedAt.IsZero() {
		a.loadTracker.refresh(now)
	}
	slices.SortStableFunc(orders, func(x, y Order) int {
		if x.urgency() != y.urgency() || x.urgency() == renewalUrgency {
			return cmp.Compare(x.urgency(), y.urgency())
		}
		return cmp.Compare(a.loadTracker.rangeLoad(y.From, y.To), a.loadTracker.rangeLoad(x.From, x.To))
	})
}

// renewalUrgency is the urgency of the least urgent orders.
const renewalUrgency = 2

// urgency is lower for more urgent orders.
func (o *Order) urgency() int {
	switch {
	case o.Kind == Grant && o.First:
		return 0
	case o.Kind == Release:
		return 1
	default:
		return renewalUrgency
	}
}
