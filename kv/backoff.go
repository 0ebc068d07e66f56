package kv

import "time"

// Backoff computes how long to wait after consecutive failures. It has neither a clock
// nor a random source of its own.
type Backoff struct {
	// Base is the upper bound of the wait after the first failure; each further failure
	// doubles the bound.
	Base time.Duration
	// Cap is the highest bound, after any number of failures.
	Cap time.Duration
}

// Default bounds of the waits. With this cap, n routers call an unreachable store n/2.5 times a
// second in total.
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

// Wait returns a random wait between zero and the bound for the number of consecutive
// failures (full jitter); random is a uniformly distributed number in [0, 1).
//
// All routers see the store fail at the same time. With equal waits they would also
// retry at the same time and overload the store as soon as it recovers, which would
// show as bursts of calls at fixed intervals. Waits that are spread over the whole
// range prevent that.
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

// backoffGate delays calls after failures. It is a state machine without a clock, a lock or
// a random source.
type backoffGate struct {
	backoff  Backoff
	failures int
	// failedAt is the time of the last counted failure, retryAt the end of its wait.
	failedAt time.Time
	retryAt  time.Time
	// singleProbe allows only one call at a time until one has succeeded. It is off for
	// watches, because a watch that waits for a change would block the others that long.
	singleProbe   bool
	probeInFlight bool
}

// admit reports whether a call may be sent. After failures it admits one call when the
// wait has ended, and the others when that call has succeeded: all callers in the
// process wait until the same moment and would otherwise call simultaneously.
func (g *backoffGate) admit(now time.Time) bool {
	if g.failures == 0 {
		return true
	}
	if g.probeInFlight || now.Before(g.retryAt) {
		return false
	}
	g.probeInFlight = g.singleProbe
	return true
}

// succeeded ends the backoff, unless the call started before the last failure: then the
// store may have responded before it failed.
func (g *backoffGate) succeeded(started time.Time) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.failures = 0
	g.probeInFlight = false
}

// failed starts a wait. Calls that started before the last counted failure are not
// counted: many calls in flight when the store fails are one failure and would
// otherwise raise the wait to its cap immediately.
func (g *backoffGate) failed(now, started time.Time, random float64) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.failures++
	g.failedAt = now
	g.retryAt = now.Add(g.backoff.Wait(g.failures, random))
	g.probeInFlight = false
}

// abandoned allows the next probe after a call whose caller cancelled it, which shows
// nothing about the store.
func (g *backoffGate) abandoned(started time.Time) {
	if g.failures > 0 && started.Before(g.failedAt) {
		return
	}
	g.probeInFlight = false
}
