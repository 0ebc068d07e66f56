package policy

import (
	"fmt"
	"time"

	"tarragongw/core/admission"
)

// Sizes of the measurements.
const (
	meanService  = 5 * time.Millisecond
	meanBatch    = 20 * time.Millisecond
	deadline     = 100 * time.Millisecond
	warmUp       = time.Second
	measured     = 5 * time.Second
	connections  = 120
	callers      = 20
	defaultShare = admission.DefaultBatchShare
)

// shape is a service's targets.
type shape struct {
	name           string
	targets, slots int
}

var shapes = []shape{{"16x6", 16, 6}, {"7x3", 7, 3}}

// capacity is the number of requests that the slots can do in a second if no time
// is lost between them.
func (s shape) capacity() float64 {
	return float64(s.targets*s.slots) / meanService.Seconds()
}

// traffic is the load on a service, in multiples of its capacity.
type traffic struct {
	interactive float64
	// flood is the share of interactive work that one caller of twenty sends; zero
	// means that all send the same.
	flood float64
	// batch is the load of batch work, without a deadline; batchJobs, if set, is a
	// number of batch jobs for each target that are all there at the start.
	batch     float64
	batchJobs int
}

// outcome counts what became of the jobs that arrived while it was measured.
type outcome struct {
	offered, answered, failed, refused int
	// light counts the answered and the offered of all callers but the flooding one.
	lightOffered, lightAnswered int
	latencies                   []time.Duration
	refusals                    []time.Duration
	batchAnswered               int
	batchWork                   time.Duration
	// batchEnds is when the last batch job of each target ended.
	batchEnds          []time.Duration
	attempts, exceeded int
	// byTarget counts interactive work by target and time of arrival.
	byTarget []timeline
}

// timeline counts offered and answered jobs by bins of time of arrival.
type timeline struct {
	offered, answered map[int]int
}

// share is the part answered of what arrived between two times.
func (t timeline) share(from, until time.Duration) float64 {
	offered, answered := 0, 0
	for bin := int(from / binLength); bin < int(until/binLength); bin++ {
		offered += t.offered[bin]
		answered += t.answered[bin]
	}
	return float64(answered) / float64(max(offered, 1))
}

// run is one measurement of one way to keep the limit.
type run struct {
	sim     *sim
	shape   shape
	servers []*server
	outcome outcome
	limiter limiter
	// length is how long arrivals are counted.
	length time.Duration
}

const flooder = "c0"

func newRun(seed uint64, s shape, way string, cfg admission.Config) *run {
	r := &run{sim: newSim(seed), shape: s, length: measured}
	for range s.targets {
		r.servers = append(r.servers, &server{sim: r.sim, slots: s.slots, connections: connections})
	}
	for range s.targets {
		r.outcome.byTarget = append(r.outcome.byTarget, timeline{map[int]int{}, map[int]int{}})
	}
	r.outcome.batchEnds = make([]time.Duration, s.targets)
	e := ends{answer: r.answered, fail: r.failed, refuse: r.refused}
	cfg.InitialService = meanService
	switch way {
	case "grantor":
		cfg.Slots = s.slots
		r.limiter = newGated(r.sim, r.servers, e, false, cfg)
	case "fixed-share":
		cfg.Slots = max(s.slots/routers, 1)
		r.limiter = newGated(r.sim, r.servers, e, true, cfg)
	case "adaptive":
		cfg.Slots = 0
		r.limiter = newGated(r.sim, r.servers, e, true, cfg)
	case "credits":
		r.limiter = newCredits(r.sim, r.servers, e)
	default:
		r.limiter = &unlimited{sim: r.sim, servers: r.servers, ends: e}
	}
	return r
}

func (r *run) counts(j *job) bool { return j.arrived >= warmUp && j.arrived < warmUp+r.length }

func (r *run) answered(j *job) {
	if j.batch {
		r.outcome.batchAnswered++
		r.outcome.batchEnds[j.target] = r.sim.now
		if r.sim.now >= warmUp && r.sim.now < warmUp+r.length {
			r.outcome.batchWork += j.work
		}
		return
	}
	if !r.counts(j) {
		return
	}
	if j.deadline > 0 && r.sim.now > j.deadline {
		r.outcome.failed++
		return
	}
	r.outcome.answered++
	r.outcome.byTarget[j.target].answered[int(j.arrived/binLength)]++
	r.outcome.latencies = append(r.outcome.latencies, r.sim.now-j.arrived)
	if j.caller != flooder {
		r.outcome.lightAnswered++
	}
}

