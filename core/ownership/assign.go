package ownership

import (
	"math"

	"tarragongw/core/routing"
)

// Candidate is a target that may own units.
type Candidate struct {
	Name string
	// Weight is the candidate's share relative to the others; it must be positive.
	Weight float64
}

// Placed is a unit with its current owner.
type Placed struct {
	Unit  routing.Unit
	Owner string
	// Eligible restricts the owners to these indexes of the candidates; nil means all.
	Eligible []int
}

// Move gives a unit to a target. From is empty where it had no owner.
type Move struct {
	Unit routing.Unit
	From string
	To   string
}

// Assign returns the moves that give every unit an eligible owner and balance the counts in
// proportion to the weights. A unit moves for two reasons only: its owner is not a
// candidate (or not eligible), which always moves it, or the move brings the most loaded
// target nearer to its share, which happens for at most budget units. The result depends on
// the arguments alone, so that routers which see the same records decide the same.
func Assign(units []Placed, candidates []Candidate, budget int) []Move {
	p := newPlacement(units, candidates)
	moves := p.placeUnowned(units)
	return append(moves, p.rebalance(units, budget)...)
}

type placement struct {
	candidates []Candidate
	index      map[string]int
	count      []int
	owner      []int
	held       [][]int
}

func newPlacement(units []Placed, candidates []Candidate) *placement {
	p := &placement{candidates: candidates, index: map[string]int{}, count: make([]int, len(candidates)),
		owner: make([]int, len(units)), held: make([][]int, len(candidates))}
	for i, c := range candidates {
		p.index[c.Name] = i
	}
	for i, u := range units {
		p.owner[i] = -1
		if c, ok := p.index[u.Owner]; ok && eligible(u, c) {
			p.give(i, c)
		}
	}
	return p
}

func (p *placement) give(unit, candidate int) {
	p.owner[unit] = candidate
	p.count[candidate]++
	p.held[candidate] = append(p.held[candidate], unit)
}

func eligible(u Placed, candidate int) bool {
	if u.Eligible == nil {
		return true
	}
	for _, e := range u.Eligible {
		if e == candidate {
			return true
		}
	}
	return false
}

// placeUnowned places the units without a valid owner.
func (p *placement) placeUnowned(units []Placed) []Move {
	var moves []Move
	for i, u := range units {
		if p.owner[i] >= 0 {
			continue
		}
		c := p.lowest(u)
		if c < 0 {
			continue
		}
		p.give(i, c)
		moves = append(moves, Move{Unit: u.Unit, From: u.Owner, To: p.candidates[c].Name})
	}
	return moves
}

// lowest returns the eligible candidate with the lowest load after it has received one more
// unit.
func (p *placement) lowest(u Placed) int {
	best, load := -1, math.Inf(1)
	for c := range p.candidates {
		l := float64(p.count[c]+1) / p.candidates[c].Weight
		if l < load && eligible(u, c) {
			best, load = c, l
		}
	}
	return best
}

// rebalance moves one unit at a time from the most loaded target to the one with most room,
// as long as the receiver ends up less loaded than the sender was.
func (p *placement) rebalance(units []Placed, budget int) []Move {
	var moves []Move
	fixed := make([]bool, len(p.candidates))
	for len(moves) < budget {
		from := p.highest(fixed)
		if from < 0 {
			return moves
		}
		at, to := p.movable(units, from)
		if to < 0 {
			fixed[from] = true
			continue
		}
		unit := p.held[from][at]
		p.held[from] = append(p.held[from][:at], p.held[from][at+1:]...)
		p.count[from]--
		p.give(unit, to)
		u := units[unit]
		moves = append(moves, Move{Unit: u.Unit, From: u.Owner, To: p.candidates[to].Name})
	}
	return moves
}

func (p *placement) highest(fixed []bool) int {
	best, load := -1, 0.0
	for c := range p.candidates {
		l := float64(p.count[c]) / p.candidates[c].Weight
		if !fixed[c] && l > load {
			best, load = c, l
		}
	}
	return best
}

// movable returns which of the units of the target from improves the balance most by
// moving, and its receiver. Units that this call of Assign has placed stay.
func (p *placement) movable(units []Placed, from int) (at, to int) {
	load := float64(p.count[from]) / p.candidates[from].Weight
	for at := len(p.held[from]) - 1; at >= 0; at-- {
		u := units[p.held[from][at]]
		if u.Owner != p.candidates[from].Name {
			continue
		}
		to := p.lowest(u)
		if to >= 0 && to != from && float64(p.count[to]+1)/p.candidates[to].Weight < load {
			return at, to
		}
		if u.Eligible == nil {
			return 0, -1
		}
	}
	return 0, -1
}
