package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

const ms = time.Millisecond

// fill admits n items with consecutive ids from first, each of which must get a slot.
func fill(t *testing.T, g *Gate, first ID, n int) {
	t.Helper()
	for i := range n {
		d := g.Offer(epoch, Item{ID: first + ID(i), Caller: "filler"})
		assert.Equal(t, d.Verdict, Admit)
	}
}

func TestSlotsAreExactAndReused(t *testing.T) {
	g := New(Config{Slots: 3})
	fill(t, g, 1, 3)
	assert.Equal(t, g.Offer(epoch, Item{ID: 4}).Verdict, Queue)
	assert.DeepEqual(t, g.Done(at(ms), 1, Finished, ms).Start, []ID{4})
	assert.Equal(t, len(g.Done(at(ms), 1, Finished, ms).Start), 0, "a second end of the same item frees nothing")
	assert.Equal(t, g.Offer(at(ms), Item{ID: 5}).Verdict, Queue)
	assert.Equal(t, g.Stats(at(ms)).InFlight, 3)
}

func TestSameIDTwiceIsRefused(t *testing.T) {
	g := New(Config{Slots: 1})
	fill(t, g, 1, 1)
	assert.Equal(t, g.Offer(epoch, Item{ID: 1}).Kind, fault.Internal)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2}).Verdict, Queue)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2}).Kind, fault.Internal)
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	g := New(Config{Slots: 1, InitialService: 100 * ms, DeadlineShare: 1})
	expired := g.Offer(epoch, Item{ID: 9, Deadline: at(-ms)})
	assert.Equal(t, expired.Kind, fault.DeadlineUnmeetable)
	fill(t, g, 1, 1)
	deadline := at(350 * ms)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2, Deadline: deadline}).Verdict, Queue, "waits 100, works 100")
	assert.Equal(t, g.Offer(epoch, Item{ID: 3, Deadline: deadline}).Verdict, Queue, "waits 200, works 100")
	late := g.Offer(epoch, Item{ID: 4, Deadline: deadline})
	assert.Equal(t, late.Verdict, Refuse)
	assert.Equal(t, late.Kind, fault.DeadlineUnmeetable)
	assert.Equal(t, late.RetryAfter, 50*ms, "waits 300, works 100, too late by 50")
}

func TestWaitingItemIsRefusedOnceDeadlineIsUnmeetable(t *testing.T) {
	g := New(Config{Slots: 1, InitialService: 100 * ms, DeadlineShare: 1})
	fill(t, g, 1, 1)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2, Deadline: at(300 * ms)}).Verdict, Queue)
	assert.Equal(t, g.NextWake(), at(200*ms))
	assert.Equal(t, len(g.Expire(at(199*ms)).Refuse), 0)
	refused := g.Expire(at(200 * ms)).Refuse
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, ID(2))
	assert.Equal(t, refused[0].Kind, fault.DeadlineUnmeetable)
	assert.Assert(t, g.NextWake().IsZero())
}

func TestQueueIsBoundedAndRetryAfterIsDrainTime(t *testing.T) {
	g := New(Config{Slots: 2, QueueLength: 40, CallerShare: 1, InitialService: 100 * ms})
	fill(t, g, 1, 2)
	for i := range 40 {
		d := g.Offer(epoch, Item{ID: ID(10 + i), Caller: fmt.Sprint(i)})
		assert.Equal(t, d.Verdict, Queue)
	}
	d := g.Offer(epoch, Item{ID: 99, Caller: "new"})
	assert.Equal(t, d.Kind, fault.QueueFull)
	assert.Equal(t, d.RetryAfter, 21*100*ms/2, "half the queue and one more at 20 a second")
	assert.Equal(t, g.Offer(epoch, Item{ID: 99, Class: request.Batch}).Verdict, Queue, "batch has its own bound")
}

