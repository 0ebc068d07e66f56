package balance

import "time"

// evacuate assigns new owners to units whose target may not own them, the units with the
// most load first, each to the target with the least load. Protected units stay until
// their work has ended, unless their owner is not among the targets, so that no work can
// be in flight.
func (b *planState) evacuate(limit int) []Move {
	var moves []Move
	order := sortedIndices(len(b.in.Units), func(i, j int) bool { return b.in.Units[i].Load > b.in.Units[j].Load })
	for _, u := range order {
		if len(moves) >= limit {
			break
		}
		from := b.owner[u]
		if from >= 0 && (b.mayOwn(u, from) || b.in.Units[u].Protected) {
			continue
		}
		to := b.leastLoaded(u)
		if to < 0 {
			continue
		}
		if from >= 0 {
			b.unassign(u)
		}
		b.assign(u, to)
		b.moved[u] = true
		moves = append(moves, Move{Unit: b.in.Units[u].Name, From: b.in.Units[u].Owner, To: b.in.Targets[to].Name, Forced: true})
	}
	return moves
}

// leastLoaded returns the allowed target with the least relative load, preferably in the
// data centre of the owner, or -1.
func (b *planState) leastLoaded(unit int) int {
	home := ""
	if t := b.owner[unit]; t >= 0 {
		home = b.in.Targets[t].DataCentre
	}
	best, bestCost := -1, 0.0
	load := b.in.Units[unit].Load
	for t := range b.in.Targets {
		if !b.mayOwn(unit, t) {
			continue
		}
		cost := b.relative(t, load) + float64(len(b.owned[t]))*1e-9
		if home != "" && b.in.Targets[t].DataCentre != home {
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
func (b *planState) bestMove(now time.Time) (Move, bool) {
	byLoad := sortedIndices(len(b.in.Targets), func(i, j int) bool { return b.relative(i, 0) > b.relative(j, 0) })
	for _, from := range byLoad {
		if !b.isSource[from] || b.hasSplit[from] {
			continue
		}
		if b.relative(from, 0)-1 <= b.stop && b.overload(from, 0) == 0 {
			continue
		}
		if unit, to, benefit := b.bestMoveFrom(now, from); unit >= 0 {
			b.unassign(unit)
			b.assign(unit, to)
			b.moved[unit] = true
			return Move{
				Unit: b.in.Units[unit].Name, From: b.in.Targets[from].Name, To: b.in.Targets[to].Name, Benefit: benefit,
			}, true
		}
	}
	return Move{}, false
}

func (b *planState) bestMoveFrom(now time.Time, from int) (unit, to int, benefit float64) {
	unit, to = -1, -1
	candidates := b.leastLoadedTargets(from)
	for _, u := range b.owned[from] {
		if !b.movable(now, u) {
			continue
		}
		for _, t := range candidates {
			if !b.mayOwn(u, t) {
				continue
			}
			if gain := b.benefit(u, from, t) / b.keyShare(u); gain > benefit {
				unit, to, benefit = u, t, gain
			}
		}
	}
	return unit, to, benefit
}

// leastLoadedTargets returns the two least loaded targets of the same data centre and of
// the others, since for equal units no other target can be better. If Allowed restricts
// the targets it returns all eligible ones.
func (b *planState) leastLoadedTargets(from int) []int {
	const perGroup = 2
	var same, other []int
	order := sortedIndices(len(b.in.Targets), func(i, j int) bool { return b.relative(i, 0) < b.relative(j, 0) })
	for _, t := range order {
		if t == from || !b.in.Targets[t].Eligible {
			continue
		}
		if b.in.Targets[t].DataCentre == b.in.Targets[from].DataCentre {
			same = append(same, t)
		} else {
			other = append(other, t)
		}
	}
	if b.in.Allowed != nil {
		return append(same, other...)
	}
	return append(same[:min(perGroup, len(same))], other[:min(perGroup, len(other))]...)
}

func (b *planState) movable(now time.Time, unit int) bool {
	u := &b.in.Units[unit]
	if u.Protected || b.moved[unit] || u.Load <= 0 {
		return false
	}
	return u.Moved.IsZero() || now.Sub(u.Moved) >= b.cfg.CoolDown
}

// benefit returns the net benefit of a move by the service's weights: the decrease of the
// squared deviations from the mean and of the load above safe capacity, less the cost of
// the keys moved and of their time without service. It is at most zero if the move is
// not worth it.
func (b *planState) benefit(unit, from, to int) float64 {
	load := b.in.Units[unit].Load
	before := square(b.relative(from, 0)-1) + square(b.relative(to, 0)-1)
	after := square(b.relative(from, -load)-1) + square(b.relative(to, load)-1)
	overload := b.overload(from, 0) + b.overload(to, 0) - b.overload(from, -load) - b.overload(to, load)
	pause := load / b.in.Targets[from].Capacity * b.cfg.Pause.Seconds() / b.cfg.Horizon.Seconds()
	cost := b.weights.Churn*b.cfg.ChurnCost*b.keyShare(unit) + b.weights.Unavailable*pause
	if b.in.Targets[from].DataCentre != b.in.Targets[to].DataCentre {
		cost *= b.cfg.CrossCost
	}
	return b.weights.Imbalance*(before-after) + b.weights.Unavailable*overload - cost
}
