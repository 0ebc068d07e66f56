// Package telemetry provides the router's logs, metrics and admin endpoint.
//
// Metrics are collected by tally and served in the Prometheus text format. Config bounds
// the number of series, whatever names callers use.
package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"tarragongw/core/request"
)

// Config configures the metrics.
type Config struct {
	// Prefix is the prefix of the name of every metric. Default "tarragongw".
	Prefix string
	// Tags are added to every metric, for instance the router and its data centre.
	Tags map[string]string
	// Interval is the reporting interval: the values to be scraped are updated once per
	// interval. Default 1 s.
	Interval time.Duration
	// TopCallers is the maximum number of callers of one service with series of their own;
	// all others are aggregated under the label "other". Default 50.
	TopCallers int
	// MaxServices is the maximum number of services with series of their own; all others
	// are aggregated under the label "other". Default 128.
	MaxServices int
	// Sample decides whether a request of a caller without a label of its own counts
	// towards getting one. Default: one in 16 at random.
	Sample func() bool
}

const (
	defaultPrefix      = "tarragongw"
	defaultInterval    = time.Second
	defaultTopCallers  = 50
	defaultMaxServices = 128
	// maxLabelLength is the maximum length of a label value in bytes.
	maxLabelLength = 64
	// otherLabel is the label value under which all names without a label of their own are
	// aggregated.
	otherLabel = "other"
)

func (c Config) withDefaults() Config {
	if c.Prefix == "" {
		c.Prefix = defaultPrefix
	}
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	if c.TopCallers <= 0 {
		c.TopCallers = defaultTopCallers
	}
	if c.MaxServices <= 0 {
		c.MaxServices = defaultMaxServices
	}
	if c.Sample == nil {
		c.Sample = sampleOneIn16
	}
	return c
}

// Telemetry holds the metrics of one router. It is safe for concurrent use.
type Telemetry struct {
	cfg        Config
	scope      tally.Scope
	closer     io.Closer
	reporter   promreporter.Reporter
	services   cowMap[string, *service]
	storeCalls cowMap[storeCallLabels, *storeMetrics]
	gauges     gauges
	totals     *totals
	stop       chan struct{}
	done       sync.WaitGroup
}

// New returns a new Telemetry and starts its reporting; Close stops it.
func New(cfg Config) *Telemetry {
	cfg = cfg.withDefaults()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	options := tally.ScopeOptions{
		Prefix:                 cfg.Prefix,
		Tags:                   cfg.Tags,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}
	t := &Telemetry{cfg: cfg, reporter: reporter, stop: make(chan struct{}), totals: newTotals()}
	t.scope, t.closer = tally.NewRootScope(options, cfg.Interval)
	t.done.Add(1)
	go t.updateGauges()
	return t
}

// Scope returns the scope for metrics of other packages. A metric must always be used with
// the same set of tag names, and the number of tag values must be small.
func (t *Telemetry) Scope() tally.Scope { return t.scope }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler { return t.reporter.HTTPHandler() }

// Close reports the last values and stops the reporting. The handler continues to serve
// these values.
func (t *Telemetry) Close() error {
	close(t.stop)
	t.done.Wait()
	t.gauges.update()
	return t.closer.Close()
}

// updateGauges copies the gauges to tally at each reporting interval until Close.
func (t *Telemetry) updateGauges() {
	defer t.done.Done()
	ticker := time.NewTicker(t.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.gauges.update()
		case <-t.stop:
			return
		}
	}
}

// classes are the priority classes. A class's index here is its index in latencies,
// service.outcomes and totals.latency.
var classes = [...]request.Class{request.Interactive, request.Batch}

// sanitizeOptions are the reporter's defaults except for values: names of services and
// callers and addresses keep their usual punctuation, so that queries can match them.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: promreporter.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  promreporter.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune("_-.:/@+"),
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}