func (r *run) failed(j *job) {
	if !j.batch && r.counts(j) {
		r.outcome.failed++
	}
}

func (r *run) refused(j *job) {
	if j.batch || !r.counts(j) {
		return
	}
	r.outcome.refused++
	r.outcome.refusals = append(r.outcome.refusals, r.sim.now-j.arrived)
}

func (r *run) interactive(flood float64) {
	j := &job{
		target: r.sim.random.IntN(r.shape.targets), router: r.sim.random.IntN(routers),
		arrived: r.sim.now, deadline: r.sim.now + deadline, work: r.sim.service(meanService),
	}
	pick := r.sim.random.Float64()
	if flood == 0 {
		j.caller = fmt.Sprint("c", int(pick*callers))
	} else if pick < flood {
		j.caller = flooder
	} else {
		j.caller = fmt.Sprint("c", 1+int((pick-flood)/(1-flood)*(callers-1)))
	}
	if r.counts(j) {
		r.outcome.offered++
		r.outcome.byTarget[j.target].offered[int(j.arrived/binLength)]++
		if j.caller != flooder {
			r.outcome.lightOffered++
		}
	}
	r.limiter.offer(j)
}

func (r *run) batch(target int) {
	r.limiter.offer(&job{
		target: target, router: r.sim.random.IntN(routers), caller: "export", batch: true,
		arrived: r.sim.now, work: r.sim.service(meanBatch),
	})
}

// measure runs the traffic to its end.
func (r *run) measure(t traffic) *outcome {
	end := warmUp + r.length
	r.sim.arrivals(t.interactive*r.shape.capacity(), end, func() { r.interactive(t.flood) })
	batchRate := t.batch * r.shape.capacity() * meanService.Seconds() / meanBatch.Seconds()
	r.sim.arrivals(batchRate, end, func() { r.batch(r.sim.random.IntN(r.shape.targets)) })
	for target := range r.shape.targets {
		for range t.batchJobs {
			r.batch(target)
		}
	}
	r.sim.run(end + 5*time.Second)
	for _, v := range r.servers {
		r.outcome.attempts += v.attempts
		r.outcome.exceeded += v.exceeded
	}
	return &r.outcome
}

var ways = []string{"grantor", "no-limit", "fixed-share", "credits", "adaptive"}

// Overload measures what is answered in time at multiples of capacity, by each way
// to keep the limit. The ratio is over the load up to capacity for goodput, and
// over no limit for the rest.
func Overload(seed uint64) Table {
	var t Table
	loads := []float64{0.5, 0.9, 1.2, 2, 5}
	for _, s := range shapes {
		results := each(len(loads)*len(ways), func(i int) *outcome {
			return newRun(seed, s, ways[i%len(ways)], admission.Config{}).measure(traffic{interactive: loads[i/len(ways)]})
		})
		for i, o := range results {
			load, base := loads[i/len(ways)], results[i-i%len(ways)+1]
			name := fmt.Sprintf("overload/%s/%gx/%s/", s.name, load, ways[i%len(ways)])
			t.compare(name+"goodput", float64(o.answered)/measured.Seconds(), "1/s", s.capacity()*min(load, 1))
			t.compare(name+"p99", quantile(o.latencies, 0.99), "ms", quantile(base.latencies, 0.99))
			t.compare(name+"attempts-per-answer", perAnswer(o), "1", perAnswer(base))
			t.compare(name+"slots-exceeded", float64(o.exceeded), "1", float64(base.exceeded))
			if load > 1 {
				t.add(name+"refused-late", late(o), "%")
			}
		}
	}
	return t
}

// late is the share of refusals that took more than a tenth of the deadline, in
// percent of all jobs.
func late(o *outcome) float64 {
	n := 0
	for _, d := range o.refusals {
		if d > deadline/10 {
			n++
		}
	}
	return 100 * float64(n) / float64(max(o.offered, 1))
}

