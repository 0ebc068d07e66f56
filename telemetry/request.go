package telemetry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// CodeOK is the code of a request that was answered completely.
const CodeOK = "ok"

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond,
	7 * time.Millisecond, 10 * time.Millisecond, 14 * time.Millisecond, 20 * time.Millisecond,
	35 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
	time.Minute,
}

const ranCount = int(fault.RanFully) + 1

// codeNames are the codes that have a series of their own; index 0 stands for all others.
// codeIndex holds their indices.
var codeNames, codeIndex = indexCodes()

func indexCodes() ([]string, map[string]int) {
	names := []string{otherLabel, CodeOK}
	for _, kind := range fault.Kinds() {
		names = append(names, kind.String())
	}
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return names, index
}

// RecordRequest records one request and its latency as seen by the caller; code is CodeOK or the
// code of a fault. Once the combination of labels has been seen, it takes no lock and
// allocates nothing.
func (t *Telemetry) RecordRequest(service, caller string, class request.Class, code string, ran fault.Ran, d time.Duration) {
	s := t.service(service)
	i := classIndex(class)
	s.callerLatencies(t.cfg, caller)[i].RecordDuration(d)
	s.outcomes[i].counter(s.scope, classes[i], code, ran).Inc(1)
	t.totals.record(class, code, ran, d)
}

// RecordRetry counts one retry of a request; code is the fault of the previous attempt.
func (t *Telemetry) RecordRetry(service, code string) {
	s := t.service(service)
	lazyCounter(&s.retries[codeIndex[code]], func() tally.Counter {
		return s.scope.Tagged(map[string]string{"code": codeNames[codeIndex[code]]}).Counter("retries_total")
	}).Inc(1)
}

// InFlight returns the gauge of the number of requests in flight for the service.
func (t *Telemetry) InFlight(service string) *Gauge { return t.service(service).inFlight }

func classIndex(c request.Class) int {
	if int(c) < len(classes) {
		return int(c)
	}
	return 0
}

// latencies are the latency histograms of one caller by class.
type latencies [len(classes)]tally.Histogram

// service holds the pre-resolved metrics of one service.
type service struct {
	scope        tally.Scope
	callers      cowMap[string, *latencies]
	otherCallers *latencies
	outcomes     [len(classes)]outcomes
	retries      []atomic.Pointer[tally.Counter]
	inFlight     *Gauge

	// mu guards sketch, which finds the callers to give a label to.
	mu     sync.Mutex
	sketch sketch
}

// service returns the metrics of the service, or those of the label "other" if the service
// is not among the first MaxServices.
func (t *Telemetry) service(name string) *service {
	if s, ok := t.services.get(name); ok {
		return s
	}
	if s, ok := t.services.getOrAdd(name, t.cfg.MaxServices, func() *service { return t.newService(name) }); ok {
		return s
	}
	if s, ok := t.services.get(otherLabel); ok {
		return s
	}
	s, _ := t.services.getOrAdd(otherLabel, t.cfg.MaxServices+1, func() *service { return t.newService(otherLabel) })
	return s
}

func (t *Telemetry) newService(name string) *service {
	scope := t.scope.Tagged(map[string]string{"service": labelValue(name)})
	s := &service{
		scope:        scope,
		otherCallers: newLatencies(scope, otherLabel),
		retries:      make([]atomic.Pointer[tally.Counter], len(codeNames)),
		inFlight:     t.gauges.add(scope.Gauge("requests_in_flight")),
		sketch:       newSketch(countersPerLabel * t.cfg.TopCallers),
	}
	for i := range s.outcomes {
		s.outcomes[i].counters = make([][ranCount]atomic.Pointer[tally.Counter], len(codeNames))
	}
	return s
}

func newLatencies(scope tally.Scope, caller string) *latencies {
	l := &latencies{}
	for i, class := range classes {
		tags := map[string]string{"caller": caller, "class": class.String()}
		l[i] = scope.Tagged(tags).Histogram("request_seconds", latencyBuckets)
	}
	return l
}

// outcomes counts the requests of one service and class by code and by whether
// they ran.
type outcomes struct {
	counters [][ranCount]atomic.Pointer[tally.Counter]
}

func (o *outcomes) counter(scope tally.Scope, class request.Class, code string, ran fault.Ran) tally.Counter {
	if int(ran) >= ranCount {
		ran = fault.RanUnknown
	}
	i := codeIndex[code]
	return lazyCounter(&o.counters[i][ran], func() tally.Counter {
		tags := map[string]string{"class": class.String(), "code": codeNames[i], "ran": ran.String()}
		return scope.Tagged(tags).Counter("requests_total")
	})
}

// lazyCounter returns the counter in p and creates it on first use. Goroutines that create
// it concurrently get the same counter from tally.
func lazyCounter(p *atomic.Pointer[tally.Counter], create func() tally.Counter) tally.Counter {
	if c := p.Load(); c != nil {
		return *c
	}
	c := create()
	p.Store(&c)
	return c
}

// labelValue returns the label value for a name: "none" for an empty name, and at most
// maxLabelLength bytes of a long one. tally replaces characters that are not allowed.
func labelValue(name string) string {
	if name == "" {
		return "none"
	}
	if len(name) > maxLabelLength {
		return name[:maxLabelLength]
	}
	return name
}
