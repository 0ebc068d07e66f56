package dispatch

import (
	"math"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// coldReserve is the share of what a cold target bears in a second that is left unused.
	coldReserve = 0.1
	// coldExcess is the probability with which a cold target may get more than that in some second.
	coldExcess = 1e-5
	// permitTTL is for how long an unused permit is kept. Routers that kept theirs would use them all in one second, when
	// a burst comes.
	permitTTL = time.Second
	// rampDoubling is the time in which the rate doubles after a target was cold, and rampSteps how often it does at most.
	rampDoubling = 400 * time.Millisecond
	rampSteps    = 6
	// returnedFor is for how long a target counts as cold once it can be reached again after several tries: until a report of
	// its own says whether it is.
	returnedFor = 1500 * time.Millisecond
	// askMemory is the time constant of the rates at which this router is asked for keys.
	askMemory = 4 * time.Second
	// maxColdRetryAfter bounds the advised wait of requests for keys of a cold target.
	maxColdRetryAfter = 4 * time.Second
	// maxPermitWait is longer than any target is cold.
	maxPermitWait = time.Hour
)

// ColdTolerance says by how much the requests of one second at a cold target may exceed what its service states.
type ColdTolerance struct {
	// Factor multiplies the stated requests per second, and Slack is added to that. With a Factor of zero, cold targets are
	// treated as others.
	Factor, Slack float64
}

