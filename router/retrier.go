package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragongw/core/retry"
)

// noRetries is the budget's share for a setting of zero.
const noRetries = -1

// retrier is the retry decision of one service, made safe for concurrent use.
type retrier struct {
	policy *retry.Policy

	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

func newRetrier(share float64, routers int) *retrier {
	if share <= 0 {
		share = noRetries
	}
	return &retrier{
		policy: retry.NewPolicy(retry.Config{}),
		budget: retry.NewBudget(retry.BudgetConfig{RetriesPerSuccess: share}, routers),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// success pays for further retries.
func (t *retrier) success() {
	t.mu.Lock()
	t.budget.Success()
	t.mu.Unlock()
}

// decide also takes the number of live routers, which share what the budget gives
// without any success.
func (t *retrier) decide(a retry.Attempt, routers int) retry.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.SetRouters(routers)
	return t.policy.Decide(time.Now(), a, t.budget, t.random)
}

// retrierOf returns the retrier of a service. Budgets are kept apart, so that a
// service that is down takes no retries from the others.
func (r *Router) retrierOf(service string) *retrier {
	if t, ok := r.retriers.Load(service); ok {
		return t.(*retrier)
	}
	t, _ := r.retriers.LoadOrStore(service, newRetrier(r.opts.Settings.Limits.RetryShare, r.members.count()))
	return t.(*retrier)
}
