package policy

import (
	"time"

	"tarragongw/core/admission"
	"tarragongw/core/balance"
	"tarragongw/core/fault"
	"tarragongw/core/health"
	"tarragongw/core/retry"
)

// anyShape is a service that is not divided by key.
var anyShape = shape{"12x3", 12, 3}

const (
	// tickEvery is how often health is judged.
	tickEvery = 100 * time.Millisecond
	// binLength is the resolution of the time to recovery.
	binLength = 100 * time.Millisecond
	// choiceLength is how long arrivals go on.
	choiceLength = 12 * time.Second
	// troubleFrom and troubleUntil bound a trouble that passes.
	troubleFrom, troubleUntil = 3 * time.Second, 6 * time.Second
)

// chooser is a way to choose a target at one router.
type chooser string

// The ways to choose.
const (
	roundRobin   chooser = "round-robin"
	random       chooser = "random"
	leastLoaded  chooser = "least-loaded"
	leastReport  chooser = "least-reported"
	powerOfTwo   chooser = "power-of-two"
	withHealth   chooser = "power-of-two+health"
	withHedge    chooser = "power-of-two+health+hedge"
	withoutLimit chooser = "power-of-two+health, no retry budget"
)

// view is what one router knows.
type view struct {
	inFlight []int
	latency  []float64
	turn     int
	set      *health.Set
	budget   *retry.Budget
	hedges   *retry.Budget
}

// ask is one request with its copies.
type ask struct {
	router   int
	arrived  time.Duration
	deadline time.Duration
	tries    int
	open     []*job
	ended    bool
	// work is the time of every copy where the time is a matter of the request.
	work time.Duration
}

// choice is one run of a service that is not divided by key.
type choice struct {
	sim     *sim
	way     chooser
	shape   shape
	servers []*server
	limiter *gated
	views   []*view
	retries *retry.Policy
	asks    map[*job]*ask
	names   []string
	// reported is the load that each target claims, from 0 to 1.
	reported []float64
	// ownWork says that a request takes the same time at each target; else each copy
	// draws its own, as where the time is a matter of the target's moment.
	ownWork bool
	// trouble is set up by the scenario.
	result choiceResult
}

type choiceResult struct {
	offered, answered, attempts int
	latencies                   []time.Duration
	perTarget                   []int
	// bins count offered and answered by time of arrival.
	binOffered, binAnswered []int
	// troubled counts what began in the time of trouble.
	troubledAsks, troubledTries int
}

func newChoice(seed uint64, way chooser) *choice {
	c := &choice{
		sim: newSim(seed), way: way, shape: anyShape,
		retries: retry.NewPolicy(retry.Config{}), asks: map[*job]*ask{},
	}
	bins := int(choiceLength/binLength) + 1
	c.result.binOffered, c.result.binAnswered = make([]int, bins), make([]int, bins)
	c.result.perTarget = make([]int, c.shape.targets)
	c.reported = make([]float64, c.shape.targets)
	for t := range c.shape.targets {
		c.servers = append(c.servers, &server{sim: c.sim, slots: c.shape.slots, connections: connections})
		c.names = append(c.names, string(rune('a'+t)))
	}
	e := ends{answer: c.answered, fail: c.failed, refuse: c.refused, down: c.unreachable}
	c.limiter = newGated(c.sim, c.servers, e, false, admission.Config{Slots: c.shape.slots, InitialService: meanService})
	for range routers {
		c.views = append(c.views, c.newView())
	}
	return c
}

func (c *choice) newView() *view {
	v := &view{
		inFlight: make([]int, c.shape.targets), latency: make([]float64, c.shape.targets),
		set: health.NewSet(health.Config{}),
	}
	for _, name := range c.names {
		v.set.Add(epoch, name, false)
	}
	budget := retry.BudgetConfig{}
	if c.way == withoutLimit {
		budget = retry.BudgetConfig{RetriesPerSuccess: 1e6, Burst: 1e9, MinPerSecond: 1e9}
	}
	v.budget, v.hedges = retry.NewBudget(budget, routers), newHedgeBudget()
	return v
}

// run sends a load in multiples of capacity and returns the result.
func (c *choice) run(load float64) *choiceResult {
	c.sim.arrivals(load*c.shape.capacity(), choiceLength, c.arrive)
	c.sim.every(tickEvery, choiceLength, func() {
		for _, v := range c.views {
			v.set.Tick(c.sim.clock())
			c.probe(v)
		}
	})
	c.sim.run(choiceLength + time.Second)
	return &c.result
}

// probe asks the targets in doubt or without work whether they speak.
func (c *choice) probe(v *view) {
	for t, name := range c.names {
		state := v.set.State(name)
		if v.set.WantsProbe(name) || state == health.Ejected || state == health.Lost {
			frozen := c.servers[t].slow > 1000
			v.set.Probe(c.sim.clock(), name, !c.servers[t].down && !frozen)
		}
	}
}

func (c *choice) arrive() {
	a := &ask{router: c.sim.random.IntN(routers), arrived: c.sim.now, deadline: c.sim.now + deadline}
	if c.ownWork {
		a.work = c.sim.service(meanService)
	}
	c.result.offered++
	c.result.binOffered[int(a.arrived/binLength)]++
	if c.troubled(a) {
		c.result.troubledAsks++
	}
	c.try(a, -1)
	if c.way == withHedge {
		c.sim.after(hedgeFactor*meanService, func() { c.hedge(a) })
	}
}

