package ownershiptest

import (
	"slices"
	"time"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

// maxBegun bounds the time between the header and the rest of a slow request. It is below the
// default RequestBound.
const maxBegun = 1500 * time.Millisecond

// begunRequest is a slow request whose header a router has sent.
type begunRequest struct {
	unit   routing.Unit
	target string
	token  uint64
	term   uint64
	due    time.Duration
	// cancelled means that the rest is not sent.
	cancelled bool
	// accepted means that the target took the request on when it got the header.
	accepted bool
}

// begunCount is an answered ownership.CountBegun whose unit still has requests in flight.
type begunCount struct {
	target   string
	sequence uint64
	unit     routing.Unit
}

// Begin sends the header of a request on the unit from a router, and the rest after d. It reports
// whether the router may send.
func (w *World) Begin(i int, u routing.Unit, d time.Duration) bool {
	r := w.routers[i]
	if r.dead || r.paused || r.gate == nil {
		return false
	}
	owner, _ := r.gate.Table().Lookup(u)
	if !r.gate.MaySend(r.local(), owner.Target, u, owner.Token) {
		return false
	}
	b := &begunRequest{unit: u, target: owner.Target, token: owner.Token, term: r.gate.Term(owner.Target), due: w.now + d}
	r.begun = append(r.begun, b)
	w.sendHeader(r, b)
	instance := r.keeper
	w.after(d, func() {
		if r.keeper == instance && !r.dead {
			r.finish(b)
		}
	})
	return true
}

// sendHeader has the target take the request on if it would serve the unit.
func (w *World) sendHeader(r *router, b *begunRequest) {
	t := w.targets[b.target]
	if !w.reaches(r, t) {
		return
	}
	w.after(w.jitter(networkLatency)+w.orderDelay()+w.addedLatency(r, t), func() {
		stale := t.spec.Grants.ChecksTokens && b.term < t.term
		if !b.cancelled && t.up() && !stale && t.holds(w.now, b.unit, b.token) {
			b.accepted = true
			t.working = append(t.working, b)
		}
	})
}

// finish sends the rest of a request if the router still may.
func (r *router) finish(b *begunRequest) {
	w := r.world
	if r.paused {
		r.overdue = append(r.overdue, b)
		return
	}
	t := w.targets[b.target]
	latency := time.Duration(0)
	switch {
	case b.cancelled:
	case r.gate.SendUntil(b.target, b.term, true) <= r.local():
		w.CutOff++
	case w.reaches(r, t):
		latency = w.jitter(networkLatency) + w.orderDelay()
		w.after(latency, func() { w.executeBegun(t, b) })
	}
	instance := r.keeper
	w.after(latency, func() {
		t.forget(b)
		if r.keeper == instance {
			r.begun = slices.DeleteFunc(r.begun, func(o *begunRequest) bool { return o == b })
			r.tellEnded()
		}
	})
}

// executeBegun is a target's handling of the rest of a request that it has taken on.
func (w *World) executeBegun(t *fakeTarget, b *begunRequest) {
	if !t.up() || !b.accepted {
		return
	}
	w.FinishedBegun++
	w.checkToken(t, b.unit, b.token)
}

func (r *router) busy(target string, units []routing.Unit) bool {
	return slices.ContainsFunc(r.begun, func(b *begunRequest) bool { return b.target == target && slices.Contains(units, b.unit) })
}

// closeSend waits for the slow requests on the units, and for the latest other request.
func (r *router) closeSend(a ownership.CloseSend) {
	if a.Abort {
		r.cancelBegun(a.Target, func(u routing.Unit) bool { return slices.Contains(a.Units, u) })
	}
	r.closings = append(r.closings, a)
	r.tellEnded()
}

// tellEnded tells the keeper of the units that were closed or counted and have no requests left.
func (r *router) tellEnded() {
	r.closings = slices.DeleteFunc(r.closings, func(c ownership.CloseSend) bool {
		if r.busy(c.Target, c.Units) {
			return false
		}
		r.deliverAfter(max(time.Millisecond, r.inFlight[c.Target]-r.world.now), func() ownership.Event {
			return ownership.SendClosed{Target: c.Target, Units: c.Units}
		})
		return true
	})
	r.counts = slices.DeleteFunc(r.counts, func(c begunCount) bool {
		busy := r.busy(c.target, []routing.Unit{c.unit})
		if !busy {
			r.deliverAfter(time.Millisecond, func() ownership.Event {
				return ownership.BegunEnded{Target: c.target, Sequence: c.sequence, Unit: c.unit}
			})
		}
		return !busy
	})
}

// forget drops a request that has ended or whose connection was closed.
func (t *fakeTarget) forget(b *begunRequest) {
	t.working = slices.DeleteFunc(t.working, func(o *begunRequest) bool { return o == b })
}

// busy lists the units that the target was not granted and has work on.
func (t *fakeTarget) busy() []routing.Unit {
	var units []routing.Unit
	for _, b := range t.working {
		if _, granted := t.units[b.unit]; !granted {
			units = append(units, b.unit)
		}
	}
	return units
}

func (r *router) countBegun(a ownership.CountBegun) {
	var units []routing.Unit
	for _, b := range r.begun {
		if b.target == a.Target && !slices.Contains(units, b.unit) {
			units = append(units, b.unit)
			r.counts = append(r.counts, begunCount{a.Target, a.Sequence, b.unit})
		}
	}
	r.deliverAfter(r.world.jitter(50*time.Microsecond), func() ownership.Event {
		return ownership.BegunCounted{Target: a.Target, Sequence: a.Sequence, Units: units}
	})
}

// cancelBegun cancels the requests in flight at the target on the units that match.
func (r *router) cancelBegun(target string, matches func(routing.Unit) bool) {
	for _, b := range r.begun {
		if b.target == target && matches(b.unit) {
			b.cancelled = true
			r.world.targets[target].forget(b)
		}
	}
	r.begun = slices.DeleteFunc(r.begun, func(b *begunRequest) bool { return b.cancelled })
	r.tellEnded()
}
