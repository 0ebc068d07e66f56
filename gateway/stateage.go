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
	// readReserve is that part for state that the store alone confirms.
	readReserve = 250 * time.Millisecond
	// leaderHeadStart is how much earlier the leader reads what is overdue than its followers, so that they need not.
	leaderHeadStart = 250 * time.Millisecond
	// minRecheckInterval and maxRecheckInterval bound the pause between two attempts to have state confirmed.
	minRecheckInterval = 300 * time.Millisecond
	maxRecheckInterval = 1200 * time.Millisecond
)

// stateAge is what this router knows about the age of a part of its state. That is confirmed as the newest by an
// answer of the store, or by another router that the store has answered. The one limit for changes is counted
// from there, whatever is lost in the meantime.
type stateAge struct {
	g    *Gateway
	name string
	// reserve is the part of the limit that is left for learning of a change once the state is overdue.
	reserve time.Duration
	// leaderReserve is that part while this router leads; zero for the same.
	leaderReserve time.Duration
	// onOverdue is called while the state has not been confirmed for overdueAfter, with the number of calls before
	// since it was.
	onOverdue func(attempt int)

	mu sync.Mutex
	// confirmedAt is the last time at which the state was certainly the newest, by the clock that goes on during
	// suspension; before the first, when this router started.
	confirmedAt time.Duration
	// late is set while the state has not been confirmed for longer than the limit.
	late  bool
	timer *time.Timer
	// jitter spreads the calls of routers that were confirmed at the same moment.
	jitter time.Duration
	// attempts counts the calls of onOverdue since the state was confirmed, and pause is the time until the next.
	attempts int
	pause    time.Duration
}

func newStateAge(g *Gateway, name string, reserve time.Duration) *stateAge {
	a := &stateAge{g: g, name: name, reserve: reserve, confirmedAt: g.opts.Clock.Now(), pause: minRecheckInterval, jitter: rand.N(fallbackJitter)}
	if tel := g.opts.Telemetry; tel != nil {
		tel.GaugeFunc(name+"_age_seconds", nil, func() float64 { return a.age().Seconds() })
	}
	return a
}

// start begins to check that the state is confirmed in time.
func (a *stateAge) start(onOverdue func(attempt int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onOverdue = onOverdue
	a.timer = time.AfterFunc(a.overdueAfter(), a.check)
}

// limit is the time within which a change must be in force.
func (a *stateAge) limit() time.Duration {
	if limit := a.g.opts.PropagationLimit; limit > 0 {
		return limit
	}
	return defaultPropagationLimit
}

// overdueAfter is how old the state may be before this router has to look for a newer one.
func (a *stateAge) overdueAfter() time.Duration {
	if a.g.leading.Load() {
		return a.overdueWith(max(a.reserve, a.leaderReserve))
	}
	return a.overdueWith(a.reserve)
}

// overdueWith is overdueAfter with a part of the limit that is left for learning of a change.
func (a *stateAge) overdueWith(reserve time.Duration) time.Duration {
	return max(a.limit()-reserve, a.limit()/2) - a.jitter
}

// isOverdueAtFollowers reports whether routers that follow this one have to look for a newer state themselves.
func (a *stateAge) isOverdueAtFollowers() bool { return a.age() >= a.overdueWith(a.reserve) }

// age returns for how long this router's state may have been out of date.
func (a *stateAge) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.g.opts.Clock.Now() - a.confirmedAt
}

// untilOverdue returns how long this router may still wait for a confirmation.
func (a *stateAge) untilOverdue() time.Duration { return a.overdueAfter() - a.age() }

// confirm records that the state was the newest at a time, by the clock that goes on during suspension.
func (a *stateAge) confirm(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at <= a.confirmedAt {
		return
	}
	before := a.confirmedAt
	a.confirmedAt = at
	a.attempts, a.pause = 0, minRecheckInterval
	left := a.overdueAfter() - (a.g.opts.Clock.Now() - at)
	if a.late && left > 0 {
		a.late = false
		a.g.log.Info(a.name+" confirmed again", "unconfirmed", at-before)
	}
	if a.timer != nil && left > 0 {
		a.timer.Reset(left)
	}
}

// check calls onOverdue if the state has not been confirmed in time.
func (a *stateAge) check() {
	if attempt, overdue := a.recordCheck(); overdue {
		a.onOverdue(attempt)
	}
}

// recordCheck reports whether the state has not been confirmed in time, and schedules the next check.
func (a *stateAge) recordCheck() (attempt int, overdue bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	age := a.g.opts.Clock.Now() - a.confirmedAt
	if a.g.lifetime.Err() != nil {
		return 0, false
	}
	if age < a.overdueAfter() {
		a.timer.Reset(a.overdueAfter() - age)
		return 0, false
	}
	if !a.late && age >= a.limit() {
		a.late = true
		a.g.log.Warn(a.name+" may be out of date", "age", age)
	}
	a.timer.Reset(a.pause)
	a.pause = min(2*a.pause, maxRecheckInterval)
	a.attempts++
	return a.attempts - 1, true
}
