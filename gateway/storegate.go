package gateway

import (
	"context"
	"sync"
)

// storeGate keeps calls back while the store doesn't answer, but for the renewal of this
// router's own record, which is the cheapest call and asks for all others.
//
// What goes wrong without it: each router repeats each of its watches against a store that
// is down. Refused calls cost as much as others, and all of them come back together with
// the store.
type storeGate struct {
	mu sync.Mutex
	// opened is nil while the gate is open, and closed when it opens.
	opened chan struct{}
}

// shut closes the gate.
func (s *storeGate) shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened == nil {
		s.opened = make(chan struct{})
	}
}

// open lets all calls that wait go.
func (s *storeGate) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened != nil {
		close(s.opened)
		s.opened = nil
	}
}

// wait returns once the gate is open; false means that ctx ended first.
func (s *storeGate) wait(ctx context.Context) bool {
	s.mu.Lock()
	opened := s.opened
	s.mu.Unlock()
	if opened == nil {
		return ctx.Err() == nil
	}
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}

// isShut reports whether the store doesn't answer.
func (s *storeGate) isShut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened != nil
}
