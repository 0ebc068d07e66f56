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
func (t *ioTimeout) start(now time.Time, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.due, t.waiting = now.Add(left), true
	if t.timer == nil {
		t.timer = time.AfterFunc(left, t.expire)
	} else {
		t.timer.Reset(left)
	}
	return true
}

// stop ends the current operation.
func (t *ioTimeout) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	t.timer.Stop()
}

// close prevents any further use of the connection, which may soon serve the next request.
func (t *ioTimeout) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// timedOut reports whether an operation was interrupted.
func (t *ioTimeout) timedOut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fired
}

func (t *ioTimeout) expire() { t.expireAt(time.Now()) }

// expireAt interrupts the operation if it is overdue at now. A timer that fires after its
// operation has ended has no effect.
func (t *ioTimeout) expireAt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.waiting || t.closed || now.Before(t.due) {
		return
	}
	t.fired = true
	_ = t.setDeadline(now.Add(-time.Second))
}
