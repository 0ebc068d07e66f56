package router

import (
	"math/rand/v2"
	"time"

	"tarragongw/core/health"
	"tarragongw/core/ownership"
	"tarragongw/target"
)

const (
	// probeTimeout is when a probe counts as failed.
	probeTimeout = ownership.DefaultReplyTimeout
	// probeJitter is the part by which the interval of probes is spread, so that
	// routers which started together don't probe together.
	probeJitter = 0.2
)

// probeState is when a target is probed next.
type probeState struct {
	due     time.Time
	running bool
}

// probed is the end of a probe.
type probed struct {
	target string
	health *target.Health
}

// probe sends the probes that are due to the targets that this router sends to, and
// at once where a fresh look would settle a doubt. Only the grantor probes, because
// the connections of a target are few and shared by all routers.
func (h *healthDuty) probe(now time.Time, v *view) {
	for name := range h.r.gate.Load().Targets() {
		spec := v.compiled.Target(name)
		if spec == nil {
			continue
		}
		state := h.probes[name]
		if state == nil {
			state = &probeState{}
			h.probes[name] = state
		}
		doubt := h.directSet(spec.Service).WantsProbe(name)
		if state.running || (now.Before(state.due) && !doubt) {
			continue
		}
		every := h.r.opts.Settings.Timers.Probe
		spread := time.Duration(probeJitter * float64(every))
		state.running = true
		state.due = now.Add(every - spread/2 + rand.N(spread+1))
		h.r.workers.Run(func() { h.runProbe(name) })
	}
}

func (h *healthDuty) runProbe(name string) {
	u := h.r.upstreams.hold(name)
	if u == nil {
		// It is configured no more; its judgement ends with the next tick.
		return
	}
	defer u.release()
	ctx, cancel := h.r.alarms.limit(h.r.lifetime, probeTimeout)
	defer cancel()
	report, err := u.control.Probe(ctx)
	if err != nil {
		report = nil
	}
	h.duty.TellHere(probed{target: name, health: report})
}

func (h *healthDuty) probed(now time.Time, p probed) {
	if state := h.probes[p.target]; state != nil {
		state.running = false
	}
	set := h.directOf(p.target)
	if set == nil {
		return
	}
	if u := h.r.upstreams.all()[p.target]; u != nil && p.health == nil {
		u.granted.Store(false)
	}
	set.Probe(now, p.target, p.health != nil)
	if p.health != nil {
		well := p.health.Ready && !p.health.Draining && !p.health.Cold
		set.Report(now, p.target, health.Report{Healthy: well, Load: p.health.Load})
	}
}