// Slack measures how much of the time until the deadline the expected wait may
// take. The ratio is over all of it.
func Slack(seed uint64) Table {
	var t Table
	shares := []float64{1, 0.7, 0.5, 0.3}
	for _, s := range shapes {
		for _, load := range []float64{0.9, 2} {
			results := each(len(shares), func(i int) *outcome {
				return newRun(seed, s, "grantor", admission.Config{DeadlineShare: shares[i]}).measure(traffic{interactive: load})
			})
			for i, o := range results {
				name := fmt.Sprintf("slack/%s/%gx/deadline-share-%g/", s.name, load, shares[i])
				t.compare(name+"goodput", float64(o.answered)/measured.Seconds(), "1/s", float64(results[0].answered)/measured.Seconds())
				t.compare(name+"p50", quantile(o.latencies, 0.5), "ms", quantile(results[0].latencies, 0.5))
				t.compare(name+"p99", quantile(o.latencies, 0.99), "ms", quantile(results[0].latencies, 0.99))
				t.compare(name+"attempts-per-answer", perAnswer(o), "1", perAnswer(results[0]))
				t.compare(name+"refused-late", late(o), "%", late(results[0]))
			}
		}
	}
	return t
}

// perAnswer is the number of attempts for each answer in time. Both are scaled to
// the time measured.
func perAnswer(o *outcome) float64 {
	sent := o.offered - o.refused
	return float64(sent) / float64(max(o.answered, 1))
}

// Fairness measures what light callers get while one caller floods.
func Fairness(seed uint64) Table {
	var t Table
	s := shapes[0]
	results := each(len(ways), func(i int) *outcome {
		return newRun(seed, s, ways[i], admission.Config{}).measure(traffic{interactive: 2, flood: 0.8})
	})
	for i, o := range results {
		t.add("fairness/2x-flood-80%/"+ways[i]+"/light-callers-answered", 100*float64(o.lightAnswered)/float64(o.lightOffered), "%")
	}
	return t
}

// Batch measures interactive latency while batch work saturates, and batch work's
// share and completion. Batch jobs take four times as long. The ratio is over the
// same interactive load alone for latency, and over the slot time that interactive
// work leaves for batch.
func Batch(seed uint64) Table {
	var t Table
	headrooms := []int{-1, 1, 2}
	for _, s := range shapes {
		for _, load := range []float64{0.1, 0.3, 0.5, 0.7, 0.9} {
			results := each(len(headrooms)+2, func(i int) *outcome {
				switch i {
				case 0:
					return newRun(seed, s, "grantor", admission.Config{}).measure(traffic{interactive: load})
				case 1:
					return newRun(seed, s, "no-limit", admission.Config{}).measure(traffic{interactive: load, batch: 2})
				}
				cfg := admission.Config{BatchHeadroom: headrooms[i-2]}
				return newRun(seed, s, "grantor", cfg).measure(traffic{interactive: load, batch: 2})
			})
			free := (1 - load) * float64(s.targets*s.slots) * measured.Seconds()
			base := quantile(results[0].latencies, 0.99)
			for i, o := range results {
				way := "without-batch"
				switch {
				case i == 1:
					way = "no-limit"
				case i > 1:
					way = fmt.Sprintf("headroom-%d", max(headrooms[i-2], 0))
				}
				name := fmt.Sprintf("batch/%s/%gx/%s/", s.name, load, way)
				t.add(name+"interactive-answered", 100*float64(o.answered)/float64(o.offered), "%")
				t.compare(name+"interactive-p99", quantile(o.latencies, 0.99), "ms", base)
				if i > 0 {
					t.compare(name+"batch-slot-time", o.batchWork.Seconds(), "s", free)
				}
			}
		}
		t = append(t, completion(seed, s)...)
	}
	return t
}

// completion measures when a backlog of batch work is done while interactive work
// alone would fill twice the capacity. The ratio is over the time that the
// guaranteed share takes.
func completion(seed uint64, s shape) Table {
	var t Table
	const perTarget = 80
	o := newRun(seed, s, "grantor", admission.Config{}).measure(traffic{interactive: 2, batchJobs: perTarget})
	fair := perTarget * meanBatch.Seconds() / (defaultShare * float64(s.slots))
	name := fmt.Sprintf("batch/%s/2x/", s.name)
	mean := 0.0
	for _, end := range o.batchEnds {
		mean += end.Seconds() / float64(s.targets)
	}
	t.compare(name+"mean-completion", mean, "s", fair)
	t.add(name+"completed", 100*float64(o.batchAnswered)/float64(perTarget*s.targets), "%")
	return t
}