func TestOneCallerLeavesRoomForOthers(t *testing.T) {
	g := New(Config{Slots: 1, QueueLength: 30, CallerShare: 0.5})
	fill(t, g, 1, 1)
	queued := 0
	for i := range 100 {
		d := g.Offer(epoch, Item{ID: ID(100 + i), Caller: "flood"})
		if d.Verdict == Queue {
			queued++
			continue
		}
		assert.Equal(t, d.Kind, fault.CallerLimit)
		assert.Assert(t, d.RetryAfter > 0)
	}
	assert.Equal(t, queued, 10, "x = (30-x)/2")
	assert.Equal(t, g.Offer(epoch, Item{ID: 2, Caller: "light"}).Verdict, Queue)
}

func TestCancelRemovesOnlyWaitingItems(t *testing.T) {
	g := New(Config{Slots: 1})
	fill(t, g, 1, 1)
	g.Offer(epoch, Item{ID: 2, Deadline: at(time.Hour)})
	g.Offer(epoch, Item{ID: 3})
	assert.Assert(t, !g.Cancel(epoch, 1))
	assert.Assert(t, g.Cancel(epoch, 2))
	assert.Assert(t, !g.Cancel(epoch, 2))
	assert.Assert(t, g.NextWake().IsZero())
	assert.DeepEqual(t, g.Done(epoch, 1, Finished, ms).Start, []ID{3})
}

func TestDrainRefusesWaitingItemsAndLetsWorkEnd(t *testing.T) {
	g := New(Config{Slots: 1})
	fill(t, g, 1, 1)
	g.Offer(epoch, Item{ID: 2})
	g.Offer(epoch, Item{ID: 3, Class: request.Batch, Deadline: at(time.Hour)})
	refused := g.Drain(epoch, fault.Moving).Refuse
	assert.DeepEqual(t, refused, []Refusal{{ID: 2, Kind: fault.Moving}, {ID: 3, Kind: fault.Moving}})
	assert.Equal(t, g.Offer(epoch, Item{ID: 4}).Kind, fault.Moving)
	assert.Equal(t, g.Stats(epoch).InFlight, 1)
	g.Done(at(ms), 1, Finished, ms)
	assert.Equal(t, g.Stats(epoch).InFlight, 0)
	g.Resume()
	assert.Equal(t, g.Offer(at(ms), Item{ID: 4}).Verdict, Admit)
}

func TestLoweredSlotsWaitForWorkInFlight(t *testing.T) {
	g := New(Config{Slots: 3})
	fill(t, g, 1, 3)
	g.Offer(epoch, Item{ID: 4})
	assert.Equal(t, len(g.SetSlots(epoch, 1).Start), 0)
	assert.Equal(t, len(g.Done(epoch, 1, Finished, ms).Start), 0)
	assert.Equal(t, len(g.Done(epoch, 2, Finished, ms).Start), 0)
	assert.DeepEqual(t, g.Done(epoch, 3, Finished, ms).Start, []ID{4})
	g.Offer(epoch, Item{ID: 5})
	assert.DeepEqual(t, g.SetSlots(epoch, 2).Start, []ID{5})
}

// Guards against overloading a target: after a progress timeout the router can't know
// whether the target is still working on the request. If it reused the slot at once, a
// target with 3 slots would work on 4 requests.
func TestSlotOfUnknownOutcomeIsHeld(t *testing.T) {
	g := New(Config{Slots: 1, InitialService: 100 * ms, HoldUnknown: time.Second})
	fill(t, g, 1, 1)
	g.Offer(epoch, Item{ID: 2})
	assert.Equal(t, len(g.Done(at(50*ms), 1, Unknown, 50*ms).Start), 0)
	assert.Equal(t, g.Offer(at(60*ms), Item{ID: 3}).Verdict, Queue)
	assert.Equal(t, g.NextWake(), at(150*ms))
	assert.Equal(t, g.Offer(at(151*ms), Item{ID: 4}).Verdict, Queue, "behind the waiting items")
	assert.Equal(t, g.NextWake(), at(150*ms), "the wake-up is still due")
	assert.DeepEqual(t, g.Expire(at(151*ms)).Start, []ID{2})
}

