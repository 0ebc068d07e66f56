package telemetry

import "math/rand/v2"

// Callers choose their own names, so their number is unbounded, and a series exists until
// the process ends. Therefore only TopCallers callers of a service get a label of their
// own; all others are aggregated under the label "other". The first half of the labels is
// given to the first callers that send a request, so that a small deployment sees all of
// its callers immediately. The other half is given to callers with substantial traffic,
// which a space-saving sketch finds in a sample of the aggregated requests: it finds every
// caller that sends more than one in countersPerLabel times TopCallers of these requests,
// whatever the other callers send. A flood of invented names can use up the first half of
// the labels but not the second.

const (
	// countersPerLabel is the number of counters of the sketch per label.
	countersPerLabel = 4
	// labelThreshold is the number of sampled requests after which a caller gets a label.
	labelThreshold = 8
	// halvingPeriod is the number of sampled requests after which all counts are halved,
	// so that a caller does not reach labelThreshold by requests spread over a long time.
	halvingPeriod = 4096
	// sampleMask selects one in 16 requests for the default sample.
	sampleMask = 15
)

func sampleOneIn16() bool { return rand.Uint32()&sampleMask == 0 }

// callerLatencies returns the histograms of the caller, or those of the label "other" if
// the caller has no label of its own.
func (s *service) callerLatencies(cfg Config, name string) *latencies {
	if l, ok := s.callers.get(name); ok {
		return l
	}
	if name == otherLabel || s.callers.len() >= cfg.TopCallers {
		return s.otherCallers
	}
	if s.callers.len() < (cfg.TopCallers+1)/2 || (cfg.Sample() && s.qualifies(name)) {
		return s.addCaller(cfg, name)
	}
	return s.otherCallers
}

// addCaller gives the caller a label of its own if there are any left.
func (s *service) addCaller(cfg Config, name string) *latencies {
	l, ok := s.callers.getOrAdd(name, cfg.TopCallers, func() *latencies {
		return newLatencies(s.scope, labelValue(name))
	})
	if !ok {
		return s.otherCallers
	}
	return l
}

// qualifies counts one sampled request and reports whether the caller has sent enough of
// them to get a label.
func (s *service) qualifies(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sketch.add(name) >= labelThreshold
}

// sketch counts the most frequent names with a fixed number of counters, by the
// space-saving algorithm (Metwally and others, 2005).
type sketch struct {
	capacity int
	added    int
	entries  map[string]*sketchEntry
}

type sketchEntry struct {
	count int
	// overestimate is the maximum by which count may be too high.
	overestimate int
}

func newSketch(capacity int) sketch {
	return sketch{capacity: capacity, entries: make(map[string]*sketchEntry, capacity)}
}

// add counts the name once and returns a lower bound of the number of times that it has
// been counted.
func (s *sketch) add(name string) int {
	s.added++
	if s.added%halvingPeriod == 0 {
		s.halve()
	}
	if e, ok := s.entries[name]; ok {
		e.count++
		return e.count - e.overestimate
	}
	overestimate := 0
	if len(s.entries) >= s.capacity {
		overestimate = s.evict()
	}
	s.entries[name] = &sketchEntry{count: overestimate + 1, overestimate: overestimate}
	return 1
}

// evict removes a name with the lowest count and returns that count.
func (s *sketch) evict() int {
	var name string
	lowest := -1
	for candidate, e := range s.entries {
		if lowest < 0 || e.count < lowest {
			name, lowest = candidate, e.count
		}
	}
	delete(s.entries, name)
	return lowest
}

func (s *sketch) halve() {
	for _, e := range s.entries {
		e.count /= 2
		e.overestimate /= 2
	}
}
