package caller

import (
	"sync"
	"time"
)

// ioTimeout interrupts a read or write on the caller's connection that blocks for too long.
//
// A deadline that is set on the connection before the operation would do the same, but stays
// set afterwards: on HTTP/2 it resets the stream when it passes, although nothing waits, and
// clearing it costs a message to the connection's goroutine each time. So the deadline is only
// set once the operation has timed out, and then to a time in the past.
type ioTimeout struct {
	// setDeadline sets the deadline that interrupts the operation.
	setDeadline func(past time.Time) error

	mu sync.Mutex
	// timer runs while an operation waits; due is when that operation times out.
	timer   *time.Timer
	due     time.Time
	waiting bool
	closed  bool
	fired   bool
}

// start begins an operation that may take the given time. It returns false after close.
func (w *ioTimeout) start(now time.Time, left time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.due, w.waiting = now.Add(left), true
	if w.timer == nil {
		w.timer = time.AfterFunc(left, w.expire)
	} else {
		w.timer.Reset(left)
	}
	return true
}

// stop ends the current operation.
func (w *ioTimeout) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.timer.Stop()
}

// close prevents any further use of the connection, which may soon serve the next request.
func (w *ioTimeout) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// timedOut reports whether an operation was interrupted.
func (w *ioTimeout) timedOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

func (w *ioTimeout) expire() { w.expireAt(time.Now()) }

// expireAt interrupts the operation if it is overdue at now. A timer that fires after its
// operation has ended has no effect.
func (w *ioTimeout) expireAt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.closed || now.Before(w.due) {
		return
	}
	w.fired = true
	_ = w.setDeadline(now.Add(-time.Second))
}
