package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

var epoch = time.Unix(1_000_000, 0)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// retryable is listed here instead of read from the table of kinds, so that a change of
// the table fails the test until it is made here too.
var retryable = map[fault.Kind]bool{
	fault.NotReady: true, fault.Stopping: true, fault.Moving: true, fault.StaleRoute: true,
	fault.TargetUnreachable: true, fault.TargetRefused: true, fault.TargetLost: true,
	fault.PeerLost: true,
}

func TestEveryKindByRanAndRepeatable(t *testing.T) {
	policy := NewPolicy(Config{})
	for _, kind := range fault.Kinds() {
		for _, ran := range []fault.Ran{fault.RanUnknown, fault.NotRun, fault.RanFully} {
			for _, repeatable := range []bool{false, true} {
				budget := NewBudget(BudgetConfig{}, 1)
				f := &fault.Fault{Kind: kind, Ran: ran}
				got := policy.Decide(epoch, Attempt{Number: 1, Repeatable: repeatable, Fault: f}, budget, newRandom())
				safe := ran == fault.NotRun || (ran == fault.RanUnknown && repeatable)
				want := retryable[kind] && safe
				assert.Equal(t, got.Retry, want, "%s ran=%s repeatable=%v: %s", kind, ran, repeatable, got.Reason)
				assert.Equal(t, got.Retry, got.Reason == Allowed)
			}
		}
	}
}

func TestStopsAtAttemptsDeadlineAndBudget(t *testing.T) {
	refused := &fault.Fault{Kind: fault.TargetRefused, Ran: fault.NotRun}
	advised := &fault.Fault{Kind: fault.TargetRefused, Ran: fault.NotRun, RetryAfter: 300 * time.Millisecond}
	spent := NewBudget(BudgetConfig{Burst: 1}, 1)
	assert.Assert(t, spent.Take(epoch))
	cases := []struct {
		name   string
		a      Attempt
		budget *Budget
		want   Reason
	}{
		{"first", Attempt{Number: 1, Fault: refused}, nil, Allowed},
		{"last allowed", Attempt{Number: 2, Fault: refused}, nil, Allowed},
		{"too many", Attempt{Number: 3, Fault: refused}, nil, TooManyAttempts},
		{"fits", Attempt{Number: 1, Fault: refused, Deadline: epoch.Add(time.Second), EstimatedService: 900 * time.Millisecond}, nil, Allowed},
		{"service does not fit", Attempt{Number: 1, Fault: refused, Deadline: epoch.Add(time.Second), EstimatedService: 1001 * time.Millisecond}, nil, NoTime},
		{"advised wait does not fit", Attempt{Number: 1, Fault: advised, Deadline: epoch.Add(200 * time.Millisecond)}, nil, NoTime},
		{"deadline passed", Attempt{Number: 1, Fault: refused, Deadline: epoch.Add(-time.Second)}, nil, NoTime},
		{"budget spent", Attempt{Number: 1, Fault: refused}, spent, BudgetSpent},
	}
	for _, c := range cases {
		budget := c.budget
		if budget == nil {
			budget = NewBudget(BudgetConfig{}, 1)
		}
		got := NewPolicy(Config{}).Decide(epoch, c.a, budget, newRandom())
		assert.Equal(t, got.Reason, c.want, c.name)
	}
}

func TestRefusedRetriesCostNoToken(t *testing.T) {
	budget := NewBudget(BudgetConfig{Burst: 1}, 1)
	late := Attempt{Number: 1, Fault: &fault.Fault{Kind: fault.Moving, Ran: fault.NotRun}, Deadline: epoch.Add(-1)}
	for range 10 {
		assert.Equal(t, NewPolicy(Config{}).Decide(epoch, late, budget, newRandom()).Reason, NoTime)
	}
	assert.Assert(t, budget.Take(epoch))
	assert.Assert(t, !budget.Take(epoch))
}

func TestBackoffIsJitteredWithinDoublingBound(t *testing.T) {
	policy := NewPolicy(Config{MaxAttempts: 100, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 40 * time.Millisecond})
	random := newRandom()
	bounds := []time.Duration{10, 20, 40, 40}
	for i, bound := range bounds {
		bound *= time.Millisecond
		low, high := bound, time.Duration(0)
		for range 1000 {
			a := Attempt{Number: i + 1, Fault: &fault.Fault{Kind: fault.Moving, Ran: fault.NotRun}}
			wait := policy.backoff(a, random)
			low, high = min(low, wait), max(high, wait)
		}
		assert.Assert(t, high <= bound && high > bound*9/10, "attempt %d: highest %s", i+1, high)
		assert.Assert(t, low < bound/10, "attempt %d: lowest %s", i+1, low)
	}
}

