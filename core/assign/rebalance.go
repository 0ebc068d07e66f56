package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

// Rebalance returns moves from targets that have too much load to those that have room. rate
// is the requests a second that one remembered request stands for.
//
// It answers two load patterns. Popular keys that lie close together and change within
// seconds: their range is cut into as many pieces as it takes targets to carry it, all of
// which move at once, down to single keys. And targets that are slower than others: they
// give keys away until they are as busy as the rest. Between them nothing moves, also where
// chance makes the busiest of hundreds of targets look busy.
func (a *Assigner) Rebalance(now time.Time, speeds Speeds, rate float64) []Move {
	p := a.planWith(now, speeds)
	if len(p.seats) < 2 || rate <= 0 {
		return nil
	}
	room := max(int(movingPerSeat*float64(len(p.seats))), minMoving) - a.Moving()
	fill := p.fill(rate)
	var moves []Move
	for _, d := range p.donors(fill, rate) {
		held := a.movable(d.target.ID)
		for len(moves) < room {
			m, ok := p.nextMove(d, held, fill, rate)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// fill is the utilisation that targets are to have at most, by their number of slots: the
// mean of all, or that up to which nobody waits.
func (p *plan) fill(rate float64) func(*place) float64 {
	load, capacity := 0.0, 0.0
	for _, at := range p.seats {
		load += at.load
		capacity += 1 / at.cost
	}
	usual := capacity / float64(len(p.seats)) // what one target can do, in requests
	load -= p.load.beyond(usual / rate)
	mean := load / capacity
	return func(at *place) float64 {
		return math.Max(mean, (1-staffing/math.Sqrt(float64(max(at.target.Slots, 1))))/rate)
	}
}

// donors returns the targets that have more load than they are to have, the busiest first.
//
// The difference must be more than chance. Of n targets with the same load the busiest lies
// about sqrt(2 ln n) standard deviations above the mean.
func (p *plan) donors(fill func(*place) float64, rate float64) []*place {
	deviations := math.Sqrt(2 * math.Log(float64(len(p.seats))))
	var all []*place
	for _, at := range p.seats {
		chance := deviations * math.Sqrt(at.load) * at.cost
		if at.utilisation() > fill(at)+math.Max(minGap/rate, chance) {
			all = append(all, at)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].utilisation()-fill(all[i]) > all[j].utilisation()-fill(all[j]) })
	return all
}

// nextMove returns a move that takes load off the donor, and counts it.
func (p *plan) nextMove(d *place, held *intervals, fill func(*place) float64, rate float64) (Move, bool) {
	excess := d.load - fill(d)/d.cost
	receiver, room := p.roomiest(d, fill)
	want := math.Min(excess, room)
	if receiver == nil || want*d.cost*rate < minGap/2 {
		return Move{}, false
	}
	from, to, load, ok := held.best(p.load, want)
	if !ok {
		return Move{}, false
	}
	held.remove(from, to)
	d.load -= load
	receiver.load += load
	return Move{From: from, To: to, Target: receiver.target.ID}, true
}

// roomiest returns the target that can take the most load, and how much, in requests.
func (p *plan) roomiest(donor *place, fill func(*place) float64) (*place, float64) {
	var most *place
	room := 0.0
	for _, at := range p.seats {
		if r := fill(at)/at.cost - at.load; at != donor && r > room {
			most, room = at, r
		}
	}
	return most, room
}

// interval is a range of keys.
type interval struct{ from, to keyspace.Key }

// intervals are the keys of one holder that may be moved.
type intervals struct{ all []interval }

// movable returns the holder's keys that are at rest.
func (a *Assigner) movable(holder string) *intervals {
	held := &intervals{}
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == holder && !s.Moving && !s.busy && s.acked {
			held.all = append(held.all, interval{s.From, s.To})
		}
	}
	return held
}

// remove takes a range out of the interval that has it.
func (in *intervals) remove(from, to keyspace.Key) {
	var left []interval
	for _, i := range in.all {
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
	in.all = left
}

// choice is the range that is best to move of those considered.
type choice struct {
	want, load float64
	from, to   keyspace.Key
	// keys is the number of keys of a range that has about the wanted load; zero while
	// there is none.
	keys  int
	found bool
}

// consider takes a range if it has about the wanted load on fewer keys than any before, or
// the most load below that while there is none; fewer counts each key so many times.
func (c *choice) consider(l *LoadTracker, from, to keyspace.Key, times int) {
	load, keys := l.of(from, to), (int(to)-int(from)+1)*times
	switch {
	case load > c.want*tooMuch:
	case load >= c.want*tooLittle:
		if c.keys == 0 || keys < c.keys {
			c.from, c.to, c.load, c.keys, c.found = from, to, load, keys, true
		}
	case c.keys == 0 && load > c.load && load >= c.want*atLeast:
		c.from, c.to, c.load, c.found = from, to, load, true
	}
}

// best returns the range with the fewest keys whose load is near the wanted one, or the one
// with the most load below it. Of ranges of one load the one with fewer keys has the hot
// ones; the others would be moved for nothing.
func (in *intervals) best(l *LoadTracker, want float64) (from, to keyspace.Key, load float64, found bool) {
	c := &choice{want: want}
	for _, i := range in.all {
		if l.of(i.from, i.to) <= want*tooMuch {
			c.consider(l, i.from, i.to, 1)
			continue
		}
		last := l.cut(i.from, i.to, want)
		c.consider(l, i.from, last, 1)
		if last > i.from {
			c.consider(l, i.from, last-1, 1)
		}
		first := l.cutBack(i.from, i.to, want)
		c.consider(l, first, i.to, 1)
		if first < i.to {
			c.consider(l, first+1, i.to, 1)
		}
		if f, t, ok := l.tightest(i.from, i.to, want); ok {
			c.consider(l, f, t, innerGain)
		}
	}
	return c.from, c.to, c.load, c.found
}
