package router

import (
	"time"

	"tarragongw/core/health"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
)

func (h *healthDuty) directOf(name string) *health.Set {
	if h.seen == nil {
		return nil
	}
	spec := h.seen.compiled.Target(name)
	if spec == nil {
		return nil
	}
	return h.direct[spec.Service]
}

// follow brings the sets in line with the configuration and the duties as grantor.
func (h *healthDuty) follow(now time.Time, v *view) {
	if h.seen != v {
		h.configure(now, v)
	}
	gate := h.r.gate.Load()
	for name := range gate.Targets() {
		if spec := v.compiled.Target(name); spec != nil {
			h.directSet(spec.Service).Add(now, name, false)
		}
	}
	for name := range h.probes {
		if gate.Term(name) == 0 {
			h.forget(h.directOf(name), name)
		}
	}
}

// forget ends the judgement of a target that this router no longer sends to. Its
// verdict goes as well: kept, it would speak against the target for good.
func (h *healthDuty) forget(set *health.Set, name string) {
	if h.probes[name] == nil {
		return
	}
	delete(h.probes, name)
	if set.State(name) == health.Lost {
		h.r.owner.duty.Tell(ownership.TargetHealth{Target: name})
	}
	set.Remove(name)
	h.setLost(name, false)
}

// configure brings the sets in line with a configuration. It judges by choice only the
// targets of undivided services that anything speaks against: those that are new, and
// may be cold, and those that are marked as leaving.
func (h *healthDuty) configure(now time.Time, v *view) {
	old := h.seen
	if old != nil {
		h.forgetGone(old, v)
	}
	h.seen = v
	sizes := make(map[string]int)
	for i := range v.model().Targets {
		spec := &v.model().Targets[i]
		if v.compiled.Service(spec.Service).Division != model.Any {
			continue
		}
		sizes[spec.Service]++
		set := setOf(h.choice, spec.Service)
		switch {
		case old != nil && !chosenBefore(old, spec):
			set.Add(now, spec.Name, true)
		case spec.Drain:
			set.Add(now, spec.Name, false)
		}
		set.SetDraining(spec.Name, spec.Drain)
	}
	for service, set := range h.choice {
		if sizes[service] == 0 {
			delete(h.choice, service)
			continue
		}
		set.SetSize(sizes[service])
	}
}

// forgetGone ends the judgement of servers that are configured no more.
func (h *healthDuty) forgetGone(old, v *view) {
	for i := range old.model().Targets {
		spec := &old.model().Targets[i]
		if sameServer(spec, v.compiled.Target(spec.Name)) {
			continue
		}
		setOf(h.choice, spec.Service).Remove(spec.Name)
		h.forget(h.directSet(spec.Service), spec.Name)
	}
}

// chosenBefore reports whether the server was one to choose from under the view.
func chosenBefore(v *view, spec *model.Target) bool {
	was := v.compiled.Target(spec.Name)
	return sameServer(was, spec) && v.compiled.Service(was.Service).Division == model.Any
}

// sameServer reports whether both stand for one server under different settings.
func sameServer(a, b *model.Target) bool {
	return a != nil && b != nil && a.Address == b.Address && a.Service == b.Service
}

// isChoice reports whether the state belongs to a server that the configuration seen by
// this duty lets requests choose.
func (h *healthDuty) isChoice(u *upstream) bool {
	spec := h.seen.compiled.Target(u.spec.Name)
	return sameServer(&u.spec, spec) && h.seen.compiled.Service(spec.Service).Division == model.Any
}

// directSet returns the judges of a service's targets that this router sends to. They
// hold no verdict back for being one of many: the core of ownership does, and asks other
// routers, which a verdict that never comes would keep it from.
func (h *healthDuty) directSet(service string) *health.Set {
	set := h.direct[service]
	if set == nil {
		set = health.NewSet(health.Config{MaxLost: 1})
		h.direct[service] = set
	}
	return set
}

func setOf(sets map[string]*health.Set, service string) *health.Set {
	set := sets[service]
	if set == nil {
		set = health.NewSet(health.Config{})
		sets[service] = set
	}
	return set
}
