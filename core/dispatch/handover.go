package dispatch

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// maxHandoverWait is how long a request waits for a key that is moving to another holder;
	// requests for the key that are still running have to end first.
	maxHandoverWait = 800 * time.Millisecond
	// maxLimitedHandoverWait is the same where all targets state limits, so that the next holder probably has no permit.
	maxLimitedHandoverWait = 150 * time.Millisecond
)

// movingBlock returns the block of a request for a key that moves to another holder.
func (s *Service) movingBlock(now time.Time, segment *keyspace.Segment) *block {
	if segment.HolderUnreachable {
		return &block{kind: fault.NoOwner, detail: "the grant of " + segment.Target + " has to lapse, or the store to answer first", wait: -1, retryAfter: grantExpiryRetryAfter}
	}
	b := &block{kind: fault.Moving, detail: "from " + segment.Target, maxWait: maxHandoverWait, retryAfter: minRetryAfter}
	if s.allStateLimits() {
		b.maxWait = maxLimitedHandoverWait
		if over := s.overAllTargetLimits(now); over != nil {
			b.retryAfter = over.retryAfter
		}
	}
	return b
}

// allStateLimits reports whether all targets that take new work state limits.
func (s *Service) allStateLimits() bool {
	for _, t := range s.choices {
		if !s.statesLimit(t) {
			return false
		}
	}
	return len(s.choices) > 0
}
