package router

import (
	"context"
	"sync"
	"time"
)

// alarms lets all that a router waits for at rest share one timer of the runtime.
//
// What goes wrong with a timer for each: nearly all are stopped or put off before they
// fire, as the limit of a call that is answered at once, and the runtime takes such a
// timer out only when its time has come. At rest that wakes the process for nothing
// nearly as often as for something.
type alarms struct {
	mu      sync.Mutex
	waiting map[*alarm]struct{}
	timer   *time.Timer
	// due is when the timer fires; zero while it is not armed.
	due time.Time
}

// alarm is one time that is waited for.
type alarm struct {
	// fire runs on a goroutine of its own and may wait.
	fire func()
	due  time.Time
}

// set has the alarm fire after d, in place of when it was due before.
func (s *alarms) set(a *alarm, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[*alarm]struct{})
	}
	s.waiting[a] = struct{}{}
	a.due = time.Now().Add(d)
	s.arm(a.due, d)
}

// stop lets the alarm fire no more, unless it is about to.
func (s *alarms) stop(a *alarm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, a)
}

// arm needs the lock. A timer that is due sooner stays, and finds nothing to do then.
func (s *alarms) arm(due time.Time, d time.Duration) {
	if !s.due.IsZero() && !due.Before(s.due) {
		return
	}
	s.due = due
	if s.timer == nil {
		s.timer = time.AfterFunc(d, s.fire)
		return
	}
	s.timer.Reset(d)
}

func (s *alarms) fire() {
	over := s.over()
	for i, a := range over {
		if i == len(over)-1 {
			a.fire()
			return
		}
		go a.fire()
	}
}

// over takes out what is due and arms the timer for the first of the others.
func (s *alarms) over() []*alarm {
	s.mu.Lock()
	defer s.mu.Unlock()
	var over []*alarm
	var next time.Time
	now := time.Now()
	for a := range s.waiting {
		if !a.due.After(now) {
			over = append(over, a)
			delete(s.waiting, a)
			continue
		}
		if next.IsZero() || a.due.Before(next) {
			next = a.due
		}
	}
	s.due = time.Time{}
	if !next.IsZero() {
		s.arm(next, next.Sub(now))
	}
	return over
}

// limit is context.WithTimeout without a timer of its own.
func (s *alarms) limit(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	a := &alarm{fire: func() { cancel(context.DeadlineExceeded) }}
	s.set(a, d)
	return &limited{Context: inner, deadline: a.due}, func() {
		s.stop(a)
		cancel(context.Canceled)
	}
}

// limited is a context that ends at its deadline by another's hand.
type limited struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (l *limited) Deadline() (time.Time, bool) { return l.deadline, true }

// Err implements context.Context.
func (l *limited) Err() error {
	err := l.Context.Err()
	if err != nil && context.Cause(l.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}
