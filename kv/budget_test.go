package kv_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/kv/standin"
	"tarragongw/telemetry"
)

var _ kv.Observer = (*telemetry.Telemetry)(nil)

// counts has the number of observations by kind of call and outcome.
type counts map[string]int

func (c counts) StoreCall(kind, outcome string, _ time.Duration) { c[kind+" "+outcome]++ }

// budgetFixture is a budget for a stand-in platform, with a manual clock.
type budgetFixture struct {
	now      time.Time
	platform *standin.Platform
	budget   *kv.Budget
	counts   counts
}

func newBudgetFixture(cfg kv.BudgetConfig) *budgetFixture {
	f := &budgetFixture{now: time.Unix(1000, 0), platform: standin.New(standin.Config{}), counts: counts{}}
	cfg.Now = func() time.Time { return f.now }
	cfg.Random = func() float64 { return 0.5 }
	cfg.Observer = f.counts
	c := f.platform.Client("a")
	f.budget = kv.NewBudget(c, c, cfg)
	return f
}

// get makes n calls of the priority and returns how many were sent.
func (f *budgetFixture) get(p kv.Priority, n int) int {
	before := f.platform.Calls()[kv.CallGet]
	for range n {
		_, _ = f.budget.For(p).Get(context.Background(), "k")
	}
	return int(f.platform.Calls()[kv.CallGet] - before)
}

// Guards against keys that stay unserved while everything is listed: without reserves, calls of
// low priority use up the budget and ownership calls are refused.
func TestExhaustedBudgetServesOwnershipFirst(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{Reads: kv.Rate{PerSecond: 10, Burst: 40}})
	assert.Equal(t, f.get(kv.Rest, 100), 20)
	assert.Equal(t, f.get(kv.Configuration, 100), 10)
	assert.Equal(t, f.get(kv.Ownership, 100), 10)
	assert.Equal(t, f.get(kv.Ownership, 1), 0)
	f.now = f.now.Add(time.Second)
	assert.Equal(t, f.get(kv.Rest, 100), 0)
	assert.Equal(t, f.get(kv.Configuration, 100), 0)
	assert.Equal(t, f.get(kv.Ownership, 100), 10)
	f.now = f.now.Add(2 * time.Second)
	assert.Equal(t, f.get(kv.Rest, 100), 0)
	assert.Equal(t, f.get(kv.Configuration, 100), 10)
}

func TestWritesHaveTheirOwnBudget(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{Reads: kv.Rate{PerSecond: 1, Burst: 1}})
	assert.Equal(t, f.get(kv.Ownership, 2), 1)
	s := f.budget.For(kv.Ownership)
	_, err := s.CompareAndSwap(context.Background(), "k", 0, nil)
	assert.NilError(t, err)
	_, err = s.Get(context.Background(), "k")
	assert.ErrorIs(t, err, kv.ErrOverBudget)
	assert.DeepEqual(t, f.counts, counts{"get not_found": 1, "get over_budget": 2, "cas ok": 1})
}

func TestCallsBackOffAfterFailuresUntilOneSucceeds(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{Backoff: kv.Backoff{Base: time.Second, Cap: 4 * time.Second}})
	f.platform.SetDown(true)
	assert.Equal(t, f.get(kv.Ownership, 10), 1)
	f.now = f.now.Add(500 * time.Millisecond)
	assert.Equal(t, f.get(kv.Ownership, 10), 1)
	f.now = f.now.Add(500 * time.Millisecond)
	assert.Equal(t, f.get(kv.Ownership, 10), 0)
	f.platform.SetDown(false)
	f.now = f.now.Add(500 * time.Millisecond)
	assert.Equal(t, f.get(kv.Ownership, 10), 10)
	assert.DeepEqual(t, f.counts, counts{"get unavailable": 2, "get backed_off": 28, "get not_found": 10})
}

// Guards against ownership changes that stop although the store accepts writes: only watches fail,
// and if watches and calls share one backoff, each failed watch delays all calls.
func TestBrokenWatchesDoNotDelayWrites(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{})
	f.platform.SetWatchFault(standin.WatchBroken)
	s := f.budget.For(kv.Ownership)
	_, _, err := s.Watch(context.Background(), "", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = s.CompareAndSwap(context.Background(), "k", 0, nil)
	assert.NilError(t, err)
	_, _, err = s.Watch(context.Background(), "", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	assert.Equal(t, f.counts["watch backed_off"], 1)
}

// Guards against prefixes that stay stale after an outage: two watches fail, and after the backoff
// the first is sent and waits for a change. If a single watch had to succeed first, the second
// would not be sent until that change happens.
func TestWatchesDoNotWaitForEachOther(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{})
	s := f.budget.For(kv.Configuration)
	f.platform.SetWatchFault(standin.WatchBroken)
	_, _, err := s.Watch(context.Background(), "a/", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	f.platform.SetWatchFault(standin.WatchWorks)
	f.now = f.now.Add(time.Minute)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(ctx, "a/", 0)
		ended <- err
	}()
	waittest.Until(t, "the watch has been sent", func() bool { return f.platform.Calls()[kv.CallWatch] == 2 })
	_, err = f.platform.Client("b").CompareAndSwap(ctx, "b/1", 0, nil)
	assert.NilError(t, err)
	records, _, err := s.Watch(ctx, "b/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestBudgetForwardsEveryCall(t *testing.T) {
	f := newBudgetFixture(kv.BudgetConfig{})
	ctx, s := context.Background(), f.budget.For(kv.Rest)
	revision, err := s.CompareAndSwap(ctx, "k", 0, []byte("v"))
	assert.NilError(t, err)
	record, err := s.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, record.Revision, revision)
	records, _, err := s.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	records, since, err := s.Watch(ctx, "", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, since, revision)
	lease, err := s.Acquire(ctx, "duty", "a", time.Minute)
	assert.NilError(t, err)
	lease, err = s.Renew(ctx, lease)
	assert.NilError(t, err)
	assert.NilError(t, s.Release(ctx, lease))
	_, err = s.VMs(ctx)
	assert.NilError(t, err)
	want := counts{}
	for _, kind := range kv.CallKinds() {
		want[string(kind)+" ok"] = 1
	}
	assert.DeepEqual(t, f.counts, want)
}
