// Package heap paces the garbage collector of a process that only routes requests.
//
// A router has 5 MiB of live state, so by default the collector runs again after as much
// garbage. Under load that is every 30 ms, for 4 ms each on the two cores of a small VM:
// it takes a tenth of the processor time, and one request in ten coincides with a
// collection, which shows in the 99th percentile. A fixed larger percentage would avoid
// that, but the allowed garbage grows with the live heap and would exhaust a small VM's
// memory when thousands of requests are in flight. This package allows a bounded number
// of additional bytes, and only while they are needed.
package heap

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

// liveMetric is the runtime metric of the bytes that the last collection left live.
const liveMetric = "/gc/heap/live:bytes"

// percentVariable is the environment variable by which operators set the percentage
// themselves. If it is set, the percentage is not changed.
const percentVariable = "GOGC"

// Pacer adapts the collector's percentage, in the sense of GOGC, after each collection.
type Pacer struct {
	mu       sync.Mutex
	headroom headroom
	// last is the time of the last recorded collection.
	last time.Time
	// set is debug.SetGCPercent except in tests.
	set     func(percent int) int
	stopped bool
}

// Start begins to pace the collector of this process. The returned function ends pacing
// and restores the default percentage. Start does nothing if GOGC is set. A limit set by
// GOMEMLIMIT applies in any case.
func Start() (stop func()) {
	if os.Getenv(percentVariable) != "" {
		return func() {}
	}
	p := newPacer(debug.SetGCPercent, time.Now())
	p.arm()
	return p.stop
}

func newPacer(set func(int) int, now time.Time) *Pacer {
	return &Pacer{headroom: newHeadroom(), last: now, set: set}
}

// sentinel is an object that is garbage as soon as it is allocated, so that its cleanup
// runs after the next collection. It contains a pointer because small objects without
// pointers share a block and live longer.
type sentinel struct{ _ *sentinel }

// arm has collected run after the next collection. It uses neither a timer nor a
// goroutine, so that an idle router isn't woken.
func (p *Pacer) arm() {
	runtime.AddCleanup(new(sentinel), (*Pacer).collected, p)
}

// collected runs after a collection.
func (p *Pacer) collected() {
	if p.record(time.Now(), liveBytes()) {
		p.arm()
	}
}

// record updates the headroom and the percentage after a collection. It returns false
// after stop.
func (p *Pacer) record(now time.Time, live int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	percent, changed := p.headroom.collected(now.Sub(p.last), live)
	p.last = now
	if changed {
		p.set(percent)
	}
	return true
}

func (p *Pacer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.stopped = true
		p.set(defaultPercent)
	}
}

func liveBytes() int64 {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
