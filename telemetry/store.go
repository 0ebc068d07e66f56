package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// storeCallLabels is one combination of labels of calls to the platform.
type storeCallLabels struct{ kind, outcome string }

type storeMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// maxStoreSeries is the maximum number of combinations of labels. There are only a fixed
// number of kinds and outcomes, but if a value that differs for each call were passed by
// mistake, every call would otherwise create a series.
const maxStoreSeries = 128

// StoreCall records one call to the platform and its latency.
func (t *Telemetry) StoreCall(kind, outcome string, d time.Duration) {
	labels := storeCallLabels{kind: kind, outcome: outcome}
	m, ok := t.storeCalls.get(labels)
	if !ok {
		m = t.addStoreCall(labels)
	}
	m.count.Inc(1)
	m.latency.RecordDuration(d)
}

func (t *Telemetry) addStoreCall(labels storeCallLabels) *storeMetrics {
	m, ok := t.storeCalls.getOrAdd(labels, maxStoreSeries, func() *storeMetrics { return t.newStoreMetrics(labels) })
	if ok {
		return m
	}
	other := storeCallLabels{kind: otherLabel, outcome: otherLabel}
	m, _ = t.storeCalls.getOrAdd(other, maxStoreSeries+1, func() *storeMetrics { return t.newStoreMetrics(other) })
	return m
}

func (t *Telemetry) newStoreMetrics(labels storeCallLabels) *storeMetrics {
	kind := t.scope.Tagged(map[string]string{"kind": labels.kind})
	return &storeMetrics{
		count:   kind.Tagged(map[string]string{"outcome": labels.outcome}).Counter("store_calls_total"),
		latency: kind.Histogram("store_call_seconds", latencyBuckets),
	}
}
