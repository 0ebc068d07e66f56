package dispatch

import "time"

const (
	// sampleSize is how many targets in this router's data centre, and how many in others, are
	// compared for one request of a large service. With hundreds of targets, comparing all of
	// them would cost the router more than the better choice saves.
	sampleSize = 8
	// tieBreak is the random part that is added to the cost, at most this share of it, so that
	// routers spread over targets of about the same cost.
	tieBreak = 0.2
	// noRoomPenalty makes targets without room cost more than any target with room.
	noRoomPenalty = 10 * time.Second
	// crossDCCostPerByte is the cost of a byte to or from another data centre, as a latency.
	// With 12 us, a request with a 5 kB answer leaves the data centre only if that saves 60 ms.
	// Compared with 2.5 us, a quarter fewer bytes cross, and as many answers are in time.
	crossDCCostPerByte = 12 * time.Microsecond
	// maxCrossDCCost bounds that cost: without it, requests with long bodies would stay in the
	// data centre even if their answers are late there.
	maxCrossDCCost = 150 * time.Millisecond
	// newConnCost is the cost of a new connection, in service times. A connection costs a
	// round trip and a part of a slot, and a router that uses only a few targets gets more
	// frequent load reports from each. With half a service time a third fewer connections are
	// opened than with zero, and answers earn 0.912 instead of 0.906 of their value. With a
	// whole service time, routers keep using slow targets at low load.
	newConnCost = 0.5
)

// best returns the target with the lowest cost, or nil if there is none.
//
// Many routers share few slots at each target. The expected latency prefers fast targets in
// proportion to their speed, avoids those that fail or have just started, and chooses another data
// centre if the longer network path costs less than the wait.
func (s *Service) best(now time.Time, r *Request) *targetState {
	if limited := s.limitedToTry(now, r); limited != nil {
		return limited
	}
	var best *targetState
	var lowest float64
	for _, t := range s.sample() {
		if !s.eligible(now, r, t) {
			continue
		}
		cost := s.cost(now, r, t)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// eligible reports whether the request may be placed at the target now, be there room or not.
func (s *Service) eligible(now time.Time, r *Request, t *targetState) bool {
	if !t.TakesNewWork() || t.inConnectBackoff(now) || t.ID == r.Avoid && len(s.targetList) > 1 || t.rests(now) {
		return false
	}
	return s.permitted(now, t) && !s.lacksPermit(now, t)
}

// cost returns the expected latency of the target's answer in seconds, plus the costs of crossing
// data centres, of a new connection and of a target without room.
func (s *Service) cost(now time.Time, r *Request, t *targetState) float64 {
	cost := t.expectedLatency(now, s.overallServiceTime) * (1 + tieBreak*s.random.Float64())
	if t.DataCentre != s.dataCentre {
		cost += min(time.Duration(r.Bytes)*crossDCCostPerByte, maxCrossDCCost).Seconds()
	}
	if t.needsNewConn(now) {
		cost += newConnCost * s.overallServiceTime
	}
	if s.statesLimit(t) {
		cost += limitedPenalty.Seconds()
	}
	if !t.hasRoom(now) {
		cost += noRoomPenalty.Seconds()
	}
	return cost
}

// sample returns the targets to compare: all of a small service, and random ones of a large one.
func (s *Service) sample() []*targetState {
	if len(s.choices) <= 2*sampleSize {
		return s.choices
	}
	chosen := make([]*targetState, 0, 2*sampleSize)
	chosen = s.appendSample(chosen, s.choices[:s.localChoices])
	return s.appendSample(chosen, s.choices[s.localChoices:])
}

// appendSample appends sampleSize random targets, with repetition, or all if there are not more.
func (s *Service) appendSample(chosen, from []*targetState) []*targetState {
	if len(from) <= sampleSize {
		return append(chosen, from...)
	}
	for range sampleSize {
		chosen = append(chosen, from[s.random.IntN(len(from))])
	}
	return chosen
}
