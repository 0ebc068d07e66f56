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

// gauges is the list of all gauges and of the functions that return their values.
type gauges struct {
	mu   sync.Mutex
	list []gaugeSource
}

type gaugeSource struct {
	gauge tally.Gauge
	read  func() float64
}

func (g *gauges) add(tallyGauge tally.Gauge) *Gauge {
	gauge := &Gauge{}
	g.addFunc(tallyGauge, func() float64 { return float64(gauge.Value()) })
	return gauge
}

func (g *gauges) addFunc(tallyGauge tally.Gauge, read func() float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = append(g.list, gaugeSource{gauge: tallyGauge, read: read})
}

func (g *gauges) update() {
	g.mu.Lock()
	list := g.list
	g.mu.Unlock()
	for _, s := range list {
		s.gauge.Update(s.read())
	}
}
