// Package writereport tells operators whether the writes of package leasewrite are protected
// against a suspension of the process.
package writereport

import (
	"log/slog"

	"tarragongw/leasewrite"
	"tarragongw/telemetry"
)

// Names of the metrics.
const (
	// metricProtection is a gauge: 1 if Check returns nil, else 0.
	metricProtection  = "lease_write_protection"
	metricProtected   = "lease_writes_protected_total"
	metricUnprotected = "lease_writes_unprotected_total"
	metricRestarts    = "lease_write_restarts_total"
)

// Start logs the warning if writes are not protected, and adds the metrics to tel unless that
// is nil. If writes are protected, the first one that is not is logged at the end of its
// reporting interval; this needs tel. All counts are those of the process.
func Start(tel *telemetry.Telemetry, log *slog.Logger, warning string) {
	start(tel, log, warning, leasewrite.Check, leasewrite.Count)
}

func start(tel *telemetry.Telemetry, log *slog.Logger, warning string, check func() error, count func() leasewrite.Counters) {
	w := &watch{log: log, check: check, atStart: count().Unprotected}
	if err := check(); err != nil {
		log.Warn(warning, "cause", err)
		w.warned = true
	}
	if tel == nil {
		return
	}
	tel.GaugeFunc(metricProtection, nil, func() float64 {
		if check() != nil {
			return 0
		}
		return 1
	})
	tel.CounterFunc(metricProtected, nil, func() int64 { return count().Protected })
	tel.CounterFunc(metricRestarts, nil, func() int64 { return count().Restarted })
	tel.CounterFunc(metricUnprotected, nil, func() int64 {
		n := count().Unprotected
		w.observe(n)
		return n
	})
}

// watch logs the first unprotected write since the start.
type watch struct {
	log     *slog.Logger
	check   func() error
	atStart int64
	warned  bool
}

func (w *watch) observe(unprotected int64) {
	if w.warned || unprotected == w.atStart {
		return
	}
	w.warned = true
	attributes := []any{"unprotected", unprotected - w.atStart}
	if err := w.check(); err != nil {
		attributes = append(attributes, "cause", err)
	}
	w.log.Warn("writes were not protected against suspension", attributes...)
}
