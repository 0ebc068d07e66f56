package router

import (
	"sync"

	"tarragongw/core/routing"
	"tarragongw/target"
)

// flight is one request on its way to or at work at a target.
type flight struct {
	unit routing.Unit
	cut  target.Aborter
	// body is the request's where its arrival is followed, else nil.
	body *pacedBody
	// forwarded says that another router sent it.
	forwarded bool
	// next and previous link what is in flight.
	next, previous *flight
}

// flights counts the work of one target by unit.
//
// What goes wrong without it: a unit is given to its next owner while the old one
// still works on it, and two targets write one key. A request enters before the
// ownership gate is asked and leaves after its answer ended, and the gate is
// closed before the units are waited for; so whoever enters after the count was
// taken finds the gate closed.
type flights struct {
	mu sync.Mutex
	// first is the begin of the list of what is in flight, which has n members, forwarded
	// of which other routers sent.
	first     *flight
	n         int
	forwarded int
	// waits are the closings that have not ended.
	waits []*closing
	// followed are the units whose last work followedEnded is called for; see follow.
	followed      map[routing.Unit]bool
	followedEnded func(routing.Unit)
	// followedSince is the sequence of the call of follow that is in force.
	followedSince uint64
}

// closing waits until no work on its units is in flight.
type closing struct {
	units map[routing.Unit]bool
	done  func()
}

// enter registers work on the unit.
func (f *flights) enter(entered *flight, unit routing.Unit) {
	entered.unit = unit
	f.mu.Lock()
	defer f.mu.Unlock()
	entered.next = f.first
	if f.first != nil {
		f.first.previous = entered
	}
	f.first = entered
	f.n++
	if entered.forwarded {
		f.forwarded++
	}
}

// unlink takes the work out of the list; mu is held.
func (f *flights) unlink(left *flight) {
	if left.previous == nil {
		f.first = left.next
	} else {
		left.previous.next = left.next
	}
	if left.next != nil {
		left.next.previous = left.previous
	}
	left.next, left.previous = nil, nil
	f.n--
	if left.forwarded {
		f.forwarded--
	}
}

// leave ends the work and tells the closings that waited for it.
func (f *flights) leave(left *flight) {
	f.mu.Lock()
	f.unlink(left)
	var ended []*closing
	if len(f.waits) > 0 {
		ended = f.takeEnded()
	}
	followed, tell := f.followed[left.unit] && !f.busy(left.unit), f.followedEnded
	if followed {
		delete(f.followed, left.unit)
	}
	f.mu.Unlock()
	for _, c := range ended {
		c.done()
	}
	if followed {
		tell(left.unit)
	}
}

// follow calls ended for each of the units once no work on it is in flight, until a call with a higher
// sequence takes its place.
func (f *flights) follow(sequence uint64, units []routing.Unit, ended func(routing.Unit)) {
	var idle []routing.Unit
	f.mu.Lock()
	if sequence < f.followedSince {
		f.mu.Unlock()
		return
	}
	f.followedSince, f.followed, f.followedEnded = sequence, make(map[routing.Unit]bool, len(units)), ended
	for _, unit := range units {
		if f.busy(unit) {
			f.followed[unit] = true
		} else {
			idle = append(idle, unit)
		}
	}
	f.mu.Unlock()
	for _, unit := range idle {
		ended(unit)
	}
}

// busy reports whether work on the unit is in flight; mu is held.
func (f *flights) busy(unit routing.Unit) bool {
	for fl := f.first; fl != nil; fl = fl.next {
		if fl.unit == unit {
			return true
		}
	}
	return false
}

// close calls done once nothing on the units is in flight, at once where that is
// so already. With abort the work in flight is cut off.
func (f *flights) close(units []routing.Unit, abort bool, done func()) {
	c := &closing{units: make(map[routing.Unit]bool, len(units)), done: done}
	for _, unit := range units {
		c.units[unit] = true
	}
	f.mu.Lock()
	f.waits = append(f.waits, c)
	if abort {
		f.cutUnits(c.units)
	}
	ended := f.takeEnded()
	f.mu.Unlock()
	for _, e := range ended {
		e.done()
	}
}

// cut cancels the work on the units that is still in flight.
func (f *flights) cut(units []routing.Unit) {
	set := make(map[routing.Unit]bool, len(units))
	for _, unit := range units {
		set[unit] = true
	}
	f.cutWhere(func(unit routing.Unit) bool { return set[unit] })
}

// cutWhere cancels the work in flight on the units that match.
func (f *flights) cutWhere(matches func(routing.Unit) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for fl := f.first; fl != nil; fl = fl.next {
		if fl.unit.Service != "" && matches(fl.unit) {
			fl.cut.Abort()
		}
	}
}

// units lists the units that have work in flight.
func (f *flights) units() []routing.Unit {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[routing.Unit]bool)
	var units []routing.Unit
	for fl := f.first; fl != nil; fl = fl.next {
		if fl.unit.Service != "" && !seen[fl.unit] {
			seen[fl.unit] = true
			units = append(units, fl.unit)
		}
	}
	return units
}

// count returns the work in flight.
func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// countForwarded returns how much of the work in flight other routers sent.
func (f *flights) countForwarded() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forwarded
}

func (f *flights) cutUnits(units map[routing.Unit]bool) {
	for fl := f.first; fl != nil; fl = fl.next {
		if units[fl.unit] {
			fl.cut.Abort()
		}
	}
}

func (f *flights) takeEnded() []*closing {
	busy := make(map[routing.Unit]bool)
	for fl := f.first; fl != nil; fl = fl.next {
		busy[fl.unit] = true
	}
	var ended, left []*closing
	for _, c := range f.waits {
		if c.busyWith(busy) {
			left = append(left, c)
		} else {
			ended = append(ended, c)
		}
	}
	f.waits = left
	return ended
}

func (c *closing) busyWith(busy map[routing.Unit]bool) bool {
	for unit := range busy {
		if c.units[unit] {
			return true
		}
	}
	return false
}
