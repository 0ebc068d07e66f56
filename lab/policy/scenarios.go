package policy

import (
	"fmt"
	"slices"
	"time"
)

// scenario is a trouble of a service that is not divided by key.
type scenario struct {
	name  string
	load  float64
	setUp func(c *choice)
	// passing says that the trouble ends and that there is a recovery to measure.
	passing bool
	ways    []chooser
}

var usualWays = []chooser{roundRobin, random, leastLoaded, powerOfTwo, withHealth}

// warmJobs is how many jobs a cold target does before it is warm, and coldFactor by
// how much longer its first jobs take.
const (
	warmJobs   = 300
	coldFactor = 5
)

func scenarios() []scenario {
	return []scenario{
		{name: "even", load: 0.3, setUp: func(*choice) {}, ways: usualWays},
		{name: "even", load: 0.7, setUp: func(*choice) {}, ways: usualWays},
		{name: "one-slow", load: 0.6, setUp: oneSlow, ways: usualWays},
		{name: "one-frozen", load: 0.6, setUp: oneFrozen, passing: true, ways: usualWays},
		{name: "half-cold", load: 0.5, setUp: halfCold, passing: true, ways: usualWays},
		{name: "one-lies", load: 0.6, setUp: oneLies, ways: []chooser{leastReport, roundRobin, withHealth}},
		{name: "outage", load: 0.6, setUp: outage, passing: true, ways: []chooser{withoutLimit, withHealth}},
	}
}

func oneSlow(c *choice) { c.servers[0].slow = 5 }

func oneFrozen(c *choice) {
	c.sim.after(troubleFrom, func() { c.servers[0].slow = 1e9 })
	c.sim.after(troubleUntil, func() { c.servers[0].slow = 0 })
}

// halfCold restarts half of the targets: they are down for the time of trouble and
// come back cold.
func halfCold(c *choice) {
	half := c.servers[:len(c.servers)/2]
	c.sim.after(troubleFrom, func() {
		for _, v := range half {
			v.down = true
		}
	})
	c.sim.after(troubleUntil, func() {
		for _, v := range half {
			v.down = false
			v.slow = coldFactor
			v.warm = func(v *server) { v.slow = max(1, v.slow-(coldFactor-1.0)/warmJobs) }
		}
	})
}

// oneLies makes one slow target report no load and the others what they have, half
// a second late.
func oneLies(c *choice) {
	c.servers[0].slow = 5
	c.sim.every(500*time.Millisecond, choiceLength, func() {
		for t, v := range c.servers {
			c.reported[t] = float64(v.busy) / float64(v.slots)
		}
		c.reported[0] = 0
	})
}

func outage(c *choice) {
	set := func(down bool) func() {
		return func() {
			for _, v := range c.servers {
				v.down = down
			}
		}
	}
	c.sim.after(troubleFrom, set(true))
	c.sim.after(troubleUntil, set(false))
}

// Choice measures ways to choose a target, in order and in trouble. The ratio is
// over the first way of the scenario.
func Choice(seed uint64) Table {
	var t Table
	for _, s := range scenarios() {
		results := each(len(s.ways), func(i int) *choiceResult {
			c := newChoice(seed, s.ways[i])
			s.setUp(c)
			return c.run(s.load)
		})
		for i, r := range results {
			name := fmt.Sprintf("choice/%s/%gx/%s/", s.name, s.load, s.ways[i])
			base := results[0]
			t.compare(name+"answered", 100*float64(r.answered)/float64(r.offered), "%", 100*float64(base.answered)/float64(base.offered))
			t.compare(name+"p50", quantile(r.latencies, 0.5), "ms", quantile(base.latencies, 0.5))
			t.compare(name+"p99", quantile(r.latencies, 0.99), "ms", quantile(base.latencies, 0.99))
			t.compare(name+"attempts-per-request", float64(r.attempts)/float64(r.offered), "1", float64(base.attempts)/float64(base.offered))
			mean := float64(r.answered) / float64(len(r.perTarget))
			t.add(name+"imbalance", float64(slices.Max(r.perTarget))/mean, "max/mean")
			if s.passing {
				t.add(name+"attempts-per-request-in-trouble", float64(r.troubledTries)/float64(r.troubledAsks), "1")
				t.add(name+"recovery", r.recovery(1).Seconds(), "s")
				t.add(name+"recovery-of-500ms", r.recovery(steadyBins).Seconds(), "s")
			}
		}
	}
	return t
}
