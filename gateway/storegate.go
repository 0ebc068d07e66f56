package gateway

import (
	"context"
	"sync"
)

// storeGate holds calls back while the store doesn't answer. The renewal of this router's own record,
// which is the cheapest call, is not held back and probes the store for all others.
//
// Without the gate, each router would repeat all of its watches against a store that is down. Refused
// calls cost as much as others, and all of them would reach the store when it recovers.
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

// open releases all waiting calls.
func (s *storeGate) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened != nil {
		close(s.opened)
		s.opened = nil
	}
}

// wait returns true once the gate is open, or false if ctx ends first.
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

// isShut reports whether the gate is shut, because the store doesn't answer.
func (s *storeGate) isShut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened != nil
}
