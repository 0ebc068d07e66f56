package ownershiptest

import (
	"fmt"
	"sort"
	"time"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

// sendRequests sends one request on each unit from every running router that may send it.
func (w *World) sendRequests() {
	for _, u := range w.Units() {
		for _, r := range w.routers {
			if !r.dead && !r.paused {
				w.requestFrom(r, u)
			}
		}
	}
	w.after(w.opt.RequestEvery, w.sendRequests)
}

// Units lists the units of all services.
func (w *World) Units() []routing.Unit {
	var out []routing.Unit
	for _, s := range w.opt.Services {
		for i := range s.HashSlots {
			out = append(out, routing.Unit{Service: s.Name, Slot: i})
		}
		for _, r := range s.Ranges {
			out = append(out, routing.Unit{Service: s.Name, Kind: routing.RangeUnit, Range: r.Name})
		}
	}
	return out
}

func (w *World) requestFrom(r *router, u routing.Unit) {
	if r.gate == nil {
		return
	}
	owner, _ := r.gate.Table().Lookup(u)
	if !r.gate.MaySend(r.local(), owner.Target, u, owner.Token) {
		return
	}
	if w.opt.SlowShare > 0 && w.rand.Float64() < w.opt.SlowShare {
		w.Begin(r.index, u, time.Duration(w.rand.Int63n(int64(maxBegun))))
		return
	}
	term := r.gate.Term(owner.Target)
	t := w.targets[owner.Target]
	latency := w.jitter(networkLatency) + w.orderDelay() + w.addedLatency(r, t)
	if latency > ownership.DefaultOrderBound {
		w.violate(fmt.Sprintf("work was under way to %s for %v", owner.Target, latency))
	}
	r.inFlight[owner.Target] = max(r.inFlight[owner.Target], w.now+latency)
	if !w.reaches(r, t) {
		return
	}
	w.after(latency, func() { w.execute(t, u, owner.Token, term, r.self) })
}

// execute is a target's handling of a request. It also checks that each unit is executed by
// a single owner and that a target that does not check terms has a single sender.
func (w *World) execute(t *fakeTarget, u routing.Unit, token, term uint64, from ownership.Router) {
	if !t.up() || !t.holds(w.now, u, token) {
		return
	}
	if t.spec.Grants.ChecksTokens {
		if term < t.term {
			return
		}
	} else if term < t.highestTerm && from != t.highestTermFrom {
		w.violate(fmt.Sprintf("target %s got an order of term %d after one of term %d", t.spec.Name, term, t.highestTerm))
	}
	if term >= t.highestTerm {
		t.highestTerm, t.highestTermFrom = term, from
	}
	w.checkToken(t, u, token)
	w.executed[assignment{u, token, t.spec.Name}] = true
	if s := w.served[u]; s != nil {
		if s.measuring {
			s.longestGap = max(s.longestGap, w.now-s.lastRun)
		}
		s.lastRun = w.now
		return
	}
	w.served[u] = &serviceTimes{lastRun: w.now}
}

// checkToken reports a unit that runs at a former owner.
func (w *World) checkToken(t *fakeTarget, u routing.Unit, token uint64) {
	if token < w.highestToken[u] {
		w.violate(fmt.Sprintf("unit %s ran at %s with token %d after token %d", u, t.spec.Name, token, w.highestToken[u]))
	}
	w.highestToken[u] = max(w.highestToken[u], token)
}

// checkGrants reports a unit that two targets hold at the same time.
func (w *World) checkGrants(t *fakeTarget) {
	if !t.spec.Grants.Expires || w.now >= t.expires {
		return
	}
	for _, name := range w.names {
		o := w.targets[name]
		if o == t || o.spec.Service != t.spec.Service || !o.spec.Grants.Expires || o.dead || w.now >= o.expires {
			continue
		}
		for u := range t.units {
			if _, both := o.units[u]; both {
				w.violate(fmt.Sprintf("unit %s is granted to %s and %s", u, t.spec.Name, name))
			}
		}
	}
}

// checkAcknowledged checks that an acknowledged assignment is in the store.
func (w *World) checkAcknowledged(a ownership.Assigned) {
	e := assignment{a.Unit, a.Token, a.To}
	w.acknowledged = append(w.acknowledged, e)
	if a.From != "" {
		w.Moves++
	}
	if !w.store.assignments[e] {
		w.violate(fmt.Sprintf("assignment of %s to %s token %d was acknowledged and is not in the store", a.Unit, a.To, a.Token))
	}
}

// MeasureGaps starts to measure the longest time between two executions on each unit.
func (w *World) MeasureGaps() {
	for _, s := range w.served {
		s.measuring, s.longestGap = true, 0
	}
}

// Gap returns the longest time that the unit was not served since MeasureGaps, and at least the
// time since it was last served.
func (w *World) Gap(u routing.Unit) time.Duration {
	s := w.served[u]
	if s == nil {
		return w.now
	}
	return max(s.longestGap, w.now-s.lastRun)
}

// Unserved lists the units that were not served within the last d.
func (w *World) Unserved(d time.Duration) []string {
	var out []string
	for _, u := range w.Units() {
		if s := w.served[u]; s == nil || w.now-s.lastRun > d {
			out = append(out, u.String())
		}
	}
	sort.Strings(out)
	return out
}

// TargetLost reports whether the target was stopped for good.
func (w *World) TargetLost(name string) bool { return w.targets[name] != nil && w.targets[name].dead }

// Owner returns the unit's owner according to the store.
func (w *World) Owner(u routing.Unit) string { return w.store.owners[u].to }

// StoreCalls returns how many writes and reads the store has handled.
func (w *World) StoreCalls() (writes, reads int) { return w.store.writes, w.store.reads }
