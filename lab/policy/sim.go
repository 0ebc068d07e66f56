// Package policy measures the decisions of the core under injected time: the
// router's own policies and baselines serve the same arrivals, and each run
// repeats exactly for its seed. It has one service, its targets and plain delays
// between VMs; it simulates no cluster, no store and no failure of a router.
package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// epoch is the wall clock at simulated time zero.
var epoch = time.Unix(1_700_000_000, 0)

// sim runs events in order of time, and of their making where times are equal.
type sim struct {
	now    time.Duration
	seq    uint64
	events eventHeap
	random *rand.Rand
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func newSim(seed uint64) *sim {
	return &sim{random: rand.New(rand.NewPCG(seed, 0x7461727261676f6e))}
}

// after runs an event once d has passed.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + max(d, 0), seq: s.seq, run: run})
}

// clock is the simulated time as the core wants it.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// run runs events up to a time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// every runs an event at a fixed interval until a time.
func (s *sim) every(interval, until time.Duration, run func()) {
	var step func()
	step = func() {
		run()
		if s.now+interval <= until {
			s.after(interval, step)
		}
	}
	s.after(interval, step)
}

// arrivals runs an event as a Poisson process of rate per second until a time.
func (s *sim) arrivals(rate float64, until time.Duration, run func()) {
	if rate <= 0 {
		return
	}
	var step func()
	step = func() {
		if s.now > until {
			return
		}
		run()
		s.after(s.exponential(rate), step)
	}
	s.after(s.exponential(rate), step)
}

func (s *sim) exponential(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// serviceSpread is the standard deviation of the logarithm of service times; with
// it the 99th percentile is 4.7 times the mean.
const serviceSpread = 0.8

// service draws a log-normal service time with a mean.
func (s *sim) service(mean time.Duration) time.Duration {
	exponent := serviceSpread*s.random.NormFloat64() - serviceSpread*serviceSpread/2
	return time.Duration(float64(mean) * math.Exp(exponent))
}
