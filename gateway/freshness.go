package gateway

import (
	"sync"
	"time"
)

const (
	// defaultPropagationLimit is used where Options.PropagationLimit is unknown.
	defaultPropagationLimit = 2 * time.Second
	// confirmReserve is the part of Options.PropagationLimit that is left for learning of a change from
	// the store or from other routers.
	confirmReserve = 400 * time.Millisecond
)

// freshness is what this router knows about the age of its state: the configuration and the targets. The
// state is confirmed by an answer of the store, or by a leader that the store has answered.
type freshness struct {
	g *Gateway

	mu sync.Mutex
	// confirmedAt is the last time at which the state was certainly the newest; before the first, when
	// this router started.
	confirmedAt time.Time
	// overdue is set while the state has not been confirmed for longer than overdueAfter.
	overdue bool
	timer   *time.Timer
}

func newFreshness(g *Gateway) *freshness {
	f := &freshness{g: g, confirmedAt: time.Now()}
	if tel := g.opts.Telemetry; tel != nil {
		tel.GaugeFunc("state_age_seconds", nil, func() float64 { return f.age().Seconds() })
	}
	return f
}

// start begins to check that the state is confirmed in time.
func (f *freshness) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(f.overdueAfter(), f.check)
}

// overdueAfter is how old the state may be before this router has to look for a newer one.
func (f *freshness) overdueAfter() time.Duration {
	limit := f.g.opts.PropagationLimit
	if limit <= 0 {
		limit = defaultPropagationLimit
	}
	return max(limit-confirmReserve, limit/2)
}

// age returns for how long this router's state may have been out of date.
func (f *freshness) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// confirm records that the state was the newest at a time.
func (f *freshness) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !at.After(f.confirmedAt) {
		return
	}
	before := f.confirmedAt
	f.confirmedAt = at
	left := f.overdueAfter() - time.Since(at)
	if f.overdue && left > 0 {
		f.overdue = false
		f.g.log.Info("state confirmed again", "unconfirmed", at.Sub(before))
	}
	if f.timer != nil && left > 0 {
		f.timer.Reset(left)
	}
}

// check logs that the state has not been confirmed in time.
func (f *freshness) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Since(f.confirmedAt)
	if f.overdue || age < f.overdueAfter() || f.g.lifetime.Err() != nil {
		return
	}
	f.overdue = true
	f.g.log.Warn("state may be out of date", "age", age)
}
