package dispatch

import (
	"fmt"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// limitTTL is for how long limits apply unless they are renewed: their leader may be lost.
	limitTTL = 3 * time.Second
	// minLimitRetryAfter and maxLimitRetryAfter bound the advised wait of a request that is
	// refused because its key is limited.
	minLimitRetryAfter = time.Second
	maxLimitRetryAfter = 4 * time.Second
	// limitRetryJitter is the share by which the advised wait is randomly shortened or
	// lengthened, so that callers refused at the same moment don't retry at the same moment.
	limitRetryJitter = 0.25
)

// limits are the limited keys: keys of which only a part of the requests is served.
type limits struct {
	// admit is the share of requests that is served, by key.
	admit map[keyspace.Key]float64
	// until is when the limits expire.
	until time.Time
}

// SetLimits sets the limits that the leader has determined; they replace all previous ones.
func (s *Service) SetLimits(now time.Time, all []keyspace.Limit) {
	s.limits = limits{admit: make(map[keyspace.Key]float64, len(all)), until: now.Add(limitTTL)}
	for _, l := range all {
		s.limits.admit[l.Key] = l.Admit
	}
}

// refuseOverLimit refuses a new request for a limited key, except for the random part that is
// served.
//
// A limited key has far more requests than its holder can serve. A caller that is refused at once,
// with an advised wait, loses no time. Without the limit its request would be refused by the
// holder or wait in vain, and so would requests for the holder's other keys.
func (s *Service) refuseOverLimit(now time.Time, r *Request) (Decision, bool) {
	if r.Key == nil || r.Admitted || !now.Before(s.limits.until) {
		return Decision{}, false
	}
	admit, limited := s.limits.admit[*r.Key]
	if !limited || s.random.Float64() < admit {
		return Decision{}, false
	}
	wait := max(s.overallServiceTime/max(admit, s.overallServiceTime/maxLimitRetryAfter.Seconds()), minLimitRetryAfter.Seconds())
	jitter := 1 + limitRetryJitter*(2*s.random.Float64()-1)
	return Decision{
		Verdict: Refuse, Fault: fault.QueueFull, RetryAfter: time.Duration(wait * jitter * float64(time.Second)),
		Detail: fmt.Sprintf("key %d is asked for more than its holder can do, %.3f are served", *r.Key, admit),
	}, true
}
