package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// defaultPropagationLimit is used where Options.PropagationLimit is unknown.
	defaultPropagationLimit = 2 * time.Second
	// confirmReserve is the part of Options.PropagationLimit that is left for learning of a change from
	// the store or from other routers.
	confirmReserve = 400 * time.Millisecond
	// minRecheckInterval and maxRecheckInterval bound the pause between two attempts to have the
	// configuration confirmed.
	minRecheckInterval = 300 * time.Millisecond
	maxRecheckInterval = 1200 * time.Millisecond
)

// configAge is what this router knows about the age of its configuration. The configuration is confirmed as
// the newest by an answer of the store, or by a leader that the store has answered. The one limit for changes
// is counted from there, whatever is lost in the meantime.
type configAge struct {
	g *Gateway

	mu sync.Mutex
	// confirmedAt is the last time at which the configuration was certainly the newest, by the clock that goes
	// on during suspension; before the first, when this router started.
	confirmedAt time.Duration
	// late is set while the configuration has not been confirmed for longer than the limit.
	late  bool
	timer *time.Timer
	// jitter spreads the calls of routers that were confirmed at the same moment.
	jitter time.Duration
	// pause is the time until the next attempt to have the configuration confirmed.
	pause time.Duration
}

func newConfigAge(g *Gateway) *configAge {
	a := &configAge{g: g, confirmedAt: g.opts.Clock.Now(), pause: minRecheckInterval, jitter: rand.N(fallbackJitter)}
	if tel := g.opts.Telemetry; tel != nil {
		tel.GaugeFunc("configuration_age_seconds", nil, func() float64 { return a.age().Seconds() })
	}
	return a
}

// start begins to check that the configuration is confirmed in time.
func (a *configAge) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(a.overdueAfter(), a.check)
}

// limit is the time within which a change must be in force.
func (a *configAge) limit() time.Duration {
	if limit := a.g.opts.PropagationLimit; limit > 0 {
		return limit
	}
	return defaultPropagationLimit
}

// overdueAfter is how old the configuration may be before this router has to look for a newer one.
func (a *configAge) overdueAfter() time.Duration {
	return max(a.limit()-confirmReserve, a.limit()/2) - a.jitter
}

// age returns for how long this router's configuration may have been out of date.
func (a *configAge) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.g.opts.Clock.Now() - a.confirmedAt
}

// untilOverdue returns how long this router may still wait for a confirmation.
func (a *configAge) untilOverdue() time.Duration { return a.overdueAfter() - a.age() }

// confirm records that the configuration was the newest at a time, by the clock that goes on during suspension.
func (a *configAge) confirm(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at <= a.confirmedAt {
		return
	}
	before := a.confirmedAt
	a.confirmedAt = at
	a.pause = minRecheckInterval
	left := a.overdueAfter() - (a.g.opts.Clock.Now() - at)
	if a.late && left > 0 {
		a.late = false
		a.g.log.Info("configuration confirmed again", "unconfirmed", at-before)
	}
	if a.timer != nil && left > 0 {
		a.timer.Reset(left)
	}
}

// check looks for a newer configuration if this router's has not been confirmed in time.
func (a *configAge) check() {
	if a.recordCheck() {
		a.g.subscription.recheckConfig()
	}
}

// recordCheck reports whether the configuration has not been confirmed in time, and schedules the next check.
func (a *configAge) recordCheck() (overdue bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	age := a.g.opts.Clock.Now() - a.confirmedAt
	if a.g.lifetime.Err() != nil {
		return false
	}
	if age < a.overdueAfter() {
		a.timer.Reset(a.overdueAfter() - age)
		return false
	}
	if !a.late && age >= a.limit() {
		a.late = true
		a.g.log.Warn("configuration may be out of date", "age", age)
	}
	a.timer.Reset(a.pause)
	a.pause = min(2*a.pause, maxRecheckInterval)
	return true
}
