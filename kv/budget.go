package kv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Priority decides which calls are allowed first when the budget is nearly used up.
type Priority uint8

const (
	// Ownership calls decide whether keys are served.
	Ownership Priority = iota
	// Configuration calls carry operators' changes.
	Configuration
	// Rest is everything else.
	Rest
	priorityCount
)

// String returns the name used in logs.
func (p Priority) String() string {
	switch p {
	case Ownership:
		return "ownership"
	case Configuration:
		return "configuration"
	default:
		return "rest"
	}
}

// reserves are the shares of the burst that each priority leaves for higher ones.
var reserves = [priorityCount]float64{Ownership: 0, Configuration: 0.25, Rest: 0.5}

// Observer receives one observation for each call, including calls that the budget
// refused. Outcome is the call's Code, "over_budget" or "backed_off".
type Observer interface {
	StoreCall(kind, outcome string, d time.Duration)
}

// outcomeBackedOff is the outcome of a call that was not sent because of earlier failures.
const outcomeBackedOff = "backed_off"

var errBackedOff = errors.New("not sent: backing off after failures")

// Rate is a number of calls per second and the number allowed in a burst.
type Rate struct {
	PerSecond float64
	Burst     int
}

// BudgetConfig holds the settings of a budget.
type BudgetConfig struct {
	// Reads limits get, list, watch and VM list calls. Default: 100 per second, burst 200.
	Reads Rate
	// Writes limits compare-and-swap and lease calls. Default: 20 per second, burst 40.
	Writes Rate
	// Backoff limits the waits after failures. Default: 50 ms to 5 s.
	Backoff Backoff
	// Observer receives an observation for each call. Default: none.
	Observer Observer
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// Random returns numbers in [0, 1). Default: math/rand/v2.
	Random func() float64
}

var (
	defaultReads  = Rate{PerSecond: 100, Burst: 200}
	defaultWrites = Rate{PerSecond: 20, Burst: 40}
)

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Reads.PerSecond <= 0 || c.Reads.Burst <= 0 {
		c.Reads = defaultReads
	}
	if c.Writes.PerSecond <= 0 || c.Writes.Burst <= 0 {
		c.Writes = defaultWrites
	}
	c.Backoff = c.Backoff.withDefaults()
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return c
}

type noObserver struct{}

func (noObserver) StoreCall(string, string, time.Duration) {}

// Budget limits one router's calls to the platform. It never delays or repeats a
// call. A call beyond the rate is refused immediately with ErrOverBudget, a call
// during the backoff after failures with ErrUnavailable; neither is sent. A Budget
// is safe for concurrent use.
type Budget struct {
	store     Store
	directory VMLister
	cfg       BudgetConfig

	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
	// Watches have their own backoff: if only watches fail, writes that keep keys
	// served must not be delayed.
	calls   backoffGate
	watches backoffGate
}

// NewBudget returns a budget for calls of the store and the list of VMs.
func NewBudget(store Store, directory VMLister, cfg BudgetConfig) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{
		store:     store,
		directory: directory,
		cfg:       cfg,
		reads:     rate.NewLimiter(rate.Limit(cfg.Reads.PerSecond), cfg.Reads.Burst),
		writes:    rate.NewLimiter(rate.Limit(cfg.Writes.PerSecond), cfg.Writes.Burst),
		calls:     backoffGate{backoff: cfg.Backoff, singleProbe: true},
		watches:   backoffGate{backoff: cfg.Backoff},
	}
}

// For returns a client whose calls have the priority. It implements Store and VMLister.
func (b *Budget) For(p Priority) *Budgeted { return &Budgeted{budget: b, priority: min(p, Rest)} }

// call makes one call if the budget allows it.
func (b *Budget) call(ctx context.Context, kind CallKind, p Priority, run func() error) error {
	started := b.cfg.Now()
	if err := b.admit(kind, p, started); err != nil {
		b.cfg.Observer.StoreCall(string(kind), refusalOutcome(err), 0)
		return err
	}
	err := run()
	ended := b.cfg.Now()
	b.recordOutcome(ctx, kind, started, ended, err)
	b.cfg.Observer.StoreCall(string(kind), Code(err), ended.Sub(started))
	return err
}

func refusalOutcome(err error) string {
	if errors.Is(err, errBackedOff) {
		return outcomeBackedOff
	}
	return Code(err)
}

// admit takes a token of the budget. The rate is checked first: a call that it refuses
// must not count as the probe that finds out whether the store has recovered.
func (b *Budget) admit(kind CallKind, p Priority, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiter(kind)
	reserve := reserves[p] * float64(limiter.Burst())
	if limiter.TokensAt(now) < 1+reserve {
		return ErrOverBudget
	}
	if !b.backoffGate(kind).admit(now) {
		return WithCause(ErrUnavailable, errBackedOff)
	}
	limiter.AllowN(now, 1)
	return nil
}

// recordOutcome updates the backoff after a call. Only a missing reply or a refusal counts as a
// failure; a conflict is a reply.
func (b *Budget) recordOutcome(ctx context.Context, kind CallKind, started, ended time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.backoffGate(kind)
	switch {
	case err == nil:
		g.succeeded(started)
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.abandoned(started)
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrUnknown):
		g.failed(ended, started, b.cfg.Random())
	case Code(err) == codeCancelled:
		g.abandoned(started)
	default:
		g.succeeded(started)
	}
}

func (b *Budget) limiter(kind CallKind) *rate.Limiter {
	if kind.Writes() {
		return b.writes
	}
	return b.reads
}

func (b *Budget) backoffGate(kind CallKind) *backoffGate {
	if kind == CallWatch {
		return &b.watches
	}
	return &b.calls
}
