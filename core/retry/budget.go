package retry

import "time"

// Defaults of BudgetConfig.
const (
	DefaultShare        = 0.1
	DefaultBurst        = 20
	DefaultMinPerSecond = 1
)

// BudgetConfig bounds the retries of one service over all routers. The zero value
// of a field means its default.
type BudgetConfig struct {
	// Share is the number of retries that each success pays for; a negative share
	// allows no retries at all.
	Share float64
	// Burst bounds what a router can save up, in retries. It is also what all routers
	// together may have at once without any success, but for one a router.
	Burst float64
	// Shared divides also what successes pay for among the routers: what they save up
	// together is then bounded by Burst, whatever their number. Without it each may save a
	// Burst of its own, which they spend at one moment when a target fails.
	Shared bool
	// MinPerSecond is given to all routers together without any success, so that a
	// service with little load can retry too.
	MinPerSecond float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Share < 0 {
		return BudgetConfig{}
	}
	if c.Share == 0 {
		c.Share = DefaultShare
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.MinPerSecond <= 0 {
		c.MinPerSecond = DefaultMinPerSecond
	}
	return c
}

// Budget is one router's token bucket for one service, which successes fill. It
// bounds retries to a share of what works: when a target or the store is out, nothing
// succeeds, and without the bound each router would multiply the load just when there
// is least capacity. One notices such a storm as attempts per request that rise with
// the error rate.
//
// What is given without any success is divided by the number of routers. Were it each
// router's own, it would grow with the fleet and not with the load: twelve routers
// would put twelve retries a second on a service that has twenty requests.
type Budget struct {
	cfg BudgetConfig
	// routers is the number of live routers that share what is given.
	routers float64
	// given and earned are the tokens that time and successes brought.
	given, earned float64
	last          time.Time
	taken         uint64
	denied        uint64
}

// NewBudget returns the bucket of one of a number of live routers, with its part of
// what is given.
func NewBudget(cfg BudgetConfig, routers int) *Budget {
	b := &Budget{cfg: cfg.withDefaults()}
	b.SetRouters(routers)
	b.given = b.maxGiven()
	return b
}

// SetRouters tells the present number of live routers, this one included.
func (b *Budget) SetRouters(n int) {
	b.routers = float64(max(n, 1))
	b.given = min(b.given, b.maxGiven())
}

// maxGiven is this router's part of the burst, but at least one retry: a lone request
// must be able to be retried wherever it enters.
func (b *Budget) maxGiven() float64 {
	return min(max(b.cfg.Burst/b.routers, 1), b.cfg.Burst)
}

// Success pays in for one request that was answered.
func (b *Budget) Success() {
	most := b.cfg.Burst
	if b.cfg.Shared {
		most = b.maxGiven()
	}
	b.earned = max(min(b.earned+b.cfg.Share, most-b.given), b.earned)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.giveUntil(now)
	if b.given+b.earned < 1 {
		b.denied++
		return false
	}
	fromGiven := min(b.given, 1)
	b.given -= fromGiven
	b.earned -= 1 - fromGiven
	b.taken++
	return true
}

// giveUntil adds what time has brought since the last call.
func (b *Budget) giveUntil(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		more := now.Sub(b.last).Seconds() * b.cfg.MinPerSecond / b.routers
		b.given = min(b.given+more, b.maxGiven())
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
}

// Counts returns how many retries were taken and denied.
func (b *Budget) Counts() (taken, denied uint64) { return b.taken, b.denied }
