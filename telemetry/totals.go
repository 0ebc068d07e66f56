package telemetry

import (
	"sort"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// totals are counts over all services and callers since the start of the process. They are
// kept here for the history, because tally does not keep counts that it has reported.
type totals struct {
	latency [len(classes)][]atomic.Uint64
	refused []atomic.Uint64
	failed  []atomic.Uint64
}

func newTotals() *totals {
	t := &totals{refused: make([]atomic.Uint64, len(codeNames)), failed: make([]atomic.Uint64, len(codeNames))}
	for i := range t.latency {
		t.latency[i] = make([]atomic.Uint64, len(latencyBuckets)+1)
	}
	return t
}

// record counts one request. Only requests that were answered completely count towards the
// latency: refusals within microseconds would make a router that refuses everything look
// fast.
func (t *totals) record(class request.Class, code string, ran fault.Ran, d time.Duration) {
	switch {
	case code == CodeOK:
		i := sort.Search(len(latencyBuckets), func(i int) bool { return d <= latencyBuckets[i] })
		t.latency[classIndex(class)][i].Add(1)
	case ran == fault.NotRun:
		t.refused[codeIndex[code]].Add(1)
	default:
		t.failed[codeIndex[code]].Add(1)
	}
}

// Totals are counts over all services and callers since the start of the process.
type Totals struct {
	// Latency counts the requests that were answered completely, by class (see Classes) and
	// latency bucket (see LatencyBounds).
	Latency [][]uint64
	// Refused counts the requests that were not run and Failed those that failed but may
	// have run, both by code (see Codes).
	Refused []uint64
	Failed  []uint64
}

// Totals returns a copy of the current counts.
func (t *Telemetry) Totals() Totals {
	out := Totals{Refused: loadCounts(t.totals.refused), Failed: loadCounts(t.totals.failed)}
	for i := range t.totals.latency {
		out.Latency = append(out.Latency, loadCounts(t.totals.latency[i]))
	}
	return out
}

func loadCounts(counts []atomic.Uint64) []uint64 {
	out := make([]uint64, len(counts))
	for i := range counts {
		out[i] = counts[i].Load()
	}
	return out
}

// Codes returns the codes that index Totals.Refused and Totals.Failed.
func Codes() []string { return append([]string(nil), codeNames...) }

// Classes returns the names of the classes that index Totals.Latency.
func Classes() []string {
	var out []string
	for _, class := range classes {
		out = append(out, class.String())
	}
	return out
}

// LatencyBounds returns the upper bounds of the buckets of Totals.Latency. One additional
// bucket counts the requests above the last bound.
func LatencyBounds() []time.Duration { return append([]time.Duration(nil), latencyBuckets...) }
