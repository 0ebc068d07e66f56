package telemetry

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Gauge is a value that can go up and down. It is copied to a tally gauge at each
// reporting interval: if several goroutines updated the tally gauge directly, their
// updates could be stored out of order, which would leave an outdated value.
type Gauge struct{ value atomic.Int64 }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Set replaces the value.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Value returns the value.
func (g *Gauge) Value() int64 { return g.value.Load() }

// Gauge returns a new gauge with the name and tags. It must be called only once for the
// same name and tags.
func (t *Telemetry) Gauge(name string, tags map[string]string) *Gauge {
	return t.gauges.add(t.scope.Tagged(tags).Gauge(name))
}

// GaugeFunc adds a gauge whose value is read from f at each reporting interval. f must be
// fast and must not block.
func (t *Telemetry) GaugeFunc(name string, tags map[string]string, f func() float64) {
	t.gauges.addFunc(t.scope.Tagged(tags).Gauge(name), f)
}

// CounterFunc adds a counter for a total that is counted elsewhere. The total is read from f
// at each reporting interval. It must not decrease; f must be fast and must not block.
func (t *Telemetry) CounterFunc(name string, tags map[string]string, f func() int64) {
	counter := t.scope.Tagged(tags).Counter(name)
	var reported int64
	t.gauges.addUpdate(func() {
		total := f()
		counter.Inc(total - reported)
		reported = total
	})
}

// gauges holds the functions that copy all gauges, and counters of CounterFunc, to tally.
type gauges struct {
	mu      sync.Mutex
	updates []func()
}

func (g *gauges) add(tallyGauge tally.Gauge) *Gauge {
	gauge := &Gauge{}
	g.addFunc(tallyGauge, func() float64 { return float64(gauge.Value()) })
	return gauge
}

func (g *gauges) addFunc(tallyGauge tally.Gauge, read func() float64) {
	g.addUpdate(func() { tallyGauge.Update(read()) })
}

func (g *gauges) addUpdate(update func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updates = append(g.updates, update)
}

func (g *gauges) update() {
	g.mu.Lock()
	updates := g.updates
	g.mu.Unlock()
	for _, update := range updates {
		update()
	}
}