// Guards against a target that gets no work after it was suspended for a minute: all of
// its requests timed out, so the estimated service time exceeds every deadline. If the
// estimate could refuse work while a slot is free, nothing would finish to correct it.
func TestEstimateFromSuspendedTargetDoesNotBlockIt(t *testing.T) {
	g := New(Config{Slots: 2, InitialService: 10 * ms})
	now := epoch
	id := ID(0)
	for range 20 {
		id++
		if g.Offer(now, Item{ID: id, Deadline: now.Add(time.Second)}).Verdict == Admit {
			now = now.Add(time.Second)
			g.Done(now, id, Unknown, time.Second)
		}
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, g.Stats(now).ServiceInteractive > 500*ms)
	for i := range 40 {
		id++
		assert.Equal(t, g.Offer(now, Item{ID: id, Deadline: now.Add(200 * ms)}).Verdict, Admit, "after %d", i)
		now = now.Add(10 * ms)
		g.Done(now, id, Finished, 10*ms)
	}
	assert.Assert(t, g.Stats(now).ServiceInteractive < 50*ms)
}

func TestBatchLeavesHeadroomWhileInteractiveIsRecent(t *testing.T) {
	g := New(Config{Slots: 3, BatchHeadroom: 1, InteractiveWindow: 100 * ms})
	assert.Equal(t, g.Offer(epoch, Item{ID: 1}).Verdict, Admit)
	g.Done(at(ms), 1, Finished, ms)
	for id := ID(10); id < 12; id++ {
		assert.Equal(t, g.Offer(at(ms), Item{ID: id, Class: request.Batch}).Verdict, Admit)
	}
	assert.Equal(t, g.Offer(at(ms), Item{ID: 12, Class: request.Batch}).Verdict, Queue)
	assert.Equal(t, g.NextWake(), at(100*ms), "when interactive work is no longer recent")
	assert.DeepEqual(t, g.Expire(at(100*ms)).Start, []ID{12})
	assert.Assert(t, g.NextWake().IsZero())
}

func TestHeadroomDoesNotBlockBatchWithOneSlot(t *testing.T) {
	g := New(Config{Slots: 1, BatchHeadroom: 5})
	fill(t, g, 1, 1)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2, Class: request.Batch}).Verdict, Queue)
	assert.DeepEqual(t, g.Done(epoch, 1, Finished, ms).Start, []ID{2})
}

func TestExpectedWaitIsLimitedToDeadlineShare(t *testing.T) {
	g := New(Config{Slots: 1, InitialService: 100 * ms, DeadlineShare: 0.5})
	fill(t, g, 1, 1)
	assert.Equal(t, g.Offer(epoch, Item{ID: 2, Deadline: at(400 * ms)}).Verdict, Queue, "waits 100, works 100 of 400")
	late := g.Offer(epoch, Item{ID: 3, Deadline: at(400 * ms)})
	assert.Equal(t, late.Kind, fault.DeadlineUnmeetable)
	assert.Equal(t, late.RetryAfter, 100*ms, "waits 200, works 100 of 200 allowed")
}

// Guards against slow interactive requests beside long batch jobs: with a fixed headroom
// of one slot, when interactive work needs half of the slots, batch jobs take all others
// but one and most interactive requests find no free slot.
func TestHeadroomGrowsWhenBatchMakesInteractiveWait(t *testing.T) {
	h := headroom{minimum: 1, slots: 1}
	for range 50 {
		h.observe(true, 6)
	}
	assert.Equal(t, h.width(6), 5)
	assert.Equal(t, h.width(1), 0, "one slot always remains for batch work")
	for range 2000 {
		h.observe(false, 6)
	}
	assert.Equal(t, h.width(6), 1)
}