func (c *choice) troubled(a *ask) bool { return a.arrived >= troubleFrom && a.arrived < troubleUntil }

// try sends one copy, to another target than not.
func (c *choice) try(a *ask, not int) {
	target := c.choose(a.router, not)
	if target < 0 {
		a.ended = true
		return
	}
	a.tries++
	c.result.attempts++
	if c.troubled(a) {
		c.result.troubledTries++
	}
	j := &job{
		target: target, router: a.router, caller: "c", arrived: c.sim.now, deadline: a.deadline,
		work: a.work,
	}
	if !c.ownWork {
		j.work = c.sim.service(meanService)
	}
	c.asks[j] = a
	a.open = append(a.open, j)
	c.views[a.router].inFlight[target]++
	c.limiter.offer(j)
}

func (c *choice) choose(router, not int) int {
	v := c.views[router]
	n := c.shape.targets
	least := func(cost func(t int) float64) int {
		best := -1
		offset := c.sim.random.IntN(n)
		for i := range n {
			t := (i + offset) % n
			if t != not && (best < 0 || cost(t) < cost(best)) {
				best = t
			}
		}
		return best
	}
	switch c.way {
	case roundRobin:
		v.turn++
		return (v.turn + router) % n
	case random:
		return c.sim.random.IntN(n)
	case leastLoaded:
		return least(func(t int) float64 { return float64(v.inFlight[t]) })
	case leastReport:
		return least(func(t int) float64 { return c.reported[t] })
	}
	return balance.PowerOfTwo(c.candidates(v, not), c.sim.random)
}

func (c *choice) candidates(v *view, not int) []balance.Candidate {
	candidates := make([]balance.Candidate, c.shape.targets)
	for t := range candidates {
		weight := 1.0
		if c.way != powerOfTwo {
			weight = v.set.Weight(c.sim.clock(), c.names[t])
		}
		if t == not {
			weight = 0
		}
		candidates[t] = balance.Candidate{
			Name: c.names[t], InFlight: v.inFlight[t], Weight: weight,
			Latency: time.Duration(v.latency[t] * float64(time.Second)),
		}
	}
	return candidates
}

// close takes a copy out of the books and returns its request.
func (c *choice) close(j *job) (*ask, *view) {
	a := c.asks[j]
	delete(c.asks, j)
	for i, other := range a.open {
		if other == j {
			a.open = append(a.open[:i], a.open[i+1:]...)
			break
		}
	}
	v := c.views[j.router]
	v.inFlight[j.target]--
	return a, v
}

func (c *choice) answered(j *job) {
	a, v := c.close(j)
	took := c.sim.now - j.arrived
	v.latency[j.target] += 0.1 * (took.Seconds() - v.latency[j.target])
	v.set.Result(c.sim.clock(), c.names[j.target], health.Result{Signal: health.OK, Latency: took})
	if a.ended {
		return
	}
	a.ended = true
	for _, other := range a.open {
		c.limiter.cancel(other)
	}
	if c.sim.now > a.deadline {
		return
	}
	v.budget.Success()
	v.hedges.Success()
	c.result.answered++
	c.result.binAnswered[int(a.arrived/binLength)]++
	c.result.perTarget[j.target]++
	c.result.latencies = append(c.result.latencies, c.sim.now-a.arrived)
}

// failed ends a copy that ran into its deadline, or was cancelled.
func (c *choice) failed(j *job) {
	a, v := c.close(j)
	if j.cancelled {
		return
	}
	took := (c.sim.now - j.arrived).Seconds()
	v.latency[j.target] += 0.1 * (took - v.latency[j.target])
	v.set.Result(c.sim.clock(), c.names[j.target], health.Result{Signal: health.Stalled, Fresh: c.servers[j.target].slow > 1000})
	a.ended = a.ended || len(a.open) == 0
}

func (c *choice) refused(j *job) {
	a, v := c.close(j)
	v.set.Result(c.sim.clock(), c.names[j.target], health.Result{Signal: health.Shed})
	a.ended = a.ended || len(a.open) == 0
}

// unreachable ends a copy for which no connection was opened; it may be retried.
func (c *choice) unreachable(j *job) {
	a, v := c.close(j)
	v.set.Result(c.sim.clock(), c.names[j.target], health.Result{Signal: health.ConnectFailed, Fresh: true})
	if a.ended {
		return
	}
	decision := c.retries.Decide(c.sim.clock(), retry.Attempt{
		Number: a.tries, Fault: fault.New(fault.TargetUnreachable, ""),
		Deadline: epoch.Add(a.deadline), EstimatedService: meanService,
	}, v.budget, c.sim.random)
	if !decision.Retry {
		a.ended = len(a.open) == 0
		return
	}
	c.sim.after(decision.After, func() { c.try(a, j.target) })
}

// steadyBins is the length of time, in bins, over which recovery is judged too: in a
// single bin of some 360 requests chance alone goes below 95% now and then.
const steadyBins = 5

// recovery is how long after the trouble's end a stretch of so many bins last began
// that had less than 95% of its requests answered, and its first bin.
func (r *choiceResult) recovery(bins int) time.Duration {
	first := int(troubleUntil / binLength)
	last := time.Duration(0)
	for i := first; i+bins < len(r.binOffered); i++ {
		offered, answered := 0, 0
		for bin := i; bin < i+bins; bin++ {
			offered += r.binOffered[bin]
			answered += r.binAnswered[bin]
		}
		if float64(answered) < 0.95*float64(offered) {
			last = time.Duration(i-first+1) * binLength
		}
	}
	return last
}
