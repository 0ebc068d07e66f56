package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// maxPieces is into how many parts the keys that a target leaves behind are cut at
	// most, so that not one other target gets all of them.
	maxPieces = 8
	// moveGap is the difference of two targets' utilisation above which keys are moved;
	// below it the difference is mostly chance.
	moveGap = 0.12
	// sureGap is that difference in parts of its standard deviation by chance.
	sureGap = 2.0
	// moveShare is the part of half the difference that one move takes, less than all of
	// it so that what was chance is not moved back.
	moveShare = 0.8
	// tooLittle and tooMuch bound the load of a range that is moved, in parts of what is
	// wanted.
	tooLittle = 0.5
	tooMuch   = 1.5
	// atLeast is the least part that is moved where the holder's keys lie in many ranges of
	// which none has the wanted load.
	atLeast = 0.05
	// maxMoving bounds the ranges that are on their way at once.
	maxMoving = 8
	// defaultServiceTime is used for targets whose own is not known, in seconds.
	defaultServiceTime = 0.15
)

// Speeds gives the time that a target takes for a request, in seconds; zero where it is
// not known.
type Speeds func(target string) float64

// place is a target with the load that it has in a plan.
type place struct {
	*seat
	// cost is the part of the target's time that one request takes.
	cost float64
	load float64
}

func (p *place) utilisation() float64 { return p.load * p.cost }

// plan is the load of all targets that take keys.
type plan struct {
	heat  *Heat
	seats []*place
	byID  map[string]*place
	// taken are the first keys of the ranges that moves were decided for.
	taken []keyspace.Key
}

// takes reports whether a part of the range moves already.
func (p *plan) takes(s *span) bool {
	for _, k := range p.taken {
		if s.From <= k && k <= s.To {
			return true
		}
	}
	return false
}

// newPlan adds up what each target holds now. Keys that are on their way count for the
// target that they go to.
func (a *Assigner) newPlan(now time.Time) *plan { return a.planWith(now, nil) }

func (a *Assigner) planWith(now time.Time, speeds Speeds) *plan {
	a.heat.settle(now)
	p := &plan{heat: a.heat, byID: map[string]*place{}}
	for id, s := range a.seats {
		if !s.takes() {
			continue
		}
		at := &place{seat: s, cost: costOf(s, id, speeds)}
		p.seats = append(p.seats, at)
		p.byID[id] = at
	}
	sort.Slice(p.seats, func(i, j int) bool { return p.seats[i].target.ID < p.seats[j].target.ID })
	for i := range a.spans {
		s := &a.spans[i]
		holder := s.Target
		if s.Moving {
			holder = s.next
		}
		if at := p.byID[holder]; at != nil {
			at.load += a.heat.of(s.From, s.To)
		}
	}
	return p
}

func costOf(s *seat, id string, speeds Speeds) float64 {
	service := 0.0
	if speeds != nil {
		service = speeds(id)
	}
	if service <= 0 {
		service = defaultServiceTime
	}
	return service / float64(max(s.target.Slots, 1))
}

// least returns the seat with the least utilisation.
func (p *plan) least() *seat { return p.leastPlace().seat }

func (p *plan) leastPlace() *place {
	least := p.seats[0]
	for _, at := range p.seats[1:] {
		if at.utilisation() < least.utilisation() {
			least = at
		}
	}
	return least
}

func (p *plan) add(s *seat, from, to keyspace.Key) {
	if at := p.byID[s.target.ID]; at != nil {
		at.load += p.heat.of(from, to)
	}
}

// splitFree cuts free ranges into parts of the load that one target should get.
func (a *Assigner) splitFree(p *plan) {
	whole := a.heat.of(0, keyspace.LastKey)
	part := whole / float64(len(p.seats))
	for i := 0; i < len(a.spans); i++ {
		s := &a.spans[i]
		if s.Target != "" || s.next != "" || s.Len() < 2 {
			continue
		}
		load := a.heat.of(s.From, s.To)
		size := part
		if load < whole*0.99 {
			size = max(part/2, load/maxPieces)
		}
		if load <= size*1.2 {
			continue
		}
		last := a.heat.cut(s.From, s.To, size)
		if last < s.To {
			a.carve(i, s.From, last)
		}
	}
}