// Rate returns the mean number of requests per second that a cold target may get from all routers together, if its service
// states perSecond. Independent routers send them, so that seconds differ by chance: no more than one of 1/coldExcess
// seconds may exceed what is borne, less coldReserve.
func (c ColdTolerance) Rate(perSecond float64) float64 {
	if c.Factor <= 0 || perSecond <= 0 {
		return 0
	}
	most := math.Floor((perSecond*c.Factor + c.Slack) * (1 - coldReserve))
	low, high := 0.0, perSecond*c.Factor
	if poissonTail(high, most) <= coldExcess {
		return high
	}
	for range 40 {
		if middle := (low + high) / 2; poissonTail(middle, most) <= coldExcess {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// poissonTail returns the probability that a Poisson variable with the mean exceeds a number.
func poissonTail(mean, most float64) float64 {
	term, sum := math.Exp(-mean), 0.0
	for n := 0.0; n <= most; n++ {
		sum += term
		term *= mean / (n + 1)
	}
	return math.Max(1-sum, 0)
}

// coldLimit bounds the requests that cold targets get from all routers together.
//
// It answers targets that return cold beside hundreds of routers, each of which sends them few requests and doesn't know of
// the others'. Each router uses a part of the rate: at a service without keys by permits that come at random times, with
// keys by the part of the requests that is sent. Neither needs communication, and a router without a part sends none.
type coldLimit struct {
	// rate is the requests per second of all routers; zero for no limit. part is this router's, from 0 to 1.
	rate, part float64
	// asked is the rate at which this router is asked for any key of the service.
	asked askRate
}

// askRate is a mean rate of requests over askMemory.
type askRate struct {
	perSecond float64
	at        time.Time
}

func (a *askRate) add(now time.Time) {
	a.perSecond = a.value(now) + 1/askMemory.Seconds()
	a.at = now
}

func (a *askRate) value(now time.Time) float64 {
	if a.at.IsZero() {
		return 0
	}
	return a.perSecond * math.Exp(-now.Sub(a.at).Seconds()/askMemory.Seconds())
}

// LimitCold sets how many requests per second a cold target may get from all routers together, zero for no limit.
func (s *Service) LimitCold(rate float64) { s.cold.rate = rate }

// SetShare sets this router's part, from 0 to 1, of the limits that all routers share.
func (s *Service) SetShare(part float64) { s.cold.part = part }

// coldRate returns the requests per second that a target may get from all routers together, and whether that is limited.
func (s *Service) coldRate(now time.Time, t *targetState) (rate float64, limited bool) {
	until := laterOf(t.ColdUntil, t.returnsUntil)
	if s.cold.rate <= 0 || until.IsZero() {
		return 0, false
	}
	doublings := now.Sub(until).Seconds() / rampDoubling.Seconds()
	switch {
	case doublings <= 0:
		return s.cold.rate, true
	case doublings >= rampSteps:
		return 0, false
	}
	return s.cold.rate * math.Exp2(doublings), true
}

// permitted reports whether this router may send the target a request now, as far as that is cold.
func (s *Service) permitted(now time.Time, t *targetState) bool {
	rate, limited := s.coldRate(now, t)
	if !limited {
		return true
	}
	if rate *= s.cold.part; rate <= 0 {
		return false
	}
	if t.permitAt.IsZero() {
		t.permitAt = s.nextPermit(now, rate)
	}
	for lapsed := t.permitAt.Add(permitTTL); lapsed.Before(now); lapsed = t.permitAt.Add(permitTTL) {
		t.permitAt = s.nextPermit(lapsed, rate)
	}
	return !now.Before(t.permitAt)
}

// nextPermit returns when the next permit comes after a time, at a rate of this router.
func (s *Service) nextPermit(after time.Time, rate float64) time.Time {
	return after.Add(time.Duration(min(s.random.ExpFloat64()/rate, maxPermitWait.Seconds()) * float64(time.Second)))
}

// usePermit records that a request is sent to the target.
func (s *Service) usePermit(now time.Time, t *targetState) {
	if rate, limited := s.coldRate(now, t); limited && rate*s.cold.part > 0 {
		t.permitAt = s.nextPermit(now, rate*s.cold.part)
		return
	}
	t.permitAt = time.Time{}
}

// recordAsked records which target holds the key that this router is asked for.
func (s *Service) recordAsked(now time.Time, r *Request) {
	if s.cold.rate <= 0 || r.Key == nil || s.table == nil {
		return
	}
	s.cold.asked.add(now)
	if t := s.targetByID[s.table.Find(*r.Key).Target]; t != nil {
		t.asked.add(now)
	}
}

// admitsCold reports whether a request for a key of the target is sent, as far as that is cold. What all routers are asked
// for is estimated from what this one is: by the target's part of the keys, or by what these were asked for before this
// request if that is more.
func (s *Service) admitsCold(now time.Time, t *targetState) bool {
	rate, limited := s.coldRate(now, t)
	if !limited {
		return true
	}
	asked := max(s.cold.asked.value(now)*s.keyShare(t), t.asked.value(now)-1/askMemory.Seconds())
	return s.random.Float64()*asked < rate*s.cold.part
}

// keyShare returns the part of all keys that the target holds.
func (s *Service) keyShare(t *targetState) float64 {
	keys := 0
	for i := range s.table.Segments {
		if segment := &s.table.Segments[i]; segment.Target == t.ID {
			keys += segment.Len()
		}
	}
	return float64(keys) / float64(int(keyspace.LastKey)+1)
}

// refuseColdHolder returns the block that refuses a request whose key is held by a cold target.
func (s *Service) refuseColdHolder(now time.Time, t *targetState) *block {
	warm := time.Duration((1 + s.random.Float64()) * float64(max(laterOf(t.ColdUntil, t.returnsUntil).Sub(now), rampDoubling)))
	return &block{kind: fault.QueueFull, detail: "target " + t.ID + " is cold", wait: -1, retryAfter: min(warm, maxColdRetryAfter)}
}

// awaitPermit returns the block for a request that only cold targets could take, with the time between two permits of this
// router; nil if there is no such target.
func (s *Service) awaitPermit(now time.Time) *block {
	permits := 0.0
	for _, t := range s.targetList {
		if rate, limited := s.coldRate(now, t); limited && t.TakesNewWork() && !t.inConnectBackoff(now) && !t.rests(now) {
			permits += rate * s.cold.part
		}
	}
	if permits <= 0 {
		return nil
	}
	return &block{kind: fault.QueueFull, detail: "all targets are cold", placeInterval: 1 / permits, retryAfter: minRetryAfter}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
