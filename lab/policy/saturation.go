package policy

import (
	"fmt"
	"time"

	"tarragongw/core/shed"
)

// Costs of the one router whose processor is saturated. Work takes the processor when
// it arrives and when its target answered; a refusal takes it once.
const (
	readCost     = 40 * time.Microsecond
	answerCost   = 40 * time.Microsecond
	refusalCost  = 20 * time.Microsecond
	targetTime   = 2 * time.Millisecond
	shedTick     = 20 * time.Millisecond
	patienceTime = 100 * time.Millisecond
	saturateFrom = time.Second
	saturateFor  = 3 * time.Second
	saturateEnd  = saturateFrom + saturateFor + 2*time.Second
	// At stalledLoad the processor is away for stall, stallEvery so often, as on a VM that
	// gets no processor time.
	stalledLoad = 0.5
	stall       = 150 * time.Millisecond
	stallEvery  = 500 * time.Millisecond
	// batchPart is the part of requests that are batch work.
	batchPart = 0.3
	// calmLoad is the load before and after.
	calmLoad = 0.5
)

const routerCapacity = float64(time.Second) / float64(readCost+answerCost)

// processor is one queue of tasks in order of arrival.
type processor struct {
	sim   *sim
	until time.Duration
}

// do runs a task when those before it are done.
func (p *processor) do(cost time.Duration, then func()) {
	p.until = max(p.until, p.sim.now) + cost
	p.sim.after(p.until-p.sim.now, then)
}

// shedder decides on arrivals; sent and arrived are the ends of a probe.
type shedder interface {
	refuse(rank shed.Rank) bool
	sent()
	arrived(delay time.Duration)
	ended(took time.Duration)
}

// saturation is a run of one router.
type saturation struct {
	sim       *sim
	processor processor
	shedder   shedder
	offered   [shed.RankCount]int
	inTime    [shed.RankCount]int
	latencies []time.Duration
	refusals  []time.Duration
	// settled is when latency was last above patience, after the load fell.
	settled time.Duration
}

func (s *saturation) counts(at time.Duration) bool {
	return at >= saturateFrom && at < saturateFrom+saturateFor
}

func (s *saturation) arrive() {
	at := s.sim.now
	rank := shed.Interactive
	if s.sim.random.Float64() < batchPart {
		rank = shed.Batch
	}
	if s.counts(at) {
		s.offered[rank]++
	}
	s.processor.do(0, func() {
		if s.shedder.refuse(rank) {
			s.processor.do(refusalCost, func() { s.refused(at) })
			return
		}
		s.processor.do(readCost, func() {
			s.sim.after(targetTime, func() { s.processor.do(answerCost, func() { s.answered(at, rank) }) })
		})
	})
}

func (s *saturation) refused(at time.Duration) {
	if s.counts(at) {
		s.refusals = append(s.refusals, s.sim.now-at)
	}
}

func (s *saturation) answered(at time.Duration, rank shed.Rank) {
	took := s.sim.now - at
	s.shedder.ended(took)
	if took > patienceTime && at >= saturateFrom+saturateFor {
		s.settled = s.sim.now - saturateFrom - saturateFor
	}
	if !s.counts(at) {
		return
	}
	s.latencies = append(s.latencies, took)
	if took <= patienceTime {
		s.inTime[rank]++
	}
}

// answeredInTime is in requests a second.
func (s *saturation) answeredInTime() float64 {
	return float64(s.inTime[shed.Batch]+s.inTime[shed.Interactive]) / saturateFor.Seconds()
}

func (s *saturation) run(load float64) {
	rate := func(from, until time.Duration, load float64) {
		s.sim.after(from, func() { s.sim.arrivals(load*routerCapacity, until, s.arrive) })
	}
	if load == stalledLoad {
		s.sim.every(stallEvery, saturateFrom+saturateFor, func() { s.processor.do(stall, func() {}) })
	}
	rate(0, saturateFrom, calmLoad)
	rate(saturateFrom, saturateFrom+saturateFor, load)
	rate(saturateFrom+saturateFor, saturateEnd, calmLoad)
	probing := false
	s.sim.every(shedTick, saturateEnd, func() {
		if probing {
			return
		}
		probing = true
		at := s.sim.now
		s.shedder.sent()
		s.processor.do(0, func() {
			probing = false
			s.shedder.arrived(s.sim.now - at)
		})
	})
	s.sim.run(saturateEnd + 10*time.Second)
}

// ownShedder is the router's.
type ownShedder struct {
	sim        *sim
	controller *shed.Controller
	shares     shed.Shares
	offered    shed.Offered
	counts     shed.Offered
}

