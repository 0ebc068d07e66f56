package router

import (
	"sync/atomic"
	"time"

	"tarragongw/core/health"
	"tarragongw/core/ownership"
	"tarragongw/duty"
	"tarragongw/eventlog"
)

// verdict is what choose needs to know of a target.
type verdict struct {
	state  health.State
	weight float64
}

// verdicts are targets' verdicts by name, of those that anything is known of; all others
// are healthy and have full weight. A map is not changed once published.
type verdicts map[string]verdict

// healthDuty judges targets. It keeps two sets for each service, because their
// evidence differs: direct holds the targets that this router sends to, with their
// probes, and decides what is lost; choice holds the targets of undivided services
// as this router's own requests see them, queues and other routers included, and
// decides how work is spread.
type healthDuty struct {
	r       *Router
	duty    *duty.Duty
	ticking atomic.Bool
	now     atomic.Pointer[verdicts]

	// What follows belongs to the duty alone.
	seen   *view
	direct map[string]*health.Set
	choice map[string]*health.Set
	probes map[string]*probeState
	room   []health.Result
}

// granted is the end of an order, which shows the same as a probe.
type granted struct {
	target string
	ok     bool
}

type healthTicked struct{}

func newHealthDuty(r *Router) *healthDuty {
	h := &healthDuty{
		r:      r,
		direct: make(map[string]*health.Set),
		choice: make(map[string]*health.Set),
		probes: make(map[string]*probeState),
	}
	h.now.Store(&verdicts{})
	return h
}

// open makes the mailbox, which must be there before the duty of ownership tells the
// end of its first order.
func (h *healthDuty) open() { h.duty = h.r.startDuty(false, h.handle) }

// tick begins a round; verdicts go to the duty of ownership, which must run.
func (h *healthDuty) tick() {
	if h.ticking.CompareAndSwap(false, true) {
		h.duty.TellHere(healthTicked{})
	}
}

func (h *healthDuty) handle(message any) {
	// The clock of leases: a step of the wall clock must not make evidence old or new.
	now := time.Unix(0, int64(h.r.clock.Now()))
	switch m := message.(type) {
	case healthTicked:
		h.ticking.Store(false)
		h.judge(now)
	case probed:
		h.probed(now, m)
	case granted:
		h.granted(now, m)
	}
}

// orderEnded takes in the end of an order. That a target which is not lost answered
// waits for the next tick: renewals are many. A failure drops such an answer, since
// taken in later it would hide the failure.
func (h *healthDuty) orderEnded(u *upstream, ok bool) {
	u.granted.Store(ok)
	if ok && !h.r.lost.has(u.spec.Name) {
		return
	}
	// This duty may wait for room with the owner duty; nothing there waits for it.
	go h.duty.Tell(granted{target: u.spec.Name, ok: ok})
}

func (h *healthDuty) granted(now time.Time, m granted) {
	set := h.directOf(m.target)
	if set == nil || h.probes[m.target] == nil {
		return
	}
	set.Probe(now, m.target, m.ok)
	if m.ok && set.State(m.target) != health.Lost {
		// The ownership core may have found the target lost without this duty.
		h.setLost(m.target, false)
	}
}

// judge takes in the evidence, decides and publishes.
func (h *healthDuty) judge(now time.Time) {
	v := h.r.view.Load()
	if v == nil {
		return
	}
	h.follow(now, v)
	living := h.r.upstreams.all()
	for name, u := range living {
		h.takeIn(now, name, u)
	}
	for service, set := range h.direct {
		for _, change := range set.Tick(now) {
			h.changed(service, change)
			h.tellOwnership(change)
		}
	}
	for service, set := range h.choice {
		for _, change := range set.Tick(now) {
			h.changed(service, change)
		}
	}
	h.publish(now)
	h.probe(now, v)
	h.rest(now, living)
}

func (h *healthDuty) takeIn(now time.Time, name string, u *upstream) {
	u.cutLaggards(time.Now())
	if u.granted.Swap(false) {
		h.granted(now, granted{target: name, ok: true})
	}
	h.room = u.direct.take(h.room)
	for _, result := range h.room {
		h.directSet(u.spec.Service).Result(now, name, result)
	}
	h.room = u.choice.take(h.room)
	if len(h.room) == 0 || !h.isChoice(u) {
		return
	}
	set := setOf(h.choice, u.spec.Service)
	set.Add(now, name, false)
	for _, result := range h.room {
		set.Result(now, name, result)
	}
}

// tellOwnership passes on that a target is lost or back. Ejection is not passed on:
// a target that fails work may still be the only one with the state of its keys.
func (h *healthDuty) tellOwnership(change health.Change) {
	switch {
	case change.To == health.Lost:
		// The core of ownership marks the target once it has declared the loss.
		h.r.owner.duty.Tell(ownership.TargetHealth{Target: change.Target, Lost: true})
	case change.From == health.Lost:
		h.setLost(change.Target, false)
		h.r.owner.duty.Tell(ownership.TargetHealth{Target: change.Target})
	}
}

// setLost marks the target for the request path and settles its gate.
func (h *healthDuty) setLost(name string, lost bool) {
	if h.r.lost.has(name) == lost {
		return
	}
	h.r.lost.set(name, lost)
	h.r.settleGate(name)
}

// changed writes the events that operators want to see. Suspicion is left out: it
// comes and goes.
func (h *healthDuty) changed(service string, change health.Change) {
	kind := eventlog.TargetReadmitted
	switch {
	case change.To == health.Ejected || change.To == health.Lost:
		kind = eventlog.TargetEjected
	case change.To == health.Draining:
		kind = eventlog.TargetDraining
	case change.From == health.Ejected || change.From == health.Lost || change.From == health.Draining:
	default:
		return
	}
	h.r.journal.Record(eventlog.Event{
		Kind:    kind,
		Cause:   change.Cause,
		Service: service,
		Target:  change.Target,
		Router:  h.r.self.Name,
		Fields:  []eventlog.Field{eventlog.F("from", change.From.String()), eventlog.F("to", change.To.String())},
	})
}

// publish puts the verdicts in force for the request path. A target of an undivided
// service has the lower of its weights in both sets.
func (h *healthDuty) publish(now time.Time) {
	next := make(verdicts, len(h.probes))
	for _, set := range h.choice {
		for name := range set.Names() {
			next[name] = verdict{state: set.State(name), weight: set.Weight(now, name)}
		}
	}
	for name := range h.probes {
		set := h.directOf(name)
		if set == nil {
			continue
		}
		judged, known := next[name]
		if weight := set.Weight(now, name); !known || weight < judged.weight {
			next[name] = verdict{state: set.State(name), weight: weight}
		}
	}
	h.now.Store(&next)
}
