package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

// Rebalance returns moves from overloaded targets to targets with spare capacity.
// requestsPerSample is the number of requests that one recorded request stands for.
//
// It handles two load patterns. Popular keys that lie close together and change within
// seconds: their range is split into as many parts as it takes targets to carry the load, down
// to single keys, and all parts move at once. Targets that are slower than others: they give
// keys away until they are as busy as the rest. Otherwise nothing moves, even if by chance the
// busiest of hundreds of targets looks overloaded.
func (a *Assigner) Rebalance(now time.Time, serviceTimes ServiceTimes, requestsPerSample float64) []Move {
	p := a.planWithServiceTimes(now, serviceTimes)
	if len(p.candidates) < 2 || requestsPerSample <= 0 {
		return nil
	}
	p.removeNoise(a.loadTracker.total())
	p.setUtilisationGoal(requestsPerSample * a.loadTracker.ratePerRequest())
	maxMoves := a.maxMoves(len(p.candidates)) - a.movesInProgress()
	var moves []Move
	for _, donor := range p.overloaded() {
		movable := a.movableKeys(donor)
		for len(moves) < maxMoves {
			m, ok := p.nextMove(donor, movable)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// removeNoise replaces each target's load by its expected load: the load of its fraction of
// the keys, plus the difference of its own load from that as far as it is more than chance.
// The busiest of n targets with equal load lies about sqrt(2 ln n) standard deviations above
// the mean.
//
// With hundreds of targets and a few dozen requests each, a slow target is thus found by its
// service time and its keys, whatever the noise of its load.
func (p *plan) removeNoise(total float64) {
	deviations := math.Sqrt(2 * math.Log(float64(len(p.candidates))))
	expected := func(t *candidateLoad) float64 { return total * t.keyFraction }
	noise := func(t *candidateLoad) float64 { return deviations * math.Sqrt(math.Max(expected(t), 1)) }
	// The excess load of hot ranges is not spread over the other targets' keys.
	hotExcess := 0.0
	for _, t := range p.candidates {
		if t.load > expected(t)+noise(t) {
			hotExcess += t.load - expected(t)
		}
	}
	total = math.Max(total-hotExcess, 0)
	for _, t := range p.candidates {
		switch difference := t.load - expected(t); {
		case difference > noise(t):
			t.load, t.hot = t.load-noise(t), true
		case difference < -noise(t):
			t.load += noise(t)
		default:
			t.load = expected(t)
		}
	}
}

// setUtilisationGoal sets the utilisation that targets may be filled to: slightly more than
// the mean of all, so that there is room for the load that must move.
func (p *plan) setUtilisationGoal(rate float64) {
	load, capacity := 0.0, 0.0
	for _, t := range p.candidates {
		load += t.load
		capacity += 1 / t.cost
	}
	meanCapacity := capacity / float64(len(p.candidates)) // what one target can do, in requests per second
	load -= p.loadTracker.unspreadable(meanCapacity / rate)
	p.rate, p.utilisationGoal = rate, load/capacity
	p.utilisationGoal += spareFraction * math.Max(1/rate-p.utilisationGoal, 0)
}

// maxUtilisation returns the utilisation up to which a target may be filled: the goal for all
// targets, or, if higher, the utilisation up to which hardly any request waits for one of its
// slots.
func (p *plan) maxUtilisation(t *candidateLoad) float64 {
	return math.Max(p.utilisationGoal, (1-spareFactor/math.Sqrt(float64(max(t.target.Slots, 1))))/p.rate)
}

// excessUtilisation returns how far a target's utilisation exceeds its maximum.
func (p *plan) excessUtilisation(t *candidateLoad) float64 {
	return t.utilisation() - p.maxUtilisation(t)
}

// overloaded returns the targets whose load exceeds their maximum by more than
// minUtilisationGap, the busiest first.
func (p *plan) overloaded() []*candidateLoad {
	var result []*candidateLoad
	for _, t := range p.candidates {
		if t.utilisation() > p.maxUtilisation(t)+minUtilisationGap/p.rate {
			result = append(result, t)
		}
	}
	sort.SliceStable(result, func(i, j int) bool { return p.excessUtilisation(result[i]) > p.excessUtilisation(result[j]) })
	return result
}

// nextMove returns a move that takes load off the donor, and updates the plan with it.
func (p *plan) nextMove(donor *candidateLoad, movable *intervals) (Move, bool) {
	excess := donor.load - p.maxUtilisation(donor)/donor.cost
	receiver, spare := p.mostSpare(donor)
	if receiver == nil {
		return Move{}, false
	}
	wantedLoad := math.Min(excess, math.Max(spare, maxOverfill/(receiver.cost*p.rate)))
	if wantedLoad*donor.cost*p.rate < minUtilisationGap/2 {
		return Move{}, false
	}
	from, to, load, ok := movable.bestToMove(wantedLoad)
	if !ok || donor.utilisation()-load*donor.cost < receiver.utilisation()+load*receiver.cost {
		return Move{}, false
	}
	movable.remove(from, to)
	donor.load -= load
	receiver.load += load
	return Move{From: from, To: to, Target: receiver.target.ID}, true
}

// mostSpare returns the target that can take the most load, and that load, in requests.
func (p *plan) mostSpare(donor *candidateLoad) (*candidateLoad, float64) {
	var best *candidateLoad
	bestSpare := math.Inf(-1)
	for _, t := range p.candidates {
		if spare := p.maxUtilisation(t)/t.cost - t.load; t != donor && spare > bestSpare {
			best, bestSpare = t, spare
		}
	}
	return best, bestSpare
}

// interval is a range of keys.
type interval struct{ from, to keyspace.Key }

// intervals are the keys of one holder that may be moved, with a function for the load of a
// range of them.
type intervals struct {
	ranges []interval
	load   func(from, to keyspace.Key) float64
	// tracker finds where the load is; scale converts its weight to load. tracker is nil if
	// the load is assumed to be spread evenly.
	tracker *LoadTracker
	scale   float64
}

// movableKeys returns the holder's ranges that are not moving, have no order in flight, and
// are granted.
func (a *Assigner) movableKeys(holder *candidateLoad) *intervals {
	movable := &intervals{load: func(from, to keyspace.Key) float64 { return holder.load / holder.keyFraction * keyFraction(from, to) }}
	weight := 0.0
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target != holder.target.ID {
			continue
		}
		weight += a.loadTracker.weight(s.From, s.To)
		if !s.Moving && !s.orderInFlight && s.acked {
			movable.ranges = append(movable.ranges, interval{s.From, s.To})
		}
	}
	if holder.hot {
		movable.tracker, movable.scale = a.loadTracker, weight/holder.load
		movable.load = func(from, to keyspace.Key) float64 { return a.loadTracker.weight(from, to) / movable.scale }
	}
	return movable
}

// remove takes a range out of the interval that contains it.
func (in *intervals) remove(from, to keyspace.Key) {
	var left []interval
	for _, i := range in.ranges {
		if from < i.from || to > i.to {
			left = append(left, i)
			continue
		}
		if i.from < from {
			left = append(left, interval{i.from, from - 1})
		}
		if to < i.to {
			left = append(left, interval{to + 1, i.to})
		}
	}
	in.ranges = left
}

// bestRange is the best range to move among those considered.
type bestRange struct {
	wantedLoad, load float64
	from, to         keyspace.Key
	// weightedKeys is the number of keys of the best range with about the wanted load, times
	// its weight in consider; zero if there is no such range yet.
	weightedKeys int
	found        bool
}

// consider takes a range if it has about the wanted load with fewer keys than any range
// before, or, while there is no such range, if it has the most load below the wanted one.
// keyWeight is how many times each key counts.
func (b *bestRange) consider(load float64, from, to keyspace.Key, keyWeight int) {
	weightedKeys := (int(to) - int(from) + 1) * keyWeight
	switch {
	case load > b.wantedLoad*maxMoveFraction:
	case load >= b.wantedLoad*minMoveFraction:
		if b.weightedKeys == 0 || weightedKeys < b.weightedKeys {
			b.from, b.to, b.load, b.weightedKeys, b.found = from, to, load, weightedKeys, true
		}
	case b.weightedKeys == 0 && load > b.load && load >= b.wantedLoad*minSmallMoveFraction:
		b.from, b.to, b.load, b.found = from, to, load, true
	}
}

// bestToMove returns the range with the fewest keys among those with about the wanted load, or
// else the range with the most load below that. Among ranges with equal load, the one with the
// fewest keys has the hot keys; the other keys would be moved for nothing.
func (in *intervals) bestToMove(wantedLoad float64) (from, to keyspace.Key, load float64, found bool) {
	best := &bestRange{wantedLoad: wantedLoad}
	consider := func(from, to keyspace.Key, keyWeight int) { best.consider(in.load(from, to), from, to, keyWeight) }
	for _, i := range in.ranges {
		if in.load(i.from, i.to) <= wantedLoad*maxMoveFraction {
			consider(i.from, i.to, 1)
			continue
		}
		last := in.prefixWithLoad(i, wantedLoad)
		consider(i.from, last, 1)
		if last > i.from {
			consider(i.from, last-1, 1)
		}
		first := in.suffixWithLoad(i, wantedLoad)
		consider(first, i.to, 1)
		if first < i.to {
			consider(first+1, i.to, 1)
		}
		if in.tracker == nil {
			continue
		}
		if f, t, ok := in.tracker.densestRange(i.from, i.to, wantedLoad*in.scale); ok {
			consider(f, t, innerRangePenalty)
		}
	}
	return best.from, best.to, best.load, best.found
}

// prefixWithLoad returns the last key of the shortest range that starts with the interval's
// first key and has the load, or the interval's last key if the interval has less.
func (in *intervals) prefixWithLoad(i interval, load float64) keyspace.Key {
	n := sort.Search(int(i.to)-int(i.from), func(n int) bool {
		return in.load(i.from, i.from+keyspace.Key(n)) >= load
	})
	return i.from + keyspace.Key(n)
}

// suffixWithLoad returns the first key of the shortest range that ends with the interval's
// last key and has the load, or the interval's first key if the interval has less.
func (in *intervals) suffixWithLoad(i interval, load float64) keyspace.Key {
	n := sort.Search(int(i.to)-int(i.from), func(n int) bool {
		return in.load(i.to-keyspace.Key(n), i.to) >= load
	})
	return i.to - keyspace.Key(n)
}
