package balance

import "time"

// evacuate assigns new owners to units whose target may not own them, the units with the
// most load first, each to the target with the least load. Protected units stay until
// their work has ended, unless their owner is not among the targets, so that no work can
// be in flight.
func (p *planState) evacuate(limit int) []Move {
	var moves []Move
	order := sortedIndices(len(p.in.Units), func(i, j int) bool { return p.in.Units[i].Load > p.in.Units[j].Load })
	for _, u := range order {
		if len(moves) >= limit {
			break
		}
		from := p.owner[u]
		if from >= 0 && (p.mayOwn(u, from) || p.in.Units[u].Protected) {
			continue
		}
		to := p.leastLoaded(u)
		if to < 0 {
			continue
		}
		if from >= 0 {
			p.unassign(u)
		}
		p.assign(u, to)
		p.moved[u] = true
		moves = append(moves, Move{Unit: p.in.Units[u].Name, From: p.in.Units[u].Owner, To: p.in.Targets[to].Name, Forced: true})
	}
	return moves
}

// leastLoaded returns the allowed target with the least relative load, preferably in the
// data centre of the owner, or -1.
func (p *planState) leastLoaded(unit int) int {
	home := ""
	if t := p.owner[unit]; t >= 0 {
		home = p.in.Targets[t].DataCentre
	}
	best, bestCost := -1, 0.0
	load := p.in.Units[unit].Load
	for t := range p.in.Targets {
		if !p.mayOwn(unit, t) {
			continue
		}
		cost := p.relative(t, load) + float64(len(p.owned[t]))*1e-9
		if home != "" && p.in.Targets[t].DataCentre != home {
			cost += 1
		}
		if best < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// bestMove applies and returns the move with the greatest benefit per key moved, from a
// source above the mean. It tries the busiest source first, and the next one if no unit
// of it can move with a benefit.
func (p *planState) bestMove(now time.Time) (Move, bool) {
	byLoad := sortedIndices(len(p.in.Targets), func(i, j int) bool { return p.relative(i, 0) > p.relative(j, 0) })
	for _, from := range byLoad {
		if !p.isSource[from] || p.hasSplit[from] {
			continue
		}
		if p.relative(from, 0)-1 <= p.stop && p.overload(from, 0) == 0 {
			continue
		}
		if unit, to, benefit := p.bestMoveFrom(now, from); unit >= 0 {
			p.unassign(unit)
			p.assign(unit, to)
			p.moved[unit] = true
			return Move{
				Unit: p.in.Units[unit].Name, From: p.in.Targets[from].Name, To: p.in.Targets[to].Name, Benefit: benefit,
			}, true
		}
	}
	return Move{}, false
}

func (p *planState) bestMoveFrom(now time.Time, from int) (unit, to int, benefit float64) {
	unit, to = -1, -1
	candidates := p.leastLoadedTargets(from)
	for _, u := range p.owned[from] {
		if !p.movable(now, u) {
			continue
		}
		for _, t := range candidates {
			if !p.mayOwn(u, t) {
				continue
			}
			if gain := p.benefit(u, from, t) / p.keyShare(u); gain > benefit {
				unit, to, benefit = u, t, gain
			}
		}
	}
	return unit, to, benefit
}

// leastLoadedTargets returns the two least loaded targets of the same data centre and of
// the others, since for equal units no other target can be better. If Allowed restricts
// the targets it returns all eligible ones.
func (p *planState) leastLoadedTargets(from int) []int {
	const perGroup = 2
	var same, other []int
	order := sortedIndices(len(p.in.Targets), func(i, j int) bool { return p.relative(i, 0) < p.relative(j, 0) })
	for _, t := range order {
		if t == from || !p.in.Targets[t].Eligible {
			continue
		}
		if p.in.Targets[t].DataCentre == p.in.Targets[from].DataCentre {
			same = append(same, t)
		} else {
			other = append(other, t)
		}
	}
	if p.in.Allowed != nil {
		return append(same, other...)
	}
	return append(same[:min(perGroup, len(same))], other[:min(perGroup, len(other))]...)
}

func (p *planState) movable(now time.Time, unit int) bool {
	u := &p.in.Units[unit]
	if u.Protected || p.moved[unit] || u.Load <= 0 {
		return false
	}
	return u.Moved.IsZero() || now.Sub(u.Moved) >= p.cfg.CoolDown
}

// benefit returns the net benefit of a move by the service's weights: the decrease of the
// squared deviations from the mean and of the load above safe capacity, less the cost of
// the keys moved and of their time without service. It is at most zero if the move is
// not worth it.
func (p *planState) benefit(unit, from, to int) float64 {
	load := p.in.Units[unit].Load
	before := square(p.relative(from, 0)-1) + square(p.relative(to, 0)-1)
	after := square(p.relative(from, -load)-1) + square(p.relative(to, load)-1)
	overload := p.overload(from, 0) + p.overload(to, 0) - p.overload(from, -load) - p.overload(to, load)
	pause := load / p.in.Targets[from].Capacity * p.cfg.Pause.Seconds() / p.cfg.Horizon.Seconds()
	cost := p.weights.Churn*p.cfg.ChurnCost*p.keyShare(unit) + p.weights.Unavailable*pause
	if p.in.Targets[from].DataCentre != p.in.Targets[to].DataCentre {
		cost *= p.cfg.CrossCost
	}
	return p.weights.Imbalance*(before-after) + p.weights.Unavailable*overload - cost
}
