package admit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"tarragongw/core/admission"
	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/internal/faulttest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inBubble runs test with a new gate in a synctest bubble. There synctest.Wait shows that
// the requests are queued, and a busy machine does not delay the timers.
func inBubble(t *testing.T, cfg admission.Config, test func(t *testing.T, g *Gate)) {
	synctest.Test(t, func(t *testing.T) {
		g := New(cfg)
		defer g.Close()
		test(t, g)
	})
}

func TestSlotsAreNotExceededByThousandCallers(t *testing.T) {
	const slots, callers, rounds = 6, 1000, 5
	inBubble(t, admission.Config{Slots: slots, QueueLength: callers, CallerShare: 1}, func(t *testing.T, g *Gate) {
		var working, highest, served, refused, cancelled atomic.Int64
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				for round := range rounds {
					ctx, cancel := context.WithCancel(context.Background())
					if (i+round)%10 == 0 {
						time.AfterFunc(time.Millisecond, cancel)
					}
					item := admission.Item{Caller: fmt.Sprint(i % 50), Class: request.Class(i % 2)}
					release, f := g.Acquire(ctx, item)
					switch {
					case f == nil:
						now := working.Add(1)
						for old := highest.Load(); now > old && !highest.CompareAndSwap(old, now); old = highest.Load() {
						}
						time.Sleep(50 * time.Microsecond)
						working.Add(-1)
						release(admission.Finished)
						release(admission.Finished)
						served.Add(1)
					case f.Kind == fault.CallerGone:
						cancelled.Add(1)
					default:
						refused.Add(1)
					}
					if f != nil && f.Ran != fault.NotRun {
						t.Errorf("%s without proof of not run", f)
					}
					cancel()
				}
			})
		}
		group.Wait()
		assert.Equal(t, served.Load()+refused.Load()+cancelled.Load(), int64(callers*rounds))
		assert.Equal(t, highest.Load(), int64(slots), "all slots were in use and never more")
		assert.Assert(t, served.Load() > callers, "served %d", served.Load())
		assert.Assert(t, cancelled.Load() > 0)
		stats := g.Stats()
		assert.Equal(t, stats.InFlight+stats.Held+stats.QueuedInteractive+stats.QueuedBatch, 0)
		assert.Equal(t, len(g.waiting), 0)
	})
}

func TestCancelledWaiterIsRemoved(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1}, func(t *testing.T, g *Gate) {
		release, f := g.Acquire(context.Background(), admission.Item{})
		assert.Assert(t, f == nil)
		ctx, cancel := context.WithCancel(context.Background())
		answer := make(chan *fault.Fault)
		go func() {
			_, f := g.Acquire(ctx, admission.Item{})
			answer <- f
		}()
		synctest.Wait()
		assert.Equal(t, g.Stats().QueuedInteractive, 1)
		cancel()
		gone := <-answer
		faulttest.Is(t, gone, fault.CallerGone, fault.NotRun)
		assert.Equal(t, g.Stats().QueuedInteractive, 0)
		release(admission.Finished)
		assert.Equal(t, g.Stats().InFlight, 0)
	})
}

// Guards against leaked slots, after which a target with free slots serves nothing: a
// waiter gets its slot at the moment at which its context is cancelled, and must return
// the slot.
func TestSlotGrantedOnCancellationIsReturned(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1}, func(t *testing.T, g *Gate) {
		for range 300 {
			release, f := g.Acquire(context.Background(), admission.Item{})
			assert.Assert(t, f == nil)
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() {
				if release, f := g.Acquire(ctx, admission.Item{}); f == nil {
					release(admission.Finished)
				}
			})
			synctest.Wait()
			assert.Equal(t, g.Stats().QueuedInteractive, 1)
			group.Go(cancel)
			release(admission.Finished)
			group.Wait()
			assert.Equal(t, g.Stats().InFlight, 0)
		}
	})
}

func TestTimerRefusesWaiterWithUnmeetableDeadline(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1, InitialService: time.Millisecond}, func(t *testing.T, g *Gate) {
		release, f := g.Acquire(context.Background(), admission.Item{})
		assert.Assert(t, f == nil)
		defer release(admission.Finished)
		_, late := g.Acquire(context.Background(), admission.Item{Deadline: time.Now().Add(50 * time.Millisecond)})
		faulttest.Is(t, late, fault.DeadlineUnmeetable, fault.NotRun)
		assert.Assert(t, late.RetryAfter > 0)
	})
}

func TestTimerStartsWaiterWhenHoldEnds(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1, HoldUnknown: 20 * time.Millisecond}, func(t *testing.T, g *Gate) {
		release, _ := g.Acquire(context.Background(), admission.Item{})
		release(admission.Unknown)
		release, f := g.Acquire(context.Background(), admission.Item{})
		assert.Assert(t, f == nil)
		release(admission.Finished)
	})
}

func TestHeldSlotsBecomeFree(t *testing.T) {
	inBubble(t, admission.Config{Slots: 2}, func(t *testing.T, g *Gate) {
		g.Hold(20*time.Millisecond, 2)
		assert.Equal(t, g.Stats().Held, 2)
		release, f := g.Acquire(context.Background(), admission.Item{})
		assert.Assert(t, f == nil)
		release(admission.Finished)
	})
}

func TestDrainAnswersWaitersAndResumeAdmits(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1}, func(t *testing.T, g *Gate) {
		release, _ := g.Acquire(context.Background(), admission.Item{})
		answer := make(chan *fault.Fault)
		go func() {
			_, f := g.Acquire(context.Background(), admission.Item{Class: request.Batch})
			answer <- f
		}()
		synctest.Wait()
		assert.Equal(t, g.Stats().QueuedBatch, 1)
		g.Drain(fault.Moving)
		f := <-answer
		faulttest.Is(t, f, fault.Moving, fault.NotRun)
		_, f = g.Acquire(context.Background(), admission.Item{})
		assert.Equal(t, f.Kind, fault.Moving)
		assert.Equal(t, g.Stats().InFlight, 1, "work in flight goes on")
		release(admission.Finished)
		g.Resume()
		release, f = g.Acquire(context.Background(), admission.Item{})
		assert.Assert(t, f == nil)
		release(admission.Finished)
	})
}

func TestEndedContextIsRefusedWithoutSlot(t *testing.T) {
	inBubble(t, admission.Config{Slots: 1}, func(t *testing.T, g *Gate) {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
		defer cancel()
		_, f := g.Acquire(ctx, admission.Item{})
		assert.Equal(t, f.Kind, fault.DeadlineUnmeetable)
		assert.Equal(t, g.Stats().InFlight, 0)
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	g := New(admission.Config{Slots: 6})
	defer g.Close()
	item := admission.Item{Caller: "stall-7", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		release, _ := g.Acquire(context.Background(), item)
		release(admission.Finished)
	}
}
