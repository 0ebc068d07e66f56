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

// observed counts observations by kind and outcome.
type observed map[string]int

func (o observed) StoreCall(kind, outcome string, _ time.Duration) { o[kind+" "+outcome]++ }

// budgetBench is a budget over a stand-in with a clock moved by hand.
type budgetBench struct {
	now      time.Time
	platform *standin.Platform
	budget   *kv.Budget
	observed observed
}

func newBudgetBench(cfg kv.BudgetConfig) *budgetBench {
	b := &budgetBench{now: time.Unix(1000, 0), platform: standin.New(standin.Config{}), observed: observed{}}
	cfg.Now = func() time.Time { return b.now }
	cfg.Random = func() float64 { return 0.5 }
	cfg.Observer = b.observed
	c := b.platform.Client("a")
	b.budget = kv.NewBudget(c, c, cfg)
	return b
}

// get makes n calls of the priority and returns how many were let through.
func (b *budgetBench) get(p kv.Priority, n int) int {
	before := b.platform.Calls()[kv.CallGet]
	for range n {
		_, _ = b.budget.For(p).Get(context.Background(), "k")
	}
	return int(b.platform.Calls()[kv.CallGet] - before)
}

// Symptom: keys stay unserved while a listing of everything runs.
// Sequence: low-priority calls use up the budget, an ownership call is refused.
// Cause: one budget for all without reserves.
func TestFullBudgetServesOwnershipFirst(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{Reads: kv.Rate{PerSecond: 10, Burst: 40}})
	assert.Equal(t, b.get(kv.Rest, 100), 20)
	assert.Equal(t, b.get(kv.Configuration, 100), 10)
	assert.Equal(t, b.get(kv.Ownership, 100), 10)
	assert.Equal(t, b.get(kv.Ownership, 1), 0)
	b.now = b.now.Add(time.Second)
	assert.Equal(t, b.get(kv.Rest, 100), 0)
	assert.Equal(t, b.get(kv.Configuration, 100), 0)
	assert.Equal(t, b.get(kv.Ownership, 100), 10)
	b.now = b.now.Add(2 * time.Second)
	assert.Equal(t, b.get(kv.Rest, 100), 0)
	assert.Equal(t, b.get(kv.Configuration, 100), 10)
}

func TestWritesHaveABudgetOfTheirOwn(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{Reads: kv.Rate{PerSecond: 1, Burst: 1}})
	assert.Equal(t, b.get(kv.Ownership, 2), 1)
	s := b.budget.For(kv.Ownership)
	_, err := s.CompareAndSwap(context.Background(), "k", 0, nil)
	assert.NilError(t, err)
	_, err = s.Get(context.Background(), "k")
	assert.ErrorIs(t, err, kv.ErrOverBudget)
	assert.DeepEqual(t, b.observed, observed{"get not_found": 1, "get over_budget": 2, "cas ok": 1})
}

func TestFailuresKeepCallsBackUntilOneSucceeds(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{Backoff: kv.Backoff{Base: time.Second, Cap: 4 * time.Second}})
	b.platform.SetDown(true)
	assert.Equal(t, b.get(kv.Ownership, 10), 1)
	b.now = b.now.Add(500 * time.Millisecond)
	assert.Equal(t, b.get(kv.Ownership, 10), 1)
	b.now = b.now.Add(500 * time.Millisecond)
	assert.Equal(t, b.get(kv.Ownership, 10), 0)
	b.platform.SetDown(false)
	b.now = b.now.Add(500 * time.Millisecond)
	assert.Equal(t, b.get(kv.Ownership, 10), 10)
	assert.DeepEqual(t, b.observed, observed{"get unavailable": 2, "get backed_off": 28, "get not_found": 10})
}

// Symptom: ownership changes stop although the store takes writes.
// Sequence: the store drops watches and nothing else; each failed watch makes the
// router keep all calls back.
// Cause: one state of failure for watches and calls.
func TestBrokenWatchesDoNotKeepWritesBack(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{})
	b.platform.SetWatchFault(standin.WatchBroken)
	s := b.budget.For(kv.Ownership)
	_, _, err := s.Watch(context.Background(), "", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = s.CompareAndSwap(context.Background(), "k", 0, nil)
	assert.NilError(t, err)
	_, _, err = s.Watch(context.Background(), "", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	assert.Equal(t, b.observed["watch backed_off"], 1)
}

// Symptom: after an outage one prefix is watched and the others stay stale.
// Sequence: two watches fail, the wait ends, the first goes out and waits for a
// change that does not come; the second is kept back until it does.
// Cause: letting a single watch find out whether the store is back.
func TestWatchesDoNotWaitForEachOther(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{})
	s := b.budget.For(kv.Configuration)
	b.platform.SetWatchFault(standin.WatchBroken)
	_, _, err := s.Watch(context.Background(), "a/", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	b.platform.SetWatchFault(standin.WatchWorks)
	b.now = b.now.Add(time.Minute)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(ctx, "a/", 0)
		ended <- err
	}()
	waittest.Until(t, "the watch has gone out", func() bool { return b.platform.Calls()[kv.CallWatch] == 2 })
	_, err = b.platform.Client("b").CompareAndSwap(ctx, "b/1", 0, nil)
	assert.NilError(t, err)
	records, _, err := s.Watch(ctx, "b/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestBudgetPassesEveryCallOn(t *testing.T) {
	b := newBudgetBench(kv.BudgetConfig{})
	ctx, s := context.Background(), b.budget.For(kv.Rest)
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
	want := observed{}
	for _, kind := range kv.CallKinds() {
		want[string(kind)+" ok"] = 1
	}
	assert.DeepEqual(t, b.observed, want)
}
