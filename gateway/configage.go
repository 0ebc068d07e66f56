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
	// overdue is set while the configuration has not been confirmed for longer than overdueAfter.
	overdue bool
	timer   *time.Timer
}

func newConfigAge(g *Gateway) *configAge {
	a := &configAge{g: g, confirmedAt: g.opts.Clock.Now()}
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

// overdueAfter is how old the configuration may be before this router has to look for a newer one.
func (a *configAge) overdueAfter() time.Duration {
	limit := a.g.opts.PropagationLimit
	if limit <= 0 {
		limit = defaultPropagationLimit
	}
	return max(limit-confirmReserve, limit/2)
}

// age returns for how long this router's configuration may have been out of date.
func (a *configAge) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.g.opts.Clock.Now() - a.confirmedAt
}

// untilOverdue returns how long this router may still wait for a confirmation, less a random time, which
// spreads the calls of routers that were confirmed at the same moment.
func (a *configAge) untilOverdue() time.Duration {
	return a.overdueAfter() - a.age() - rand.N(fallbackJitter)
}

// confirm records that the configuration was the newest at a time, by the clock that goes on during suspension.
func (a *configAge) confirm(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at <= a.confirmedAt {
		return
	}
	before := a.confirmedAt
	a.confirmedAt = at
	left := a.overdueAfter() - (a.g.opts.Clock.Now() - at)
	if a.overdue && left > 0 {
		a.overdue = false
		a.g.log.Info("configuration confirmed again", "unconfirmed", at-before)
	}
	if a.timer != nil && left > 0 {
		a.timer.Reset(left)
	}
}

// check looks for a newer configuration if this router's has not been confirmed in time.
func (a *configAge) check() {
	a.mu.Lock()
	age := a.g.opts.Clock.Now() - a.confirmedAt
	overdue := age >= a.overdueAfter() && a.g.lifetime.Err() == nil
	began := overdue && !a.overdue
	a.overdue = overdue
	if overdue {
		a.timer.Reset(recheckInterval)
	}
	a.mu.Unlock()
	if began {
		a.g.log.Warn("configuration may be out of date", "age", age)
	}
	if overdue {
		a.g.subscription.recheckConfig()
	}
}

// recheckInterval is the pause between two attempts to have the configuration confirmed.
const recheckInterval = 300 * time.Millisecond
