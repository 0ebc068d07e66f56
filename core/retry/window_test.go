package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries of all routers together that exceed their bound in a window of ten
// seconds: after minutes of successes a target fails all requests, and each router spends
// saved tokens that, if each may save a whole burst, add up to more than the bound.
func TestSharedSavingsKeepEachWindowWithinItsBound(t *testing.T) {
	const routers, perSecond, window = 10, 200, 10
	const share, free = 0.2, 60.0
	budgets := make([]*WindowBudget, routers)
	for i := range budgets {
		budgets[i] = NewWindowBudget(WindowLimit{Share: share, Fixed: free, Window: window * time.Second})
		budgets[i].SetFraction(epoch, 1.0/routers)
	}
	now := epoch
	for i := range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		budgets[i%routers].Request()
	}
	retries := 0
	for i := range window * perSecond {
		now = now.Add(time.Second / perSecond)
		b := budgets[i%routers]
		b.Request()
		for b.Take(now) {
			retries++
		}
	}
	limit := int(share*window*perSecond + free)
	assert.Assert(t, retries <= limit, "%d retries, at most %d", retries, limit)
	assert.Assert(t, retries >= limit*3/4, "only %d retries, with a limit of %d", retries, limit)
}

// Guards against retries over the limit because tokens that come with time fill a bucket that requests have
// filled already.
func TestTokensOfBothKindsShareOneCapacity(t *testing.T) {
	const fixed = 60.0
	b := NewWindowBudget(WindowLimit{Share: 0.2, Fixed: fixed, Window: 10 * time.Second})
	b.SetFraction(epoch, 1)
	for range 1000 {
		b.Request()
	}
	now, saved := epoch.Add(time.Hour), 0
	for b.Take(now) {
		saved++
	}
	assert.Assert(t, saved <= fixed/2, "%d tokens saved", saved)
}

// Guards against a router whose start brings retries that the one before it has spent.
func TestStartedRouterHasNoTokens(t *testing.T) {
	b := NewWindowBudget(WindowLimit{Share: 0.2, Fixed: 60, Window: 10 * time.Second})
	assert.Assert(t, !b.Take(epoch))
	b.SetFraction(epoch, 1)
	assert.Assert(t, !b.Take(epoch))
	assert.Assert(t, b.Take(epoch.Add(time.Second)))
}

// Guards against tokens of a router without a part of the fixed number, which other routers may receive.
func TestRouterWithoutAFractionRetriesByItsRequestsOnly(t *testing.T) {
	b := NewWindowBudget(WindowLimit{Share: 0.2, Fixed: 60, Window: 10 * time.Second})
	b.SetFraction(epoch, 0.5)
	b.SetFraction(epoch.Add(time.Minute), 0)
	assert.Assert(t, !b.Take(epoch.Add(2*time.Minute)))
	for range 6 {
		b.Request()
	}
	assert.Assert(t, b.Take(epoch.Add(2*time.Minute)))
	assert.Assert(t, !b.Take(epoch.Add(2*time.Minute)))
}
