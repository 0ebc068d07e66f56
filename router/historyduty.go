package router

import (
	"sync"
	"time"

	"tarragongw/core/history"
	"tarragongw/telemetry"
)

// historyDuty keeps the measures of the last two hours for reports: it looks at
// what is served, and closes a bucket of the history when one is over.
type historyDuty struct {
	r         *Router
	available *availability

	// mu guards ring, which the operators' endpoint reads.
	mu   sync.Mutex
	ring *history.Ring

	// measured guards moved and imbalances, which other duties write.
	measured   sync.Mutex
	moved      map[string]uint64
	imbalances map[string]measure
}

// measure is a value and when it was taken.
type measure struct {
	value float64
	at    time.Time
}

func newHistoryDuty(r *Router) *historyDuty {
	return &historyDuty{
		r:         r,
		available: newAvailability(r),
		ring: history.New(history.Config{
			Classes: telemetry.Classes(),
			Bounds:  telemetry.LatencyBounds(),
			Causes:  telemetry.Codes(),
		}),
		moved:      make(map[string]uint64),
		imbalances: make(map[string]measure),
	}
}

// tick looks at what is served now.
func (h *historyDuty) tick() {
	h.available.look()
	h.closeBucket(time.Now())
}

func (h *historyDuty) closeBucket(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ring.Due(now) {
		h.ring.Add(now, h.sample(now))
	}
}

// sample is what was counted up to now.
func (h *historyDuty) sample(now time.Time) *history.Sample {
	totals := h.r.tel.Totals()
	out := &history.Sample{Latency: totals.Latency, Refused: totals.Refused, Failed: totals.Failed}
	v := h.r.view.Load()
	if v == nil {
		return out
	}
	unavailable := h.available.unitSeconds()
	fresh := freshIntervals * h.r.opts.Settings.Timers.Rebalance
	h.measured.Lock()
	defer h.measured.Unlock()
	for i := range v.model().Services {
		name := v.model().Services[i].Name
		s := history.ServiceSample{Name: name, Moved: h.moved[name], Unavailable: unavailable[name]}
		if m := h.imbalances[name]; now.Sub(m.at) < fresh {
			s.Imbalance = m.value
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// since returns the buckets that ended after the time.
func (h *historyDuty) since(since time.Time) history.Series {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ring.Since(since)
}

// countMoves counts units that went from one owner to another.
func (h *historyDuty) countMoves(service string, units int) {
	h.measured.Lock()
	defer h.measured.Unlock()
	h.moved[service] += uint64(units)
}

// setImbalance keeps the imbalance among the targets of this data centre.
func (h *historyDuty) setImbalance(now time.Time, service string, value float64) {
	h.measured.Lock()
	defer h.measured.Unlock()
	h.imbalances[service] = measure{value: value, at: now}
}