func TestSameSeedSameDecisions(t *testing.T) {
	run := func() (waits []time.Duration) {
		policy, budget, random := NewPolicy(Config{}), NewBudget(BudgetConfig{}, 1), newRandom()
		for range 50 {
			a := Attempt{Number: 1, Fault: &fault.Fault{Kind: fault.StaleRoute, Ran: fault.NotRun}}
			waits = append(waits, policy.Decide(epoch, a, budget, random).After)
		}
		return waits
	}
	assert.DeepEqual(t, run(), run())
}

// Guards against a retry storm: after a 60 s outage of the store, at 1000 requests a second
// with up to three attempts each, the load stayed at a multiple of its normal level for
// minutes, because retries were bounded for each request but not in total.
func TestRetryStormIsBoundedByShareOfSuccess(t *testing.T) {
	policy, random := NewPolicy(Config{}), newRandom()
	budget := NewBudget(BudgetConfig{RetriesPerSuccess: 0.1, Burst: 20, MinPerSecond: 1}, 1)
	failed := Attempt{Number: 1, Fault: &fault.Fault{Kind: fault.TargetUnreachable, Ran: fault.NotRun}}
	retries := func(from time.Time, seconds int, outage bool) int {
		n := 0
		for i := range seconds * 1000 {
			now := from.Add(time.Duration(i) * time.Millisecond)
			if !outage && i%5 != 0 {
				budget.Success()
				continue
			}
			if policy.Decide(now, failed, budget, random).Retry {
				n++
			}
		}
		return n
	}
	during := retries(epoch, 60, true)
	assert.Assert(t, during >= 60 && during <= 20+60+1, "%d retries of 60000 requests during the outage", during)
	after := retries(epoch.Add(time.Minute), 10, false)
	assert.Assert(t, after >= 790 && after <= 20+800+11, "%d retries after the outage, with 8000 successes and 2000 failures", after)
}

// Guards against retries that exceed the load of a small service: with 20 requests a second
// through 12 routers, all failing for 60 s, each router had a minimum rate and a burst of its
// own, which added up.
func TestRetriesOfAllRoutersTogetherAreBounded(t *testing.T) {
	const requests, seconds = 20, 60
	cfg := BudgetConfig{RetriesPerSuccess: 0.1, Burst: 20, MinPerSecond: 1}
	for _, routers := range []int{1, 12, 40} {
		budgets := make([]*Budget, routers)
		for i := range budgets {
			// A router starts without knowing of the others.
			budgets[i] = NewBudget(cfg, 1)
			budgets[i].SetRouters(routers)
		}
		// A router that was idle must not have saved more than its share.
		now := epoch.Add(time.Hour)
		retries := 0
		for i := range requests * seconds {
			now = now.Add(time.Second / requests)
			if budgets[i%routers].Take(now) {
				retries++
			}
		}
		limit := max(int(cfg.Burst), routers) + seconds
		assert.Assert(t, retries <= limit, "%d routers: %d retries of %d requests, limit %d", routers, retries, requests*seconds, limit)
		assert.Assert(t, retries >= seconds/2, "%d routers: %d retries", routers, retries)
		for i := range 100 * routers {
			budgets[i%routers].Success()
		}
		afterSuccesses := 0
		for _, b := range budgets {
			for b.Take(now) {
				afterSuccesses++
			}
		}
		assert.Assert(t, afterSuccesses >= 9*routers && afterSuccesses <= 10*routers+limit, "%d routers: %d retries for %d successes", routers, afterSuccesses, 100*routers)
	}
}

func TestSingleRequestCanBeRetriedThroughAnyRouter(t *testing.T) {
	assert.Assert(t, NewBudget(BudgetConfig{}, 5600).Take(epoch))
}

func TestNegativeShareAllowsNoRetry(t *testing.T) {
	b := NewBudget(BudgetConfig{RetriesPerSuccess: -1}, 1)
	for i := range 100 {
		b.Success()
		assert.Assert(t, !b.Take(epoch.Add(time.Duration(i)*time.Second)))
	}
}

// Guards against a burst of retries that grows with each start of a router.
func TestStartedRouterHoldsOneRetry(t *testing.T) {
	b := NewBudget(BudgetConfig{Burst: 20}, 1)
	assert.Assert(t, b.Take(epoch))
	assert.Assert(t, !b.Take(epoch))
}
