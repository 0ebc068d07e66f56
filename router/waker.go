package router

import (
	"context"
	"sync"
	"time"
)

// waker sends a duty its ticks, each when the duty's core has something to do: at
// rest fixed ticks cost more than all that they start. It never has more than one
// tick in the mailbox, since a second would say nothing new.
type waker struct {
	send func()

	alarms *alarms

	mu    sync.Mutex
	alarm *alarm
	// due is when the alarm fires; zero while none is set.
	due time.Time
	// asked says that due is not from next alone.
	asked bool
	// queued is when the tick was sent that is not handled yet, or zero.
	queued  time.Time
	stopped bool
}

// tickLost is when a tick that was sent counts as dropped by a full mailbox. With
// the tick gone and no other sent, the duty would never wake again.
const tickLost = time.Second

// newWaker returns a waker that calls send for each tick until the router ends.
// send runs on a goroutine of its own and may wait.
func (r *Router) newWaker(send func()) *waker {
	w := &waker{send: send, alarms: &r.alarms}
	context.AfterFunc(r.lifetime, w.stop)
	return w
}

// within has a tick sent after d at the latest. A tick that is due sooner stays so:
// one too many does no harm.
func (w *waker) within(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = true
	w.arm(d, false)
}

// next has the next tick sent after d; the duty calls it once it has handled a message.
// A tick that was due sooner on the duty's own word is put off, as most deadlines are
// met: at rest ticks for them would be many.
func (w *waker) next(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(d, !w.asked)
}

// arm needs the lock; later says that a tick which is due sooner may be put off.
func (w *waker) arm(d time.Duration, later bool) {
	now := time.Now()
	due := now.Add(d)
	if w.stopped || w.waits(now) || !w.due.IsZero() && !later && !due.Before(w.due) {
		return
	}
	w.due = due
	if w.alarm == nil {
		w.alarm = &alarm{fire: w.fire}
	}
	w.alarms.set(w.alarm, d)
}

// waits says whether a tick waits in the mailbox.
func (w *waker) waits(now time.Time) bool {
	return !w.queued.IsZero() && now.Sub(w.queued) < tickLost
}

func (w *waker) fire() {
	now := time.Now()
	w.mu.Lock()
	// A timer that was set anew while it fired calls a second time.
	send := !w.waits(now) && !w.stopped
	w.queued, w.due, w.asked = now, time.Time{}, false
	w.mu.Unlock()
	if send {
		w.send()
	}
}

// handled is called by the duty as it takes up a tick.
func (w *waker) handled() {
	w.mu.Lock()
	w.queued = time.Time{}
	w.mu.Unlock()
}

// stop ends the ticks.
func (w *waker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.alarm != nil {
		w.alarms.stop(w.alarm)
	}
}
