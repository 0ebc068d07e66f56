package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/worktime"
)

// workTimeReserve is the part of a route's longest work that is added to it, as the next may take longer.
const workTimeReserve = 0.125

// stopEnd keeps a router that stops from sending what may not end before it does: it would be cut off while its target is at
// work. Another router can still take it.
type stopEnd struct {
	// at is when requests in flight are cut off; nil while the router doesn't stop.
	at atomic.Pointer[time.Time]

	mu        sync.Mutex
	workTimes worktime.Longest
}

func (s *stopEnd) set(at time.Time) { s.at.Store(&at) }

// record records how long a send of a route's request took until the end of its answer.
func (s *stopEnd) record(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTimes.Record(time.Now(), route, took)
}

// check returns a fault if a request that is sent now may be cut off by the end of the router. deadline is the request's; zero
// for none.
func (s *stopEnd) check(route string, deadline time.Time) *fault.Fault {
	at := s.at.Load()
	if at == nil || !deadline.IsZero() && deadline.Before(*at) {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	longest, known := s.workTimes.Of(now, route)
	s.mu.Unlock()
	if known && now.Add(longest+fraction(longest, workTimeReserve)).Before(*at) {
		return nil
	}
	return fault.New(fault.Stopping, "the router ends before the request may have ended")
}
