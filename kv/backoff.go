package kv

import "time"

// Backoff says how long to wait after failures in a row. It has neither clock
// nor random source of its own.
type Backoff struct {
	// Base bounds the wait after the first failure; each further one doubles the bound.
	Base time.Duration
	// Cap bounds the wait after any number of failures.
	Cap time.Duration
}

// Default waits. With the cap, n routers ask a store that is down n/2.5 times a second.
const (
	DefaultBackoffBase = 50 * time.Millisecond
	DefaultBackoffCap  = 5 * time.Second
)

func (b Backoff) withDefaults() Backoff {
	if b.Base <= 0 {
		b.Base = DefaultBackoffBase
	}
	if b.Cap < b.Base {
		b.Cap = max(DefaultBackoffCap, b.Base)
	}
	return b
}

// Wait returns a wait drawn evenly between zero and the bound after the number of
// failures in a row (full jitter); random is in [0, 1).
//
// All routers see the store fail at the same moment. With equal waits they would
// also return at the same moment, and the store, just back, would fail under them
// again. One would notice it as bursts of calls at fixed distances. Waits that
// are spread over the whole range have no moment in common.
func (b Backoff) Wait(failures int, random float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	bound := b.Base
	for i := 1; i < failures && bound < b.Cap; i++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, b.Cap)))
}

// gate keeps calls back after failures. It is a state machine without clock,
// lock or random source.
type gate struct {
	backoff  Backoff
	failures int
	// failedAt is when the last failure that counted was seen, until when its wait ends.
	failedAt time.Time
	until    time.Time
	// probe says that only one call at a time goes out until one has succeeded. It is
	// off for watches: one that waits for a change would keep the others back as long.
	probe   bool
	probing bool
}

// admit says whether a call may go out. After failures it lets one call through
// when the wait has ended, and the others once that one succeeded: all callers
// of the process wait for the same moment, and would otherwise come at once.
func (g *gate) admit(now time.Time) bool {
	if g.failures == 0 {
		return true
	}
	if g.probing || now.Before(g.until) {
		return false
	}
	g.probing = g.probe
	return true
}

// succeeded opens the gate, unless the call began before the last failure: its
// answer may be older than that.
func (g *gate) succeeded(started time.Time) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.failures = 0
	g.probing = false
}

// failed begins a wait. Calls that began before the last failure do not count
// again: many in flight at one moment of failure are one failure, and would
// otherwise push the wait to its cap at once.
func (g *gate) failed(now, started time.Time, random float64) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.failures++
	g.failedAt = now
	g.until = now.Add(g.backoff.Wait(g.failures, random))
	g.probing = false
}

// abandoned frees the probe's place after a call that says nothing about the
// store, because its caller gave up.
func (g *gate) abandoned(started time.Time) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.probing = false
}
