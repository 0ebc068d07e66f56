package router

import (
	"context"
	"math"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/duty"
)

const (
	// inheritEvery is how often a new grantor looks at what its predecessor's work
	// still takes of the target's slots.
	inheritEvery = 50 * time.Millisecond
	// inheritFor bounds what one look is good for.
	inheritFor = 400 * time.Millisecond
)

// setGate puts the ownership gate in force and settles the gates of the targets
// whose grantor this router becomes or ceases to be.
func (o *ownerDuty) setGate(next *ownership.Gate) {
	before := o.r.gate.Load()
	var begun []*upstream
	for name := range next.Targets() {
		if before.Term(name) != 0 {
			continue
		}
		u := o.r.upstreams.hold(name)
		if u == nil {
			continue
		}
		begun = append(begun, u)
		// Before the first request may be sent: from then on it would be too late.
		u.gate.Inherit(inheritFor, u.spec.Slots)
	}
	o.r.gate.Store(next)
	for name := range before.Targets() {
		if next.Term(name) == 0 {
			o.r.settleGate(name)
		}
	}
	for _, u := range begun {
		o.r.settleGate(u.spec.Name)
		o.r.inherit(u.spec.Name)
		// From here on the duty itself keeps the state.
		u.release()
	}
}

// settleGates settles all gates under a new configuration. The state of the targets
// anew was made anew for the same server, and inherits the work of what was before it.
func (r *Router) settleGates(anew []string) {
	gate := r.gate.Load()
	for _, name := range anew {
		if gate.Term(name) != 0 {
			r.inherit(name)
		}
	}
	for name := range r.upstreams.all() {
		r.settleGate(name)
	}
}

// settleGate opens or closes the admission gate of a target as the duty, the
// verdict and the drain mark ask for.
//
// What goes wrong without it: requests that queue at a router which ceased to be
// the target's grantor wait for slots that it may no longer use, up to their
// deadline. Drained, they are refused as not run and find the new grantor.
func (r *Router) settleGate(name string) {
	if u := r.upstreams.settled(name); u != nil {
		r.settle(u)
	}
}

// settle opens or closes the gate of a target's state. State begins with the gate
// closed unless this router is the grantor: a request that had a slot before the router
// took its target over could else be sent right after, beside the work that is inherited.
func (r *Router) settle(u *upstream) {
	u.settling.Lock()
	defer u.settling.Unlock()
	v := r.view.Load()
	if v.compiled.Target(u.spec.Name) == nil {
		return
	}
	kind, closed := r.closedFor(v, u.spec.Name)
	if !closed {
		u.gate.Resume()
		return
	}
	u.gate.Drain(kind)
	if r.gate.Load().Term(u.spec.Name) == 0 {
		// The connections at rest count towards the target's limit, which is the next
		// grantor's to use.
		u.pool.CloseIdle()
	}
}

// closedFor returns why a target's gate is to be closed, if it is.
func (r *Router) closedFor(v *view, name string) (fault.Kind, bool) {
	spec := v.compiled.Target(name)
	undivided := v.compiled.Service(spec.Service).Division == model.Any
	switch {
	case r.gate.Load().Term(name) == 0:
		return fault.StaleRoute, true
	case r.lost.has(name) && undivided:
		return fault.TargetUnreachable, true
	case r.lost.has(name):
		// The units move; whoever waits for a newer route finds their next owner.
		return fault.StaleRoute, true
	case spec.Drain && undivided:
		// An entry router that has not heard of the mark yet chooses another target. Units
		// of keys are moved by the ownership core and served here until then.
		return fault.StaleRoute, true
	}
	return fault.Internal, false
}

// inherit keeps the target's slots back until its predecessor's work is known to
// have ended.
//
// What goes wrong without it: the old grantor's requests are still at work when the
// new one sends its own, and the target has more work than slots. The target's own
// report of its load says how many slots others use, less what this router uses. A
// target that reports nothing keeps all slots back for the longest order that the
// core of ownership allows for.
func (r *Router) inherit(name string) {
	u := r.upstreams.hold(name)
	if u == nil {
		return
	}
	if u.spec.Slots == 0 {
		u.release()
		return
	}
	u.gate.Inherit(inheritFor, u.spec.Slots)
	longest := ownership.DefaultRequestBound
	if s := r.view.Load().compiled.Service(u.spec.Service); s != nil && s.Timeout > 0 {
		longest = s.Timeout
	}
	r.run(func() {
		defer u.release()
		r.watchInherited(name, u, longest)
	})
}

// watchInherited looks at the target's load until nothing of the predecessor's work
// is left, or until that must have ended. While this router has nothing at work a
// look is exact. Later ones may meet its own requests on their way, so two of them
// must agree before a slot is given free.
func (r *Router) watchInherited(name string, u *upstream, longest time.Duration) {
	began := time.Now()
	left, last := u.spec.Slots, 0
	for time.Since(began) < longest {
		seen, known := r.inheritedLeft(u)
		switch {
		case r.gate.Load().Term(name) == 0:
			return
		case !known && time.Since(began) > ownership.DefaultRequestBound:
			u.gate.Inherit(0, 0)
			return
		}
		left, last = min(left, max(seen, last)), seen
		u.gate.Inherit(inheritFor, left)
		if left == 0 || !duty.Sleep(r.lifetime, inheritEvery) {
			return
		}
	}
	u.gate.Inherit(0, 0)
}

// inheritedLeft is how many slots work of others takes; all where it is not known.
func (r *Router) inheritedLeft(u *upstream) (left int, known bool) {
	ctx, cancel := context.WithTimeout(r.lifetime, probeTimeout)
	defer cancel()
	before := u.flights.count()
	report, err := u.control.Probe(ctx)
	if err != nil {
		return u.spec.Slots, false
	}
	// What this router had in flight both before and after was at work at the time of
	// the report; of the rest it can't be said whose it is.
	own := min(before, u.flights.count())
	busy := int(math.Ceil(report.Load*float64(u.spec.Slots) - loadSlack))
	return max(busy-own, 0), true
}

// loadSlack keeps a rounding error in a reported share from counting as a slot.
const loadSlack = 1e-6
