package admission

import (
	"time"

	"tarragongw/core/request"
)

// mayStart reports whether an item of the class may start now, whoever is first in the
// queue.
func (g *Gate) mayStart(now time.Time, class int, cost float64) bool {
	if g.usedSlots(now) >= g.limiter.Limit() {
		return false
	}
	if class != int(request.Batch) || g.hasSpareSlot(now) {
		return true
	}
	interactiveWaits := g.queues[request.Interactive].queued > 0
	return g.credit.covers(cost, g.service[class].mean, interactiveWaits)
}

// hasSpareSlot reports whether a slot is free that batch work may use beyond its share:
// no interactive item waits, and the headroom for interactive work remains free.
func (g *Gate) hasSpareSlot(now time.Time) bool {
	if g.queues[request.Interactive].queued > 0 {
		return false
	}
	headroom := 0
	if now.Before(g.interactiveUntil) {
		headroom = g.headroom.width(g.limiter.Limit())
	}
	return g.usedSlots(now)+headroom < g.limiter.Limit()
}

// usedSlots returns the number of slots that are in use or held.
func (g *Gate) usedSlots(now time.Time) int {
	return g.inFlight[0] + g.inFlight[1] + len(g.holds) - g.expiredHolds(now) + g.inheritedSlots(now)
}
