package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// timeWithoutHolder returns for how long, from a fault on, part of the keys has no holder that answers: lost says of each
// target whether it does.
func timeWithoutHolder(p *leaderPath, lost func(id string) bool) time.Duration {
	began := p.now
	for p.now.Sub(began) < 30*time.Second {
		served := true
		for i := range p.a.spans {
			s := &p.a.spans[i]
			served = served && s.Target != "" && s.acked && !s.Moving && !lost(s.Target)
		}
		if served {
			return p.now.Sub(began)
		}
		p.run(10 * time.Millisecond)
	}
	return p.now.Sub(began)
}

// Each way in which keys lose their holder, and the bound of the time for which nobody holds them.
func TestTimeWithoutHolder(t *testing.T) {
	ttl, grace := expiresAfter(DefaultGrantTTL), 100*time.Millisecond
	lostOrder := orderTimeout + LateArrivalBound // a renewal that got no answer may have arrived that late
	for name, c := range map[string]struct {
		begin func(p *leaderPath)
		bound time.Duration
	}{
		"holder silent, entry there": {func(p *leaderPath) { p.silent["a"] = true }, DefaultRenewInterval + lostOrder + ttl + grace},
		"holder refuses connections": {func(p *leaderPath) { p.unreached["a"] = true }, ttl + grace},
		"holder silent, entry gone": {func(p *leaderPath) {
			p.silent["a"] = true
			p.a.SetTargets(p.now, testTargets("b", "c", "d"))
		}, ttl + grace},
		"holder runs on, entry gone": {func(p *leaderPath) { p.a.SetTargets(p.now, testTargets("b", "c", "d")) }, grace},
		"holder drains":              {func(p *leaderPath) { p.a.SetTargets(p.now, draining("a")) }, grace},
		"holder drains and is silent": {func(p *leaderPath) {
			p.silent["a"] = true
			p.a.SetTargets(p.now, draining("a"))
		}, lostOrder + ttl + grace},
		"address used again, entry gone": {func(p *leaderPath) {
			p.replaced["a"] = true
			p.a.SetTargets(p.now, testTargets("b", "c", "d"))
		}, grace},
		"address used again, entry there": {func(p *leaderPath) { p.replaced["a"] = true }, DefaultRenewInterval + grace},
		"new life under the same id":      {func(p *leaderPath) { p.a.SetTargets(p.now, restarted("a")) }, grace},
		"new holder refuses connections": {func(p *leaderPath) {
			p.unreached["b"] = true // nobody knows before the keys of a are given to it
			p.a.SetTargets(p.now, draining("a"))
		}, ttl + 2*grace},
		"new holder is silent": {func(p *leaderPath) {
			p.silent["b"] = true
			p.a.SetTargets(p.now, draining("a"))
		}, lostOrder + ttl + 2*grace},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLeaderPath(newSettled(t, "a", "b", "c", "d"), after(2*time.Second))
			p.run(time.Second)
			c.begin(p)
			p.run(10 * time.Millisecond)
			lost := func(id string) bool { return p.unreached[id] || p.silent[id] || p.replaced[id] }
			if took := timeWithoutHolder(p, lost); took > c.bound {
				t.Errorf("keys have no holder for %v, bound %v", took, c.bound)
			} else {
				t.Logf("%v, bound %v", took, c.bound)
			}
		})
	}
}

// Guards against keys that are given to a target which has just not answered, one loss after the other.
func TestSilentTargetsAreNotTriedFirst(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b", "c", "d"), after(2*time.Second))
	p.run(time.Second)
	p.unreached["b"] = true
	for !p.a.candidates["b"].silent() {
		p.run(10 * time.Millisecond)
	}
	p.a.SetTargets(p.now, draining("a"))
	p.run(100 * time.Millisecond)
	for i := range p.a.spans {
		s := &p.a.spans[i]
		assert.Assert(t, s.Target != "a" && !s.newHolder, "%d to %d wait for %s", s.From, s.To, s.Target)
	}
}

// Guards against keys that wait until a new holder counts as unreachable although no grant has left this router.
func TestUngrantedKeysGoToAnotherTarget(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b", "c", "d"), after(2*time.Second))
	p.run(time.Second)
	p.unreached["b"] = true
	p.a.SetTargets(p.now, draining("a"))
	p.run(200 * time.Millisecond)
	assert.Assert(t, !p.a.candidates["b"].unreachable)
	for i := range p.a.spans {
		assert.Assert(t, !p.a.spans[i].newHolder, "%d to %d", p.a.spans[i].From, p.a.spans[i].To)
	}
}

// Guards against busy keys that are placed, and whose grants are sent, after idle ones.
func TestUnheldKeysAreGrantedByDemand(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b", "c", "d"), after(2*time.Second))
	p.run(time.Second)
	for i := range p.a.spans {
		if s := &p.a.spans[i]; s.Target == "a" {
			for k := range 400 {
				p.a.Load().Add(p.now, s.To-keyspace.Key(k*k/200), 1)
			}
		}
	}
	p.a.SetTargets(p.now, draining("a"))
	for range 10 {
		actions := p.a.Step(p.now)
		last := -1.0
		for _, o := range actions.Orders {
			load := p.a.loadTracker.rangeLoad(o.From, o.To)
			assert.Assert(t, !o.First || last < 0 || load <= last, "%v after %v", load, last)
			if o.First {
				last = load
			}
		}
		carryOut(p.a, p.now, actions)
	}
}
