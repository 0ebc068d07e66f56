package ownershiptest

import (
	"time"

	"tarragongw/core/confirm"
	"tarragongw/core/ownership"
)

// PauseRouter suspends a router for d; events for it are queued meanwhile.
func (w *World) PauseRouter(i int, d time.Duration) {
	r := w.routers[i]
	if r.dead || r.paused {
		return
	}
	r.paused = true
	instance := r.keeper
	w.after(d, func() {
		if r.keeper != instance || r.dead {
			return
		}
		r.paused = false
		// Requests that were about to be sent are sent before any queued event is processed.
		for _, u := range w.Units() {
			w.requestFrom(r, u)
		}
		for _, b := range r.overdue {
			r.finish(b)
		}
		r.overdue = nil
		backlog := r.backlog
		r.backlog = nil
		for _, run := range backlog {
			run()
		}
	})
}

// KillRouter kills a router. If restart is above zero, a new instance starts after that
// time.
func (w *World) KillRouter(i int, restart time.Duration) {
	r := w.routers[i]
	if r.dead {
		return
	}
	r.dead, r.gate = true, nil
	for _, b := range r.begun {
		w.targets[b.target].forget(b) // its connections are closed
	}
	if restart > 0 {
		w.after(restart, func() { r.start(r.self.Incarnation + 1) })
	}
}

// stopDelay is the time from the announcement of a router's stop to the stop.
const stopDelay = 20 * time.Millisecond

// StopRouter is a planned stop: the router announces it, hands its duties over and exits
// after d.
func (w *World) StopRouter(i int, d time.Duration) {
	r := w.routers[i]
	r.leaving = true
	r.deliverAfter(stopDelay, func() ownership.Event { return ownership.Stop{} })
	w.after(d, func() { w.KillRouter(i, 0) })
}

// Relay returns the index of the router that the given one uses as its relay for
// confirmations, or -1.
func (w *World) Relay(i int) int {
	for _, o := range w.routers {
		if r := w.routers[i]; r.confirmCore != nil && o.self.Name == r.confirmCore.Relay() {
			return o.index
		}
	}
	return -1
}

// ConfirmStats returns the relay statistics of a router's present instance.
func (w *World) ConfirmStats(i int) confirm.Stats { return w.routers[i].confirmCore.Stats() }

// FreezeTarget suspends a target for d; afterwards it continues with its old state.
func (w *World) FreezeTarget(name string, d time.Duration) {
	t := w.targets[name]
	t.frozen = true
	w.after(d, func() { t.frozen = false })
}

// KillTarget kills a target for good. The routers' health checks, which are the only sign
// of it for targets without grants, detect it after detect.
func (w *World) KillTarget(name string, detect time.Duration) {
	w.targets[name].dead = true
	w.after(detect, func() { w.ReportHealth(name, true) })
}

// ReportHealth gives all routers a health check result for a target.
func (w *World) ReportHealth(name string, lost bool) {
	for _, r := range w.routers {
		r.step(ownership.TargetHealth{Target: name, Lost: lost})
	}
}

// ReportHealthFrom gives one router a health check result for all targets, as its own
// checks would.
func (w *World) ReportHealthFrom(i int, lost bool) {
	for _, name := range w.names {
		w.routers[i].step(ownership.TargetHealth{Target: name, Lost: lost})
	}
}

// CutStore cuts the connection of a router to the store for d.
func (w *World) CutStore(i int, d time.Duration) {
	r := w.routers[i]
	r.storeCut = true
	w.after(d, func() { r.storeCut = false })
}

// CutLink cuts the connection between two routers for d.
func (w *World) CutLink(a, b int, d time.Duration) {
	key := [2]int{min(a, b), max(a, b)}
	w.cutLinks[key] = true
	w.after(d, func() { delete(w.cutLinks, key) })
}

// DropHeartbeats drops the heartbeats to a router for d, so that it does not see the others
// as live; they still see it.
func (w *World) DropHeartbeats(i int, d time.Duration) {
	w.deafUntil[i] = w.now + d
}

// CutTargets cuts the connections of a router to all targets for d.
func (w *World) CutTargets(i int, d time.Duration) {
	w.targetsUnreachableUntil[i] = w.now + d
}

// LoseTargetFrom cuts the connection of a router to one target for d, and has its health checks say
// so at once.
func (w *World) LoseTargetFrom(i int, name string, d time.Duration) {
	w.lostFrom[name] = i
	w.after(d, func() { delete(w.lostFrom, name) })
	w.routers[i].step(ownership.TargetHealth{Target: name, Lost: true})
}

// RefuseWrites makes the store refuse all writes immediately for d.
func (w *World) RefuseWrites(d time.Duration) {
	w.refusingWrites = true
	w.after(d, func() { w.refusingWrites = false })
}

// IsolateRouter cuts the connections of a router to the store and to all other routers for d.
func (w *World) IsolateRouter(i int, d time.Duration) {
	w.CutStore(i, d)
	w.CutPeers(i, d)
}

// CutPeers cuts the connections of a router to all other routers for d.
func (w *World) CutPeers(i int, d time.Duration) {
	for _, o := range w.routers {
		if o.index != i {
			w.CutLink(i, o.index, d)
		}
	}
}

// OutageOfStore makes the store unreachable for d.
func (w *World) OutageOfStore(d time.Duration) {
	w.StoreDown = true
	w.after(d, func() { w.StoreDown = false })
}

// Drain marks the target as draining in the configuration of all routers.
func (w *World) Drain(name string) {
	targets := append([]ownership.TargetSpec(nil), w.opt.Targets...)
	for i := range targets {
		if targets[i].Name == name {
			targets[i].Drain = true
		}
	}
	w.opt.Targets = targets
	for _, r := range w.routers {
		w.Configure(w.opt.Targets, r.index)
	}
}

// RequestMoves asks all routers for moves; the grantors of the targets perform them.
func (w *World) RequestMoves(moves ...ownership.Move) {
	for _, r := range w.routers {
		r.step(ownership.MovesRequested{Moves: moves})
	}
}

// Grantor returns the index of the target's grantor according to the store, or -1.
func (w *World) Grantor(target string) int {
	g := w.grantorRecord(target)
	for _, r := range w.routers {
		if g != nil && r.self.Name == g.Router.Name {
			return r.index
		}
	}
	return -1
}

// Formers returns the former grantors in the target's record in the store.
func (w *World) Formers(target string) []ownership.Former {
	if g := w.grantorRecord(target); g != nil {
		return g.Formers
	}
	return nil
}

func (w *World) grantorRecord(target string) *ownership.GrantorRecord {
	rec := w.store.records[ownership.GrantorKey(w.targets[target].spec.DataCentre, target)]
	g, err := ownership.DecodeGrantor(rec.value)
	if err != nil {
		return nil
	}
	return g
}
