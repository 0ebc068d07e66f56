package dispatch

import (
	"fmt"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// limitedPenalty makes targets that state a limit cost more than any target with room, and less than any without.
	limitedPenalty = 5 * time.Second
	// permitRetryJitter is the share by which the advised wait for a permit is lengthened at random, so that callers that
	// were refused at the same moment don't come back at the same moment.
	permitRetryJitter = 0.5
	// limitTrialInterval is after how long without a request a limited target gets one: that shows whether it still states the
	// limit.
	limitTrialInterval = 3 * time.Second
)

// SetTargetLimits sets the limits that targets state, in requests per second from all routers together. Requests to these
// targets need a permit, which whoever sends them takes once they are placed.
func (s *Service) SetTargetLimits(limits map[keyspace.Holder]float64) { s.targetLimits = limits }

// AwaitPermit has no requests placed at a target for a time, because it states a limit and there is no permit.
func (s *Service) AwaitPermit(now time.Time, holder keyspace.Holder, wait time.Duration) {
	if t := s.targetByID[holder.Target]; t != nil && t.Holder() == holder {
		t.noPermitUntil = now.Add(wait)
	}
}

// statesLimit reports whether the target states a limit.
func (s *Service) statesLimit(t *targetState) bool {
	if len(s.targetLimits) == 0 {
		return false
	}
	_, limited := s.targetLimits[t.Holder()]
	return limited
}

// lacksPermit reports whether there is no permit for the target now.
func (s *Service) lacksPermit(now time.Time, t *targetState) bool {
	return s.statesLimit(t) && now.Before(t.noPermitUntil)
}

// refuseOverTargetLimit returns the block that refuses a request at once because its target has no permit.
func (s *Service) refuseOverTargetLimit(now time.Time, t *targetState) *block {
	wait := float64(t.noPermitUntil.Sub(now)) * (1 + permitRetryJitter*s.random.Float64())
	return &block{
		kind: fault.QueueFull, wait: -1, retryAfter: max(time.Duration(wait), minRetryAfter),
		detail: fmt.Sprintf("target %s takes %v requests a second from all routers together", t.ID, s.targetLimits[t.Holder()]),
	}
}

// limitedToTry returns a target that states a limit and is tried before those that state none, because the request was turned
// away by another one, so that there is less room than this router believes, or because the target has long got none; nil if
// there is no such target.
func (s *Service) limitedToTry(now time.Time, r *Request) *targetState {
	if len(s.targetLimits) == 0 {
		return nil
	}
	for _, t := range s.choices {
		if s.statesLimit(t) && (r.Avoid != "" || t.longUnused(now)) && s.eligible(now, r, t) && t.hasRoom(now) {
			return t
		}
	}
	return nil
}

// longUnused reports whether the target got requests of this router, and has not for limitTrialInterval.
func (t *targetState) longUnused(now time.Time) bool {
	return !t.usedAt.IsZero() && now.Sub(t.usedAt) >= limitTrialInterval
}

// overAllTargetLimits returns the block for a request that only targets without a permit could take; nil if there is no such
// target.
func (s *Service) overAllTargetLimits(now time.Time) *block {
	var first *targetState
	for _, t := range s.choices {
		if s.lacksPermit(now, t) && !t.rests(now) && (first == nil || t.noPermitUntil.Before(first.noPermitUntil)) {
			first = t
		}
	}
	if first == nil {
		return nil
	}
	return s.refuseOverTargetLimit(now, first)
}
