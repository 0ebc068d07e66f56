package dispatch

import "time"

const (
	// candidates is how many targets of a large service are compared for one request,
	// beside those of the own data centre: comparing all costs a router with hundreds of
	// targets more than the better choice brings.
	candidates = 8
	// tieBreak spreads routers over targets that look alike, in parts of the cost.
	tieBreak = 0.2
	// noRoomPenalty puts full targets behind all that have room.
	noRoomPenalty = 10 * time.Second
	// crossingPerByte is the time that a byte to or from another data centre counts for in
	// the choice of a target. With 12 us, answers of 5 kB stay unless 60 ms are to be gained:
	// a quarter fewer bytes cross than with 2.5 us, and as many answers are in time.
	crossingPerByte = 12 * time.Microsecond
	// maxCrossing bounds that for long bodies, which would else stay where they are late.
	maxCrossing = 150 * time.Millisecond
	// newConnShare is what a new connection counts for, in service times. It costs a round
	// trip and a part of a slot; and a router that stays with a few targets hears more often
	// from each how busy it is. Beside no such part, half of a service time makes a third
	// fewer connections, and answers that earned 0.906 of their worth earn 0.912 (mean of
	// five mixed loads and four seeds). With a whole one, slow targets are kept at low load.
	newConnShare = 0.5
)

// best returns the target from which the answer is expected first, or nil.
//
// It answers load that many routers put on few slots: the least expected time prefers
// fast targets in proportion, passes by those that fail or have just started, and leaves
// the own data centre where the way costs less than the wait.
func (s *Service) best(now time.Time, r *Request) *Load {
	var best *Load
	var least float64
	for _, l := range s.sample() {
		if l.Draining || l.away(now) || l.ID == r.Avoid && len(s.order) > 1 {
			continue
		}
		cost := s.cost(now, r, l)
		if best == nil || cost < least {
			best, least = l, cost
		}
	}
	return best
}

// cost is the time in seconds after which the target's answer is expected, with what its
// choice costs otherwise.
func (s *Service) cost(now time.Time, r *Request, l *Load) float64 {
	cost := l.expected(now, s.mean) * (1 + tieBreak*s.random.Float64())
	if l.DataCentre != s.dataCentre {
		cost += min(time.Duration(r.Bytes)*crossingPerByte, maxCrossing).Seconds()
	}
	if l.opens(now) {
		cost += newConnShare * s.mean
	}
	if !l.hasRoom(now) {
		cost += noRoomPenalty.Seconds()
	}
	return cost
}

// sample returns the targets to compare.
func (s *Service) sample() []*Load {
	if len(s.order) <= 2*candidates {
		return s.order
	}
	chosen := make([]*Load, 0, 2*candidates)
	chosen = s.draw(chosen, s.order[:s.near])
	return s.draw(chosen, s.order[s.near:])
}

func (s *Service) draw(chosen, from []*Load) []*Load {
	if len(from) <= candidates {
		return append(chosen, from...)
	}
	for range candidates {
		chosen = append(chosen, from[s.random.IntN(len(from))])
	}
	return chosen
}
