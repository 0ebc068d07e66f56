package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

// Rebalance returns moves from targets that have too much load to those that have room.
// unseen is how many requests one that was noted stands for.
//
// It answers two load patterns. Popular keys that lie close together and change within
// seconds: their range is cut into as many pieces as it takes targets to carry it, all of
// which move at once, down to single keys. And targets that are slower than others: they
// give keys away until they are as busy as the rest. Between them nothing moves, also where
// chance makes the busiest of hundreds of targets look busy.
func (a *Assigner) Rebalance(now time.Time, speeds Speeds, unseen float64) []Move {
	p := a.planWith(now, speeds)
	if len(p.candidates) < 2 || unseen <= 0 {
		return nil
	}
	p.expect(a.load.total())
	p.prepare(unseen * a.load.rate())
	room := max(int(movingPerTarget*float64(len(p.candidates))), minMoving) - a.Moving()
	var moves []Move
	for _, d := range p.donors() {
		held := a.movable(d)
		for len(moves) < room {
			m, ok := p.nextMove(d, held)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// expect replaces each target's load by what is to be expected of it: that of its part of
// the keys, and what its own differs from that by more than chance. Of n targets with the
// same load the busiest lies about sqrt(2 ln n) standard deviations above the mean.
//
// It answers hundreds of targets with some dozen requests each: a slow one is found by its
// speed and its keys, and not put off by the noise of their load.
func (p *plan) expect(total float64) {
	deviations := math.Sqrt(2 * math.Log(float64(len(p.candidates))))
	even := func(at *candidateLoad) float64 { return total * at.keys }
	chance := func(at *candidateLoad) float64 { return deviations * math.Sqrt(math.Max(even(at), 1)) }
	// What hot ranges have beyond their part doesn't lie on the others' keys.
	beyond := 0.0
	for _, at := range p.candidates {
		if at.load > even(at)+chance(at) {
			beyond += at.load - even(at)
		}
	}
	total = math.Max(total-beyond, 0)
	for _, at := range p.candidates {
		switch difference := at.load - even(at); {
		case difference > chance(at):
			at.load, at.hot = at.load-chance(at), true
		case difference < -chance(at):
			at.load += chance(at)
		default:
			at.load = even(at)
		}
	}
}

// prepare sets what fill rests on: a little more than the mean of all, so that there is room
// for what must move.
func (p *plan) prepare(rate float64) {
	load, capacity := 0.0, 0.0
	for _, at := range p.candidates {
		load += at.load
		capacity += 1 / at.cost
	}
	usual := capacity / float64(len(p.candidates)) // what one target can do, in requests
	load -= p.load.beyond(usual / rate)
	p.rate, p.mean = rate, load/capacity
	p.mean += spareShare * math.Max(1/rate-p.mean, 0)
}

// fill is the utilisation that a target is to have at most: that of all, or that up to which
// nobody waits for one of its slots.
func (p *plan) fill(at *candidateLoad) float64 {
	return math.Max(p.mean, (1-staffing/math.Sqrt(float64(max(at.target.Slots, 1))))/p.rate)
}

// overshoot is by how much a target's utilisation exceeds what it is to have.
func (p *plan) overshoot(at *candidateLoad) float64 { return at.utilisation() - p.fill(at) }

// donors returns the targets that have more load than they are to have, the busiest first.
func (p *plan) donors() []*candidateLoad {
	var all []*candidateLoad
	for _, at := range p.candidates {
		if at.utilisation() > p.fill(at)+minGap/p.rate {
			all = append(all, at)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return p.overshoot(all[i]) > p.overshoot(all[j]) })
	return all
}

// nextMove returns a move that takes load off the donor, and counts it.
func (p *plan) nextMove(d *candidateLoad, held *intervals) (Move, bool) {
	excess := d.load - p.fill(d)/d.cost
	receiver, room := p.roomiest(d)
	if receiver == nil {
		return Move{}, false
	}
	want := math.Min(excess, math.Max(room, overfill/(receiver.cost*p.rate)))
	if want*d.cost*p.rate < minGap/2 {
		return Move{}, false
	}
	from, to, load, ok := held.best(want)
	if !ok || d.utilisation()-load*d.cost < receiver.utilisation()+load*receiver.cost {
		return Move{}, false
	}
	held.remove(from, to)
	d.load -= load
	receiver.load += load
	return Move{From: from, To: to, Target: receiver.target.ID}, true
}

// roomiest returns the target that can take the most load, and how much, in requests.
func (p *plan) roomiest(donor *candidateLoad) (*candidateLoad, float64) {
	var most *candidateLoad
	room := math.Inf(-1)
	for _, at := range p.candidates {
		if r := p.fill(at)/at.cost - at.load; at != donor && r > room {
			most, room = at, r
		}
	}
	return most, room
}

// interval is a range of keys.
type interval struct{ from, to keyspace.Key }

// intervals are the keys of one holder that may be moved, and the load of a range of them.
type intervals struct {
	all  []interval
	load func(from, to keyspace.Key) float64
	// tracker finds where the load is, one request of which has so much weight there; nil
	// where the load is taken to lie evenly.
	tracker *LoadTracker
	scale   float64
}

// movable returns the holder's keys that are at rest.
func (a *Assigner) movable(d *candidateLoad) *intervals {
	held := &intervals{load: func(from, to keyspace.Key) float64 { return d.load / d.keys * partOf(from, to) }}
	weight := 0.0
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target != d.target.ID {
			continue
		}
		weight += a.load.weight(s.From, s.To)
		if !s.Moving && !s.busy && s.acked {
			held.all = append(held.all, interval{s.From, s.To})
		}
	}
	if d.hot {
		held.tracker, held.scale = a.load, weight/d.load
		held.load = func(from, to keyspace.Key) float64 { return a.load.weight(from, to) / held.scale }
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
func (c *choice) consider(load float64, from, to keyspace.Key, times int) {
	keys := (int(to) - int(from) + 1) * times
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
func (in *intervals) best(want float64) (from, to keyspace.Key, load float64, found bool) {
	c := &choice{want: want}
	consider := func(from, to keyspace.Key, times int) { c.consider(in.load(from, to), from, to, times) }
	for _, i := range in.all {
		if in.load(i.from, i.to) <= want*tooMuch {
			consider(i.from, i.to, 1)
			continue
		}
		last := in.cut(i, want)
		consider(i.from, last, 1)
		if last > i.from {
			consider(i.from, last-1, 1)
		}
		first := in.cutBack(i, want)
		consider(first, i.to, 1)
		if first < i.to {
			consider(first+1, i.to, 1)
		}
		if in.tracker == nil {
			continue
		}
		if f, t, ok := in.tracker.tightest(i.from, i.to, want*in.scale); ok {
			consider(f, t, innerGain)
		}
	}
	return c.from, c.to, c.load, c.found
}

// cut returns the last key of the shortest range from the interval's first key on that has
// the load, or the interval's last key.
func (in *intervals) cut(i interval, load float64) keyspace.Key {
	n := sort.Search(int(i.to)-int(i.from), func(n int) bool {
		return in.load(i.from, i.from+keyspace.Key(n)) >= load
	})
	return i.from + keyspace.Key(n)
}

// cutBack returns the first key of the shortest range up to the interval's last key that has
// the load, or the interval's first key.
func (in *intervals) cutBack(i interval, load float64) keyspace.Key {
	n := sort.Search(int(i.to)-int(i.from), func(n int) bool {
		return in.load(i.to-keyspace.Key(n), i.to) >= load
	})
	return i.to - keyspace.Key(n)
}