// Guards against overloading a target after a change of grantor: the old grantor sent 3
// requests and was lost. If the new one ignored them and sent 3 more, a target with 3
// slots would work on 6.
func TestTakeOverHoldsSlotsOfPreviousGrantor(t *testing.T) {
	g := New(Config{Slots: 3})
	g.Hold(epoch, at(time.Second), 3)
	g.Hold(epoch, at(time.Second), 3)
	g.Hold(epoch, epoch, 3)
	assert.Equal(t, g.Stats(epoch).Held, 3)
	assert.Equal(t, g.Offer(epoch, Item{ID: 1}).Verdict, Queue)
	assert.Equal(t, g.NextWake(), at(time.Second))
	assert.DeepEqual(t, g.Expire(at(time.Second)).Start, []ID{1})
}

// Guards against unbounded memory when every request carries a new, invented caller name:
// state must not be kept for each name ever seen.
func TestInventedCallersLeaveBoundedState(t *testing.T) {
	const length = 50
	g := New(Config{Slots: 2, QueueLength: length, CallerShare: 1})
	fill(t, g, 1, 2)
	working := []ID{1, 2}
	most := 0
	for i := range 20_000 {
		now := at(time.Duration(i) * ms)
		g.Offer(now, Item{ID: ID(10 + i), Caller: fmt.Sprint("made-up-", i)})
		if i%2 == 0 {
			started := g.Done(now, working[0], Finished, time.Duration(i%40)*ms).Start
			working = append(working[1:], started...)
		}
		most = max(most, g.Stats(now).Callers)
	}
	assert.Assert(t, most <= 2*length+3, "state of %d callers kept", most)
	for len(working) > 0 {
		started := g.Done(at(time.Hour), working[0], Finished, ms).Start
		working = append(working[1:], started...)
	}
	assert.Equal(t, g.Stats(at(time.Hour)).Callers, 0)
}

func TestUnusedSlotIsNotCharged(t *testing.T) {
	g := New(Config{Slots: 1})
	fill(t, g, 1, 1)
	g.Offer(epoch, Item{ID: 2, Caller: "a"})
	g.Offer(epoch, Item{ID: 3, Caller: "a"})
	g.Offer(epoch, Item{ID: 4, Caller: "b"})
	assert.DeepEqual(t, g.Done(at(ms), 1, Finished, ms).Start, []ID{2})
	assert.DeepEqual(t, g.Done(at(11*ms), 2, NotSent, 10*ms).Start, []ID{3})
}

// Guards against interactive requests that stall when a batch run starts: a batch job of
// 10 s waits while interactive work runs, is cancelled, and many jobs of 10 ms follow.
// They must not use the credit that accumulated for the long job.
func TestCreditOfCancelledBatchWorkIsLimited(t *testing.T) {
	g := New(Config{Slots: 1, QueueLength: 1000, BatchShare: 0.1, InitialService: 10 * ms})
	fill(t, g, 1, 1)
	g.Offer(epoch, Item{ID: 2, Class: request.Batch, EstimatedService: 10 * time.Second})
	now := epoch
	working := ID(1)
	serve := func(next Item) (started []ID) {
		now = now.Add(10 * ms)
		g.Offer(now, next)
		started = append(started, g.Done(now, working, Finished, 10*ms).Start...)
		working = started[0]
		return started
	}
	for id := ID(100); id < 500; id++ {
		serve(Item{ID: id, Caller: "a"})
	}
	assert.Assert(t, g.Cancel(now, 2))
	batch := 0
	for id := ID(10_000); id < 10_100; id++ {
		g.Offer(now, Item{ID: id, Class: request.Batch})
		g.Offer(now, Item{ID: id + 10_000, Caller: "a"})
		if serve(Item{ID: id + 20_000, Caller: "a"})[0] < 10_100 && working >= 10_000 {
			batch++
		}
	}
	assert.Assert(t, batch <= 11, "%d of 100 turns went to batch work with a share of a tenth", batch)
}
