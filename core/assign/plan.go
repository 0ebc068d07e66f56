package assign

import (
	"slices"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// maxParts bounds the number of parts that the keys of a departed target are split into,
	// so that they don't all go to one other target.
	maxParts = 8
	// minUtilisationGap is how much a target's utilisation must exceed its maximum before keys
	// are moved off it. Below that a move costs more than it gains.
	minUtilisationGap = 0.12
	// spareFactor sets the utilisation up to which hardly any request waits for a slot. The
	// spare capacity that this takes falls with the square root of the number of slots (Halfin
	// and Whitt).
	spareFactor = 0.8
	// spareFraction is the fraction of the mean spare capacity that targets may be filled with
	// beyond the mean utilisation.
	spareFraction = 0.25
	// maxOverfill is the fraction of its capacity that a target may be given in any case by a
	// busier one, because a single key may have more load than any target has to spare.
	maxOverfill = 0.25
	// minMoveFraction and maxMoveFraction bound the load of a range that is moved, relative to
	// the wanted load.
	minMoveFraction = 0.5
	maxMoveFraction = 1.5
	// minSmallMoveFraction is the least fraction of the wanted load worth moving if none of
	// the holder's many ranges has more.
	minSmallMoveFraction = 0.05
	// innerRangePenalty is the factor by which a range in the middle of another must have
	// fewer keys to be preferred to a range at an end, because moving it leaves one range more
	// behind.
	innerRangePenalty = 2
	// movesPerTarget and minConcurrentMoves bound the number of ranges that are moving at the
	// same time, by the number of targets.
	movesPerTarget     = 0.5
	minConcurrentMoves = 8
	// defaultServiceTime, in seconds, is used if no target's service time is known.
	defaultServiceTime = 0.15
)

// ServiceTimes returns a target's mean service time of a request in seconds, or zero if it is
// not known.
type ServiceTimes func(target string) float64

// candidateLoad is a target with its load in a plan.
type candidateLoad struct {
	*candidate
	// cost is the utilisation that a load of one request per second adds: the service time
	// divided by the number of slots.
	cost float64
	load float64
	// keyFraction is the fraction of all keys that the target has. hot reports whether its
	// load is higher than that fraction and chance explain.
	keyFraction float64
	hot         bool
	// cold reports whether the target is cold.
	cold bool
}

// utilisation is the fraction of the target that the load uses, divided by plan.rate.
func (t *candidateLoad) utilisation() float64 { return t.load * t.cost }

// plan is the load of all targets that accept keys.
type plan struct {
	loadTracker *LoadTracker
	candidates  []*candidateLoad
	byID        map[string]*candidateLoad
	// rate is the requests per second that one unit of load stands for. utilisationGoal is the
	// utilisation that every target may be filled to; 1/rate is a fully used target. Both are
	// set by setUtilisationGoal.
	rate, utilisationGoal float64
}

// newPlan sums the present load of each target. Keys that are moving count for the target that
// they move to.
func (a *Assigner) newPlan(now time.Time) *plan { return a.planWithServiceTimes(now, nil) }

// planWithServiceTimes is newPlan with service times that differ between targets.
func (a *Assigner) planWithServiceTimes(now time.Time, serviceTimes ServiceTimes) *plan {
	a.loadTracker.refresh(now)
	p := &plan{loadTracker: a.loadTracker, byID: map[string]*candidateLoad{}}
	mean := meanServiceTime(a.candidates, serviceTimes)
	for id, c := range a.candidates {
		if !c.acceptsKeys() {
			continue
		}
		t := &candidateLoad{candidate: c, cost: max(costOf(c, serviceTime(id, serviceTimes, mean)), c.limitCost()), cold: a.isCold(now, c)}
		p.candidates = append(p.candidates, t)
		p.byID[id] = t
	}
	p.removeCandidates(func(t *candidateLoad) bool { return t.tightlyLimited() })
	p.removeCandidates(func(t *candidateLoad) bool { return t.cold })
	sort.Slice(p.candidates, func(i, j int) bool { return p.candidates[i].target.ID < p.candidates[j].target.ID })
	for i := range a.spans {
		s := &a.spans[i]
		holder := s.Target
		if s.Moving {
			holder = s.nextTarget
		}
		if t := p.byID[holder]; t != nil {
			t.load += a.loadTracker.rangeLoad(s.From, s.To)
			t.keyFraction += keyFraction(s.From, s.To)
		}
	}
	return p
}

// removeCandidates removes the matching targets from those that may be given keys, unless all match.
func (p *plan) removeCandidates(matches func(t *candidateLoad) bool) {
	if others := slices.DeleteFunc(slices.Clone(p.candidates), matches); len(others) > 0 {
		p.candidates = others
	}
}

// accepts reports whether the target may be given keys.
func (p *plan) accepts(c *candidate) bool {
	return c.acceptsKeys() && slices.ContainsFunc(p.candidates, func(t *candidateLoad) bool { return t.candidate == c })
}

// meanServiceTime returns the mean of the known service times, in seconds.
func meanServiceTime(candidates map[string]*candidate, serviceTimes ServiceTimes) float64 {
	sum, known := 0.0, 0
	for id := range candidates {
		if t := serviceTime(id, serviceTimes, 0); t > 0 {
			sum += t
			known++
		}
	}
	if known == 0 {
		return defaultServiceTime
	}
	return sum / float64(known)
}

func serviceTime(id string, serviceTimes ServiceTimes, fallback float64) float64 {
	if serviceTimes == nil {
		return fallback
	}
	if t := serviceTimes(id); t > 0 {
		return t
	}
	return fallback
}

func costOf(c *candidate, serviceTime float64) float64 {
	return serviceTime / float64(max(c.target.Slots, 1))
}

// leastUtilised returns the candidate with the lowest utilisation; the target with the id avoid only if there is no other.
func (p *plan) leastUtilised(avoid string) *candidate {
	least := p.candidates[0]
	for _, t := range p.candidates[1:] {
		if least.target.ID == avoid || t.target.ID != avoid && t.utilisation() < least.utilisation() {
			least = t
		}
	}
	return least.candidate
}

func (p *plan) addLoad(c *candidate, from, to keyspace.Key) {
	if t := p.byID[c.target.ID]; t != nil {
		t.load += p.loadTracker.rangeLoad(from, to)
	}
}

// splitUnheld splits ranges without a holder into parts with the load that one target should
// get.
func (a *Assigner) splitUnheld(p *plan) {
	whole := a.loadTracker.rangeLoad(0, keyspace.LastKey)
	perTarget := whole / float64(len(p.candidates))
	for i := 0; i < len(a.spans); i++ {
		s := &a.spans[i]
		if s.Target != "" || s.nextTarget != "" || s.Len() < 2 {
			continue
		}
		size := perTarget
		if s.Len() <= int(keyspace.LastKey) {
			// Other targets hold keys already, so that a few of them get one part more each.
			size = max(perTarget/2, a.loadTracker.rangeLoad(s.From, s.To)/maxParts)
		}
		i += a.splitByLoad(i, size)
	}
}

// splitByLoad splits a range into parts with the given load and returns the number of ranges
// added.
func (a *Assigner) splitByLoad(i int, size float64) int {
	added, uniform := 0, &intervals{load: a.loadTracker.rangeLoad}
	for {
		s := &a.spans[i+added]
		last := uniform.prefixWithLoad(interval{s.From, s.To}, size)
		if last >= s.To || a.loadTracker.rangeLoad(s.From, s.To) <= size*1.2 {
			return added
		}
		a.splitOut(i+added, s.From, last)
		added++
	}
}
