package dispatch

import (
	"fmt"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// limitLife is for how long limits hold that nobody renews: their leader may be lost.
	limitLife = 3 * time.Second
	// minLimitedWait and maxLimitedWait bound the advice to who asks for a limited key.
	minLimitedWait = time.Second
	maxLimitedWait = 4 * time.Second
	// limitedSpread is by which part each advice differs at random, so that those who were
	// refused together don't come back together.
	limitedSpread = 0.25
)

// limits are the keys of which just a part of the requests is served.
type limits struct {
	admit map[keyspace.Key]float64
	until time.Time
}

// SetLimits puts the limits in force that the leader has found; they replace all before.
func (s *Service) SetLimits(now time.Time, all []keyspace.Limit) {
	s.limits = limits{admit: make(map[keyspace.Key]float64, len(all)), until: now.Add(limitLife)}
	for _, l := range all {
		s.limits.admit[l.Key] = l.Admit
	}
}

// overLimit refuses a new request for a key that is asked for more than its holder can do,
// but for the part that is served.
//
// It answers a key that is far too popular for as long as it is. A caller that is told so at
// once, and to come back when that may be over, keeps its time; sent on, its request would be
// refused by the holder or wait in vain, and those for the holder's other keys with it.
func (s *Service) overLimit(now time.Time, r *Request) (Decision, bool) {
	if r.Key == nil || r.Admitted || !now.Before(s.limits.until) {
		return Decision{}, false
	}
	admit, limited := s.limits.admit[*r.Key]
	if !limited || s.random.Float64() < admit {
		return Decision{}, false
	}
	wait := max(s.mean/max(admit, s.mean/maxLimitedWait.Seconds()), minLimitedWait.Seconds())
	spread := 1 + limitedSpread*(2*s.random.Float64()-1)
	return Decision{
		Verdict: Refuse, Fault: fault.QueueFull, RetryAfter: time.Duration(wait * spread * float64(time.Second)),
		Detail: fmt.Sprintf("key %d is asked for more than its holder can do, %.3f are served", *r.Key, admit),
	}, true
}
