package admission

import "time"

// inheritedSlots returns the number of slots held for the previous grantor's work.
func (g *Gate) inheritedSlots(now time.Time) int {
	if !now.Before(g.inheritedUntil) {
		return 0
	}
	return min(g.inherited, g.limiter.Limit())
}

func (g *Gate) expiredHolds(now time.Time) int {
	expired := 0
	for expired < len(g.holds) && !g.holds[expired].After(now) {
		expired++
	}
	return expired
}

// dropExpiredHolds must be called only where free slots are filled: until then an
// expired hold stays in NextWake, so that no waiting item misses the free slot.
func (g *Gate) dropExpiredHolds(now time.Time) {
	if expired := g.expiredHolds(now); expired > 0 {
		g.holds = append(g.holds[:0], g.holds[expired:]...)
	}
	if !now.Before(g.inheritedUntil) {
		g.inherited = 0
	}
}

// hold keeps a slot unavailable whose item the target may still be working on. Otherwise
// the router would send the next item meanwhile, and the target would work on more
// requests than it has slots. The hold lasts for the upper estimate of one service
// time, which is enough because the item has already started.
func (g *Gate) hold(now time.Time, class int) {
	length := min(seconds(g.service[class].upper()), g.cfg.HoldUnknown)
	g.holdUntil(now.Add(length))
}

// Hold keeps n slots unavailable until the given time. A router that takes over a target calls it
// with the latest end of the work that the previous grantor may have sent; otherwise the
// work of both routers together could exceed the slots.
func (g *Gate) Hold(now, until time.Time, n int) {
	if !until.After(now) {
		return
	}
	for range min(n, g.limiter.Limit()-len(g.holds)) {
		g.holdUntil(until)
	}
}

// Inherit keeps n slots unavailable until the given time for work that the previous grantor sent.
// It replaces what an earlier call holds; zero ends it. A router that takes over
// a target calls it with all slots, and again with the number of the other router's
// requests that the target is still working on once that is known. It returns the items
// that start.
func (g *Gate) Inherit(now, until time.Time, n int) Actions {
	g.inherited, g.inheritedUntil = max(n, 0), until
	return g.advance(now)
}

func (g *Gate) holdUntil(end time.Time) {
	at := len(g.holds)
	for at > 0 && g.holds[at-1].After(end) {
		at--
	}
	g.holds = append(g.holds, time.Time{})
	copy(g.holds[at+1:], g.holds[at:])
	g.holds[at] = end
}