// Rebalance returns moves from the target with the highest utilisation to that with the
// least. rate is the requests a second that one remembered request stands for.
//
// It answers popular keys that lie close together and change within seconds: a range is
// cut where the load is, down to a single key, and the smallest range that evens two
// targets out is moved.
func (a *Assigner) Rebalance(now time.Time, speeds Speeds, rate float64) []Move {
	room := maxMoving - a.Moving()
	if room <= 0 {
		return nil
	}
	p := a.planWith(now, speeds)
	var moves []Move
	for range room {
		m, ok := a.oneMove(p, rate)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// oneMove returns the move that the busiest target gains most by. Where that one has no
// range that could be moved, because a single key is all of its load, the next one may.
func (a *Assigner) oneMove(p *plan, rate float64) (Move, bool) {
	if len(p.seats) < 2 {
		return Move{}, false
	}
	busiest := append([]*place(nil), p.seats...)
	sort.SliceStable(busiest, func(i, j int) bool { return busiest[i].utilisation() > busiest[j].utilisation() })
	cool := busiest[len(busiest)-1]
	for _, hot := range busiest {
		gap := hot.utilisation() - cool.utilisation()
		if gap*rate < moveGap || gap < sureGap*noise(hot, cool) {
			return Move{}, false
		}
		want := moveShare * gap / (hot.cost + cool.cost)
		from, to, load, ok := a.bestRange(p, hot.target.ID, want)
		if ok {
			p.taken = append(p.taken, from)
			hot.load -= load
			cool.load += load
			return Move{From: from, To: to, Target: cool.target.ID}, true
		}
	}
	return Move{}, false
}

// noise is the standard deviation of the difference of two targets' utilisation if requests
// come by chance.
func noise(a, b *place) float64 {
	return math.Sqrt(a.load*a.cost*a.cost + b.load*b.cost*b.cost)
}

// bestRange returns the smallest range of the holder's keys, at an end of one of its
// segments, whose load is near the wanted one, or the one with the most load below it. Of ranges of one load the one with fewer
// keys has the hot ones; the others would be moved for nothing.
func (a *Assigner) bestRange(p *plan, holder string, want float64) (from, to keyspace.Key, load float64, found bool) {
	least := int(keyspace.LastKey) + 2
	consider := func(f, t keyspace.Key) {
		l, keys := p.heat.of(f, t), int(t)-int(f)+1
		switch {
		case l > want*tooMuch:
		case l >= want*tooLittle && keys < least:
			from, to, load, found, least = f, t, l, true, keys
		case least > int(keyspace.LastKey)+1 && l > load && l >= want*atLeast:
			// Nothing near the wanted load so far: of what there is, the most.
			from, to, load, found = f, t, l, true
		}
	}
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target != holder || s.Moving || s.busy || !s.acked || p.takes(s) {
			continue
		}
		if p.heat.of(s.From, s.To) <= want*tooMuch {
			consider(s.From, s.To)
			continue
		}
		last := p.heat.cut(s.From, s.To, want)
		consider(s.From, last)
		if last > s.From {
			consider(s.From, last-1)
		}
		first := p.heat.cutBack(s.From, s.To, want)
		consider(first, s.To)
		if first < s.To {
			consider(first+1, s.To)
		}
	}
	return from, to, load, found
}

// cutBack returns the first key of the shortest range up to the last key that has the
// load, or the first key of the whole range.
func (h *Heat) cutBack(from, to keyspace.Key, load float64) keyspace.Key {
	n := sort.Search(int(to)-int(from), func(i int) bool {
		return h.of(to-keyspace.Key(i), to) >= load
	})
	return to - keyspace.Key(n)
}
