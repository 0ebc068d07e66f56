package assign

import (
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// maxPieces is into how many parts the keys that a target leaves behind are cut at
	// most, so that not one other target gets all of them.
	maxPieces = 8
	// minGap is by how much a target's utilisation must exceed what it is to have for its
	// keys to be moved; below it a move costs more than it brings.
	minGap = 0.12
	// staffing sets the utilisation up to which hardly a request waits for a slot: the spare
	// part falls with the square root of the slots (Halfin and Whitt).
	staffing = 0.8
	// spareShare is the part of what is spare on average that a target may be filled with.
	spareShare = 0.25
	// overfill is what a target may get in any case from one that is busier still, in parts of
	// what it can do: a single key may be more than what is spare anywhere.
	overfill = 0.25
	// tooLittle and tooMuch bound the load of a range that is moved, in parts of what is
	// wanted.
	tooLittle = 0.5
	tooMuch   = 1.5
	// atLeast is the least part that is moved where the holder's keys lie in many ranges of
	// which none has the wanted load.
	atLeast = 0.05
	// innerGain is how many times fewer keys a range in the middle of another must have to
	// be moved rather than one at an end: it leaves one range more behind.
	innerGain = 2
	// movingPerTarget and minMoving bound the ranges that are on their way at once, by the
	// number of targets.
	movingPerTarget = 0.5
	minMoving       = 8
	// defaultServiceTime is used where no target's own is known, in seconds.
	defaultServiceTime = 0.15
)

// Speeds gives the time that a target takes for a request, in seconds; zero where it is
// not known.
type Speeds func(target string) float64

// candidateLoad is a target with the load that it has in a plan.
type candidateLoad struct {
	*candidate
	// cost is the part of the target's time that one request takes.
	cost float64
	load float64
	// keys is the target's part of all keys, and hot says that its load is more than that
	// part and chance explain.
	keys float64
	hot  bool
}

func (p *candidateLoad) utilisation() float64 { return p.load * p.cost }

// plan is the load of all targets that take keys.
type plan struct {
	load       *LoadTracker
	candidates []*candidateLoad
	byID       map[string]*candidateLoad
	// rate is the requests a second that one of load stands for, and mean the utilisation up
	// to which all targets may be filled; both are set by prepare.
	rate, mean float64
}

// newPlan adds up what each target holds now. Keys that are on their way count for the
// target that they go to.
func (a *Assigner) newPlan(now time.Time) *plan { return a.planWith(now, nil) }

func (a *Assigner) planWith(now time.Time, speeds Speeds) *plan {
	a.load.expire(now)
	p := &plan{load: a.load, byID: map[string]*candidateLoad{}}
	usual := usualServiceTime(a.candidates, speeds)
	for id, s := range a.candidates {
		if !s.takes() {
			continue
		}
		at := &candidateLoad{candidate: s, cost: costOf(s, serviceTime(id, speeds, usual))}
		p.candidates = append(p.candidates, at)
		p.byID[id] = at
	}
	sort.Slice(p.candidates, func(i, j int) bool { return p.candidates[i].target.ID < p.candidates[j].target.ID })
	for i := range a.spans {
		s := &a.spans[i]
		holder := s.Target
		if s.Moving {
			holder = s.next
		}
		if at := p.byID[holder]; at != nil {
			at.load += a.load.of(s.From, s.To)
			at.keys += partOf(s.From, s.To)
		}
	}
	return p
}

// usualServiceTime is the mean of those that are known, in seconds.
func usualServiceTime(candidates map[string]*candidate, speeds Speeds) float64 {
	sum, known := 0.0, 0
	for id := range candidates {
		if t := serviceTime(id, speeds, 0); t > 0 {
			sum += t
			known++
		}
	}
	if known == 0 {
		return defaultServiceTime
	}
	return sum / float64(known)
}

func serviceTime(id string, speeds Speeds, usual float64) float64 {
	if speeds == nil {
		return usual
	}
	if t := speeds(id); t > 0 {
		return t
	}
	return usual
}

func costOf(s *candidate, serviceTime float64) float64 {
	return serviceTime / float64(max(s.target.Slots, 1))
}

// least returns the candidate with the least utilisation.
func (p *plan) least() *candidate {
	least := p.candidates[0]
	for _, at := range p.candidates[1:] {
		if at.utilisation() < least.utilisation() {
			least = at
		}
	}
	return least.candidate
}

func (p *plan) add(s *candidate, from, to keyspace.Key) {
	if at := p.byID[s.target.ID]; at != nil {
		at.load += p.load.of(from, to)
	}
}

// splitFree cuts free ranges into parts of the load that one target should get.
func (a *Assigner) splitFree(p *plan) {
	whole := a.load.of(0, keyspace.LastKey)
	part := whole / float64(len(p.candidates))
	for i := 0; i < len(a.spans); i++ {
		s := &a.spans[i]
		if s.Target != "" || s.next != "" || s.Len() < 2 {
			continue
		}
		size := part
		if s.Len() <= int(keyspace.LastKey) {
			// Others hold keys already: a few targets get a part more each.
			size = max(part/2, a.load.of(s.From, s.To)/maxPieces)
		}
		i += a.cutUp(i, size)
	}
}

// cutUp cuts a range into parts of the load, and returns how many more ranges there are.
func (a *Assigner) cutUp(i int, size float64) int {
	more, whole := 0, &intervals{load: a.load.of}
	for {
		s := &a.spans[i+more]
		last := whole.cut(interval{s.From, s.To}, size)
		if last >= s.To || a.load.of(s.From, s.To) <= size*1.2 {
			return more
		}
		a.carve(i+more, s.From, last)
		more++
	}
}
