// Package retry decides whether a failed attempt is retried. It is the only retry
// layer: the router that received the request from its caller uses it, and no layer
// below retries anything.
//
// The package is deterministic: time and the random source are parameters.
package retry

import (
	"math/rand/v2"
	"time"

	"tarragongw/core/fault"
)

// Defaults of Config.
const (
	DefaultMaxAttempts = 3
	DefaultBaseBackoff = 10 * time.Millisecond
	DefaultMaxBackoff  = 500 * time.Millisecond
)

// Config bounds retries. The zero value of a field means its default.
type Config struct {
	// MaxAttempts counts the first attempt too.
	MaxAttempts int
	// BaseBackoff is the upper bound of the delay before the first retry; the bound doubles
	// with each attempt, up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.BaseBackoff <= 0 {
		c.BaseBackoff = DefaultBaseBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	c.MaxBackoff = max(c.MaxBackoff, c.BaseBackoff)
	return c
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts from one.
	Number int
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Fault is how the attempt ended.
	Fault *fault.Fault
	// Deadline is when the answer must have begun; the zero time means none.
	Deadline time.Time
	// EstimatedService is the least time that another attempt is expected to take.
	EstimatedService time.Duration
}

// Reason is the reason for a decision.
type Reason uint8

// The reasons. Only Allowed means that the request is retried.
const (
	Allowed Reason = iota
	// KindFinal means that the kind of error is not retryable: another attempt would fail
	// in the same way.
	KindFinal
	// MayHaveRun means that the request may have run and must not run twice.
	MayHaveRun
	// AnswerBegan means that the target ran the request and its answer began, so that the
	// caller may already have a part of it.
	AnswerBegan
	// TooManyAttempts means that MaxAttempts is reached.
	TooManyAttempts
	// NoTime means that the retry delay and the service time do not fit before the deadline.
	NoTime
	// BudgetSpent means that the retry budget has no token left.
	BudgetSpent
)

var reasons = [...]string{
	"allowed", "kind-final", "may-have-run", "answer-began", "too-many-attempts", "no-time", "budget-spent",
}

// String returns the reason as it is logged.
func (r Reason) String() string {
	if int(r) >= len(reasons) {
		return "unknown"
	}
	return reasons[r]
}

// Decision says whether to retry.
type Decision struct {
	Retry bool
	// After is the delay before the retry.
	After  time.Duration
	Reason Reason
}

// Policy decides on retries within the bounds of its Config.
type Policy struct{ cfg Config }

// NewPolicy returns a policy with the bounds of cfg.
func NewPolicy(cfg Config) *Policy { return &Policy{cfg: cfg.withDefaults()} }

// Permitted returns Allowed if an attempt that failed with f may be followed by another
// one, and otherwise the reason against it. It ignores the deadline, the number of
// attempts and the budget.
func Permitted(f *fault.Fault, repeatable bool) Reason {
	switch {
	case f.Ran == fault.RanFully:
		return AnswerBegan
	case !f.Kind.Row().Retryable:
		return KindFinal
	case f.Ran == fault.NotRun || repeatable:
		return Allowed
	default:
		return MayHaveRun
	}
}

// Decide returns whether to retry; a retry takes one token from the budget. The budget
// is checked last, so that a retry refused for another reason costs no token.
func (p *Policy) Decide(now time.Time, a Attempt, budget *Budget, random *rand.Rand) Decision {
	if reason := Permitted(a.Fault, a.Repeatable); reason != Allowed {
		return Decision{Reason: reason}
	}
	if a.Number >= p.cfg.MaxAttempts {
		return Decision{Reason: TooManyAttempts}
	}
	delay := p.backoff(a, random)
	if !a.Deadline.IsZero() && now.Add(delay+a.EstimatedService).After(a.Deadline) {
		return Decision{Reason: NoTime}
	}
	if !budget.Take(now) {
		return Decision{Reason: BudgetSpent}
	}
	return Decision{Retry: true, After: delay, Reason: Allowed}
}

// backoff returns a retry delay drawn uniformly between zero and an upper bound that
// doubles with each attempt (full jitter). Without jitter, all requests that failed when a
// target was overloaded would be retried at the same moment and overload it again. A
// delay advised by the target is the minimum; the jitter is added to it.
func (p *Policy) backoff(a Attempt, random *rand.Rand) time.Duration {
	bound := p.cfg.BaseBackoff
	for n := 1; n < a.Number && bound < p.cfg.MaxBackoff; n++ {
		bound *= 2
	}
	bound = min(bound, p.cfg.MaxBackoff)
	jitter := time.Duration(random.Int64N(int64(bound) + 1))
	return a.Fault.RetryAfter + jitter
}