func (o *ownShedder) refuse(rank shed.Rank) bool {
	o.offered[rank]++
	o.counts[rank]++
	return shed.Refuse(o.counts[rank], o.shares[rank])
}

func (o *ownShedder) sent() { o.controller.Sent(o.sim.clock()) }

func (o *ownShedder) arrived(time.Duration) {
	o.shares = o.controller.Arrived(o.sim.clock(), o.offered)
	o.offered = shed.Offered{}
}

func (o *ownShedder) ended(time.Duration) {}

// noShedder takes everything.
type noShedder struct{}

func (noShedder) refuse(shed.Rank) bool { return false }
func (noShedder) sent()                 {}
func (noShedder) arrived(time.Duration) {}
func (noShedder) ended(time.Duration)   {}

// pieShedder refuses with a probability that follows the delay in the manner of PIE
// (RFC 8033), whatever the rank.
type pieShedder struct {
	sim         *sim
	probability float64
	last        time.Duration
}

func (p *pieShedder) refuse(shed.Rank) bool { return p.sim.random.Float64() < p.probability }

func (*pieShedder) sent() {}

func (p *pieShedder) arrived(delay time.Duration) {
	const alpha, beta = 0.125, 1.25 // per second of delay, at the RFC's interval of 15 ms
	change := alpha*(delay-shed.DefaultTargetDelay).Seconds() + beta*(delay-p.last).Seconds()
	p.last = delay
	p.probability = min(max(p.probability+change, 0), 0.99)
}

func (*pieShedder) ended(time.Duration) {}

// windowShedder keeps a limit on requests in flight that grows by one for a window of
// answers in time and falls by a tenth on a late one.
type windowShedder struct {
	sim      *sim
	limit    float64
	inFlight int
	cutAt    time.Duration
}

func (w *windowShedder) refuse(shed.Rank) bool {
	if float64(w.inFlight) >= w.limit {
		return true
	}
	w.inFlight++
	return false
}

func (*windowShedder) sent() {}

func (*windowShedder) arrived(time.Duration) {}

func (w *windowShedder) ended(took time.Duration) {
	w.inFlight--
	const allowed = targetTime + 2*shed.DefaultTargetDelay
	if took <= allowed {
		w.limit += 1 / w.limit
		return
	}
	if w.sim.now-w.cutAt > allowed {
		w.limit, w.cutAt = max(w.limit*0.9, 1), w.sim.now
	}
}

var shedWays = []string{"none", "share", "pie", "window"}

func newSaturation(seed uint64, way string) *saturation {
	s := &saturation{sim: newSim(seed)}
	s.processor.sim = s.sim
	switch way {
	case "share":
		s.shedder = &ownShedder{sim: s.sim, controller: shed.New(0)}
	case "pie":
		s.shedder = &pieShedder{sim: s.sim}
	case "window":
		s.shedder = &windowShedder{sim: s.sim, limit: 100}
	default:
		s.shedder = noShedder{}
	}
	return s
}

// Saturation measures a router above the capacity of its own processor, by each way to
// refuse early. The ratio is over the router's capacity for answers and over no
// shedding for the rest.
func Saturation(seed uint64) Table {
	var t Table
	loads := []float64{stalledLoad, 0.9, 1.2, 2, 3}
	results := each(len(loads)*len(shedWays), func(i int) *saturation {
		s := newSaturation(seed, shedWays[i%len(shedWays)])
		s.run(loads[i/len(shedWays)])
		return s
	})
	for i, s := range results {
		load, base := loads[i/len(shedWays)], results[i-i%len(shedWays)]
		name := fmt.Sprintf("saturation/%gx/%s/", load, shedWays[i%len(shedWays)])
		t.compare(name+"answers-in-time", s.answeredInTime(), "1/s", routerCapacity*min(load, 1))
		for _, rank := range []shed.Rank{shed.Interactive, shed.Batch} {
			kind := map[shed.Rank]string{shed.Interactive: "interactive", shed.Batch: "batch"}[rank]
			t.add(name+kind+"-answered", 100*float64(s.inTime[rank])/float64(max(s.offered[rank], 1)), "%")
		}
		t.compare(name+"p99", quantile(s.latencies, 0.99), "ms", quantile(base.latencies, 0.99))
		t.add(name+"refused", 100*float64(len(s.refusals))/float64(s.offered[shed.Batch]+s.offered[shed.Interactive]), "%")
		t.add(name+"refusal-p50", quantile(s.refusals, 0.5), "ms")
		t.add(name+"recovery", s.settled.Seconds(), "s")
	}
	return t
}
