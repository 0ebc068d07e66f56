package policy

import (
	"time"

	"tarragongw/core/admission"
	"tarragongw/core/request"
)

// limiter is a way to keep a target's slots. It ends every job by answer or refuse.
type limiter interface {
	offer(j *job)
}

// ends is where jobs end.
type ends struct {
	answer func(j *job)
	// fail ends a job that took an attempt, refuse one that never ran.
	fail, refuse func(j *job)
	// down, if set, takes the place of fail where no connection could be opened.
	down func(j *job)
}

// gate is an admission.Gate with its timer and its waiting jobs.
type gate struct {
	sim  *sim
	core *admission.Gate
	next admission.ID
	jobs map[admission.ID]*job
	wake time.Duration
	// begin sends a job that holds a slot; done must be called at its end.
	begin  func(j *job, done func(admission.Outcome))
	refuse func(j *job)
}

func newGate(s *sim, cfg admission.Config) *gate {
	return &gate{sim: s, core: admission.New(cfg), jobs: map[admission.ID]*job{}}
}

func (g *gate) offer(j *job, deadline time.Duration) {
	g.next++
	item := admission.Item{ID: g.next, Caller: j.caller}
	if j.batch {
		item.Class = request.Batch
	}
	if deadline > 0 {
		item.Deadline = epoch.Add(deadline)
	}
	switch g.core.Offer(g.sim.clock(), item).Verdict {
	case admission.Admit:
		g.start(item.ID, j)
	case admission.Queue:
		g.jobs[item.ID] = j
		j.waits, j.id = g, item.ID
	case admission.Refuse:
		g.refuse(j)
	}
	g.schedule()
}

func (g *gate) start(id admission.ID, j *job) {
	from := g.sim.now
	j.waits = nil
	g.begin(j, func(outcome admission.Outcome) {
		g.carryOut(g.core.Done(g.sim.clock(), id, outcome, g.sim.now-from))
	})
}

func (g *gate) carryOut(actions admission.Actions) {
	start := append([]admission.ID(nil), actions.Start...)
	for _, r := range actions.Refuse {
		j := g.jobs[r.ID]
		delete(g.jobs, r.ID)
		g.refuse(j)
	}
	for _, id := range start {
		j := g.jobs[id]
		delete(g.jobs, id)
		g.start(id, j)
	}
	g.schedule()
}

func (g *gate) schedule() {
	next := g.core.NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch), g.sim.now)
	if g.wake > g.sim.now && g.wake <= at {
		return
	}
	g.wake = at
	g.sim.after(at-g.sim.now, func() {
		if g.wake == g.sim.now {
			g.carryOut(g.core.Expire(g.sim.clock()))
		}
	})
}

// gated limits by admission gates: one for each target at its grantor, or one for
// each pair of router and target.
type gated struct {
	sim     *sim
	servers []*server
	ends    ends
	// perRouter tells the two apart.
	perRouter bool
	gates     []*gate
}

func newGated(s *sim, servers []*server, e ends, perRouter bool, cfg admission.Config) *gated {
	p := &gated{sim: s, servers: servers, ends: e, perRouter: perRouter}
	count := len(servers)
	if perRouter {
		count *= routers
	}
	for i := range count {
		g := newGate(s, cfg)
		target := i % len(servers)
		from := target
		if perRouter {
			from = i / len(servers)
		}
		g.begin = p.sender(target, from)
		g.refuse = e.refuse
		p.gates = append(p.gates, g)
	}
	return p
}

// sender sends from a router, by its data centre, to a target and back.
func (p *gated) sender(target, from int) func(*job, func(admission.Outcome)) {
	return func(j *job, done func(admission.Outcome)) {
		wire := delay(from, target)
		p.sim.after(wire, func() {
			p.servers[target].send(j, func(f fate) {
				p.sim.after(wire, func() {
					done(outcomes[f])
					p.end(j, f)
				})
			})
		})
	}
}

var outcomes = map[fate]admission.Outcome{
	fateAnswered: admission.Finished,
	fateAborted:  admission.Failed,
	fateRefused:  admission.Shed,
	fateDown:     admission.Failed,
}

func (p *gated) end(j *job, f fate) {
	if f == fateDown && p.ends.down != nil {
		p.sim.after(p.hop(j), func() { p.ends.down(j) })
		return
	}
	if f != fateAnswered {
		p.ends.fail(j)
		return
	}
	if p.perRouter {
		p.ends.answer(j)
		return
	}
	p.sim.after(p.hop(j), func() { p.ends.answer(j) })
}

// hop is the way between the entry router and the grantor, which is in the
// target's data centre; one request in twelve enters at the grantor itself.
func (p *gated) hop(j *job) time.Duration {
	if p.perRouter || j.router == j.target%routers {
		return 0
	}
	return delay(j.router, j.target)
}

func (p *gated) offer(j *job) {
	if p.perRouter {
		p.gates[j.router*len(p.servers)+j.target].offer(j, before(j.deadline, delay(j.router, j.target)))
		return
	}
	hop := p.hop(j)
	p.sim.after(hop, func() { p.gates[j.target].offer(j, before(j.deadline, hop+delayWithin)) })
}

// cancel ends a job that is no longer wanted, after the way to where it is. A job
// that is under way between two VMs is left alone.
func (p *gated) cancel(j *job) {
	j.cancelled = true
	p.sim.after(p.hop(j), func() {
		if j.waits != nil {
			j.waits.core.Cancel(p.sim.clock(), j.id)
			delete(j.waits.jobs, j.id)
			p.ends.fail(j)
			return
		}
		if j.attempt != nil && !j.attempt.ended {
			p.sim.after(delayWithin, func() { p.servers[j.target].cancel(j.attempt) })
		}
	})
}

// before is a deadline less the way back; none stays none.
func before(deadline, way time.Duration) time.Duration {
	if deadline == 0 {
		return 0
	}
	return deadline - way
}

// unlimited sends everything at once.
type unlimited struct {
	sim     *sim
	servers []*server
	ends    ends
}

func (p *unlimited) offer(j *job) {
	wire := delay(j.router, j.target)
	p.sim.after(wire, func() {
		p.servers[j.target].send(j, func(f fate) {
			p.sim.after(wire, func() {
				if f == fateAnswered {
					p.ends.answer(j)
				} else {
					p.ends.fail(j)
				}
			})
		})
	})
}
