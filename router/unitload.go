package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/balance"
	"tarragongw/core/fault"
	"tarragongw/core/routing"
)

const (
	// sampleEvery is how many requests pass for each one whose key is counted.
	sampleEvery = 8
	// sketchKeys is the number of keys that are followed for each target.
	sketchKeys = 64
	// keepKeys is the part of the keys' weights that is kept from one report to the
	// next: one interval alone has few samples.
	keepKeys = 0.5
)

// unitLoads counts what each unit of one target takes of its slots, and which keys
// weigh most. The request path takes no lock but that of its target.
type unitLoads struct {
	seen atomic.Uint64

	mu    sync.Mutex
	units map[routing.Unit]*unitLoad
	// busy and served are sums over all units.
	busy   time.Duration
	served int
	keys   *balance.Sketch
	since  time.Time
}

// unitLoad is the load of one unit since the last report.
type unitLoad struct {
	busy    time.Duration
	refused int
	// once counts the work under way that may run at most once.
	once int
}

// loadOf is one unit's part of a report, in slots.
type loadOf struct {
	unit    routing.Unit
	load    float64
	once    bool
	hotHash uint64
	hotLoad float64
}

func newUnitLoads() *unitLoads {
	return &unitLoads{units: make(map[routing.Unit]*unitLoad), keys: balance.NewSketch(sketchKeys), since: time.Now()}
}

// of returns the unit's counters; mu is held.
func (l *unitLoads) of(unit routing.Unit) *unitLoad {
	u := l.units[unit]
	if u == nil {
		u = new(unitLoad)
		l.units[unit] = u
	}
	return u
}

// begin counts work until end. Work that may run at most once protects its unit from
// moves meanwhile.
func (l *unitLoads) begin(job *work) {
	if job.unit.Service == "" || job.meta.Repeatable {
		return
	}
	l.mu.Lock()
	l.of(job.unit).once++
	l.mu.Unlock()
}

func (l *unitLoads) end(job *work, took time.Duration) {
	if job.unit.Service == "" {
		return
	}
	sampled := l.seen.Add(1)%sampleEvery == 0
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(job.unit)
	u.busy += took
	if !job.meta.Repeatable {
		u.once--
	}
	l.busy += took
	l.served++
	if sampled {
		l.keys.Add(job.meta.Key, sampleEvery*took.Seconds())
	}
}

// noRoom reports a refusal for want of a slot.
func noRoom(f *fault.Fault) bool {
	return f.Kind == fault.QueueFull || f.Kind == fault.CallerLimit || f.Kind == fault.DeadlineUnmeetable
}

// refused notes work that found no slot. It counts as load: a target that refuses
// half of its work would else look no busier than one that is just full.
func (l *unitLoads) refused(unit routing.Unit) {
	if unit.Service == "" {
		return
	}
	l.mu.Lock()
	l.of(unit).refused++
	l.mu.Unlock()
}

// protected reports whether at-most-once work on the unit is under way.
func (l *unitLoads) protected(unit routing.Unit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.units[unit]
	return u != nil && u.once > 0
}

// take returns the loads since the last call and begins anew. unitOf finds the unit
// of a key.
func (l *unitLoads) take(now time.Time, unitOf func(key string) routing.Unit) []loadOf {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := max(now.Sub(l.since).Seconds(), 1e-3)
	var mean float64
	if l.served > 0 {
		mean = l.busy.Seconds() / float64(l.served)
	}
	hot := l.hottest(unitOf)
	out := make([]loadOf, 0, len(l.units))
	for unit, u := range l.units {
		row := loadOf{unit: unit, once: u.once > 0}
		row.load = (u.busy.Seconds() + float64(u.refused)*mean) / interval
		if key, ok := hot[unit]; ok && row.load > 0 {
			row.hotHash = xxhash.Sum64String(key.Key)
			row.hotLoad = min((1-keepKeys)*(key.Weight-key.Error), u.busy.Seconds()) / interval
		}
		out = append(out, row)
		if u.once <= 0 {
			delete(l.units, unit)
			continue
		}
		u.busy, u.refused = 0, 0
	}
	l.busy, l.served, l.since = 0, 0, now
	l.keys.Decay(keepKeys)
	return out
}

// hottest is the heaviest key of each unit that has one among the counted ones.
func (l *unitLoads) hottest(unitOf func(key string) routing.Unit) map[routing.Unit]balance.HotKey {
	out := make(map[routing.Unit]balance.HotKey)
	for _, key := range l.keys.Top(sketchKeys) {
		unit := unitOf(key.Key)
		if _, known := out[unit]; !known && key.Weight > key.Error {
			out[unit] = key
		}
	}
	return out
}
