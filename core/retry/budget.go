package retry

import "time"

// Defaults of BudgetConfig.
const (
	DefaultRetriesPerSuccess = 0.1
	DefaultBurst             = 20
	DefaultMinPerSecond      = 1
)

// BudgetConfig bounds the retries of one service across all routers. The zero value
// of a field means its default.
type BudgetConfig struct {
	// RetriesPerSuccess is the number of retry tokens that each success adds; a negative share
	// allows no retries at all.
	RetriesPerSuccess float64
	// Burst is the capacity of a router's token bucket, in retries. It also bounds the
	// tokens that all routers together can hold without any success, except that each
	// router can always hold one.
	Burst float64
	// MinPerSecond is the rate at which all routers together receive tokens without any
	// success, so that a service with little load can retry too.
	MinPerSecond float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.RetriesPerSuccess < 0 {
		return BudgetConfig{}
	}
	if c.RetriesPerSuccess == 0 {
		c.RetriesPerSuccess = DefaultRetriesPerSuccess
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.MinPerSecond <= 0 {
		c.MinPerSecond = DefaultMinPerSecond
	}
	return c
}

// Budget is one router's token bucket for one service, filled by successful requests. It
// bounds retries to a share of the successes: when a target or the store is down, nothing
// succeeds, and without the bound each router would multiply the load just when there
// is least capacity. Such a retry storm shows in the metrics as a number of attempts per
// request that rises with the error rate.
//
// The tokens that are added over time, without any success, are divided by the number of
// routers. If each router had the whole rate, retries would grow with the number of
// routers and not with the load: twelve routers would send twelve retries a second to a
// service that receives twenty requests a second.
type Budget struct {
	cfg BudgetConfig
	// routers is the number of live routers that share the tokens added over time.
	routers float64
	// timeTokens are the tokens added over time, successTokens those added by successes.
	timeTokens, successTokens float64
	// lastRefill is when timeTokens were last refilled.
	lastRefill time.Time
	// taken and denied count the retries that Take allowed and refused.
	taken  uint64
	denied uint64
}

// NewBudget returns the bucket of one of several live routers. It holds one token: a single request must be
// retryable through whichever router it arrives. With its share of the burst, each start of a router would
// add to what the routers may send at once.
func NewBudget(cfg BudgetConfig, routers int) *Budget {
	b := &Budget{cfg: cfg.withDefaults()}
	b.SetRouters(routers)
	b.timeTokens = min(b.maxTimeTokens(), 1)
	return b
}

// SetRouters sets the current number of live routers, including this one.
func (b *Budget) SetRouters(n int) {
	b.routers = float64(max(n, 1))
	b.timeTokens = min(b.timeTokens, b.maxTimeTokens())
}

// maxTimeTokens is this router's share of the burst, but at least one retry: a single
// request must be retryable through whichever router it arrives.
func (b *Budget) maxTimeTokens() float64 {
	return min(max(b.cfg.Burst/b.routers, 1), b.cfg.Burst)
}

// Success adds the tokens of one request that was answered.
func (b *Budget) Success() {
	b.successTokens = max(min(b.successTokens+b.cfg.RetriesPerSuccess, b.cfg.Burst-b.timeTokens), b.successTokens)
}

// Take removes the token for one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.timeTokens+b.successTokens < 1 {
		b.denied++
		return false
	}
	fromTime := min(b.timeTokens, 1)
	b.timeTokens -= fromTime
	b.successTokens -= 1 - fromTime
	b.taken++
	return true
}

// refill adds the tokens for the time since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		added := now.Sub(b.lastRefill).Seconds() * b.cfg.MinPerSecond / b.routers
		b.timeTokens = min(b.timeTokens+added, b.maxTimeTokens())
	}
	if b.lastRefill.IsZero() || now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

// Counts returns how many retries Take allowed and how many it denied.
func (b *Budget) Counts() (taken, denied uint64) { return b.taken, b.denied }
