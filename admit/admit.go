// Package admit makes core/admission usable by concurrent requests: it guards an
// admission.Gate by a mutex, blocks requests until they have a slot and runs the timer
// that the Gate needs.
package admit

import (
	"context"
	"sync"
	"time"

	"tarragongw/core/admission"
	"tarragongw/core/fault"
)

// Release returns a slot. It must be called with the outcome of the work; only the first
// call has an effect.
type Release func(outcome admission.Outcome)

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	core    *admission.Gate
	nextID  admission.ID
	waiting map[admission.ID]*waiter
	timer   *time.Timer
	// wake is the time at which the timer fires; zero means that it is not set.
	wake time.Time
}

// waiter is a queued request. It gets exactly one answer, sent with the Gate's mutex
// locked: nil when it starts, or the fault with which it is refused.
type waiter struct {
	answer chan *fault.Fault
}

// New returns a Gate for one target.
func New(cfg admission.Config) *Gate {
	return &Gate{
		now:     time.Now,
		core:    admission.New(cfg),
		waiting: make(map[admission.ID]*waiter),
	}
}

// Acquire waits for a slot. It returns a release function, or a fault with NotRun if the
// item got no slot. Acquire sets the item's ID, and takes a zero deadline from ctx.
func (g *Gate) Acquire(ctx context.Context, item admission.Item) (Release, *fault.Fault) {
	if ctx.Err() != nil {
		return nil, contextFault(ctx)
	}
	if limit, ok := ctx.Deadline(); ok && item.Deadline.IsZero() {
		item.Deadline = limit
	}
	g.mu.Lock()
	g.nextID++
	item.ID = g.nextID
	now := g.now()
	decision := g.core.Offer(now, item)
	var w *waiter
	if decision.Verdict == admission.Queue {
		w = &waiter{answer: make(chan *fault.Fault, 1)}
		g.waiting[item.ID] = w
		g.schedule()
	}
	g.mu.Unlock()

	switch decision.Verdict {
	case admission.Admit:
		return g.release(item.ID, now), nil
	case admission.Refuse:
		return nil, refusal(decision.Kind, decision.RetryAfter)
	default:
		return g.await(ctx, item.ID, w)
	}
}

func (g *Gate) await(ctx context.Context, id admission.ID, w *waiter) (Release, *fault.Fault) {
	select {
	case f := <-w.answer:
		return g.result(id, f)
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.core.Cancel(g.now(), id)
	if cancelled {
		delete(g.waiting, id)
		g.schedule()
	}
	g.mu.Unlock()
	if cancelled {
		return nil, contextFault(ctx)
	}
	// The answer came before the cancellation. The slot of a caller that has left must be
	// returned at once, or it would never be free again.
	release, f := g.result(id, <-w.answer)
	if f != nil {
		return nil, f
	}
	release(admission.NotSent)
	return nil, contextFault(ctx)
}

func (g *Gate) result(id admission.ID, f *fault.Fault) (Release, *fault.Fault) {
	if f != nil {
		return nil, f
	}
	return g.release(id, g.now()), nil
}

func (g *Gate) release(id admission.ID, start time.Time) Release {
	var once sync.Once
	return func(outcome admission.Outcome) {
		once.Do(func() { g.done(id, outcome, start) })
	}
}

func (g *Gate) done(id admission.ID, outcome admission.Outcome, start time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(g.core.Done(now, id, outcome, now.Sub(start)))
}

// apply sends the answers to the waiters. Each channel is buffered for its only answer,
// so apply never blocks.
func (g *Gate) apply(actions admission.Actions) {
	for _, id := range actions.Start {
		g.answer(id, nil)
	}
	for _, r := range actions.Refuse {
		g.answer(r.ID, refusal(r.Kind, r.RetryAfter))
	}
	g.schedule()
}

func (g *Gate) answer(id admission.ID, f *fault.Fault) {
	w := g.waiting[id]
	delete(g.waiting, id)
	w.answer <- f
}

// schedule sets the timer to the Gate's NextWake. A timer that fires too early does no
// harm, so it is not reset to a later time.
func (g *Gate) schedule() {
	next := g.core.NextWake()
	if next.IsZero() || (!g.wake.IsZero() && !next.Before(g.wake)) {
		return
	}
	g.wake = next
	wait := max(next.Sub(g.now()), 0)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake = time.Time{}
	g.apply(g.core.Expire(g.now()))
}

// SetSlots changes the number of slots; zero means unknown.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.SetSlots(g.now(), slots))
}

// Hold keeps n slots unavailable for the given time, for work that the previous grantor may have
// sent.
func (g *Gate) Hold(length time.Duration, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.core.Hold(now, now.Add(length), n)
	g.schedule()
}

// Inherit keeps n slots unavailable for the given time for work that the previous grantor sent. It
// replaces what an earlier call holds.
func (g *Gate) Inherit(length time.Duration, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.apply(g.core.Inherit(now, now.Add(length), n))
}

// Drain refuses all waiting and new requests with kind; work in flight continues.
func (g *Gate) Drain(kind fault.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.Drain(g.now(), kind))
}

// Resume ends a drain.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resume()
}

// Stats returns a snapshot.
func (g *Gate) Stats() admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats(g.now())
}

// Close drains the Gate and stops its timer.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.core.Drain(g.now(), fault.Stopping))
	if g.timer != nil {
		g.timer.Stop()
	}
}

func refusal(kind fault.Kind, after time.Duration) *fault.Fault {
	f := fault.New(kind, "")
	f.Ran = fault.NotRun
	f.RetryAfter = after
	return f
}

// contextFault is the fault of a request whose context ended before it had a slot.
func contextFault(ctx context.Context) *fault.Fault {
	kind := fault.CallerGone
	if ctx.Err() == context.DeadlineExceeded {
		kind = fault.DeadlineUnmeetable
	}
	f := fault.Wrap(kind, ctx.Err(), "left the queue")
	f.Ran = fault.NotRun
	return f
}
