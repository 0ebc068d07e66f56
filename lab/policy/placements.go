package policy

import (
	"fmt"
	"slices"
	"strconv"

	"tarragongw/core/balance"
	"tarragongw/core/model"
)

// static leaves every unit where its hash put it.
type static struct{}

func (static) plan(*world) map[int]int { return nil }

// rebalancer is the router's own way.
type rebalancer struct {
	core    *balance.Rebalancer
	weights model.Weights
}

func ours(w model.Weights) placement {
	return &rebalancer{core: balance.NewRebalancer(balance.RebalanceConfig{}), weights: w}
}

func (r *rebalancer) plan(w *world) map[int]int {
	plan := r.core.Plan(epoch.Add(w.now), w.input(r.weights))
	index := make(map[string]int, len(w.units))
	for i, u := range w.units {
		index[u.name] = i
	}
	moves := make(map[int]int, len(plan.Moves))
	for _, m := range plan.Moves {
		to, _ := strconv.Atoi(m.To)
		moves[index[m.Unit]] = to
	}
	for _, s := range plan.Splits {
		w.split(s)
	}
	return moves
}

// boundedRing is consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018): units in order of hash go to the first target on the ring
// whose load stays within ringBound times the mean.
type boundedRing struct{ points []ringPoint }

type ringPoint struct {
	hash   uint64
	target int
}

const (
	ringBound  = 1.15
	ringPoints = 64
)

func (r *boundedRing) plan(w *world) map[int]int {
	if r.points == nil {
		r.build()
	}
	order := unitsBy(w, func(a, b int) int {
		return compareUint(w.units[a].hash, w.units[b].hash)
	})
	loads := make([]float64, rebalanceTargets)
	moves := map[int]int{}
	for _, u := range order {
		to := r.place(w.units[u].hash, w.units[u].estimate, loads)
		loads[to] += w.units[u].estimate
		if to != w.units[u].owner {
			moves[u] = to
		}
	}
	return moves
}

func (r *boundedRing) build() {
	for t := range rebalanceTargets {
		for p := range ringPoints {
			r.points = append(r.points, ringPoint{hash64(fmt.Sprint(t, "/", p)), t})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int { return compareUint(a.hash, b.hash) })
}

func (r *boundedRing) place(hash uint64, load float64, loads []float64) int {
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p ringPoint, h uint64) int { return compareUint(p.hash, h) })
	for i := range r.points {
		t := r.points[(start+i)%len(r.points)].target
		if loads[t]+load <= ringBound/rebalanceTargets {
			return t
		}
	}
	return slices.Index(loads, slices.Min(loads))
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// greedy moves the unit that evens out best from the busiest to the idlest target
// until nothing helps, each period, without a budget.
type greedy struct{}

func (greedy) plan(w *world) map[int]int {
	loads := make([]float64, rebalanceTargets)
	owners := make([]int, len(w.units))
	for i, u := range w.units {
		owners[i] = u.owner
		loads[u.owner] += u.estimate
	}
	moves := map[int]int{}
	for range len(w.units) {
		high, low := slices.Index(loads, slices.Max(loads)), slices.Index(loads, slices.Min(loads))
		best, gain := -1, 1e-6
		for i, u := range w.units {
			if owners[i] != high {
				continue
			}
			if g := min(u.estimate, loads[high]-loads[low]-u.estimate); g > gain {
				best, gain = i, g
			}
		}
		if best < 0 {
			break
		}
		load := w.units[best].estimate
		loads[high] -= load
		loads[low] += load
		owners[best] = low
		moves[best] = low
		if low == w.units[best].owner {
			delete(moves, best)
		}
	}
	return moves
}

// rankGuided places the most popular units by their rank alone, as far as the idea
// of Guo, Xie and Shi (2012) carries over to keys with one owner: the ranking is
// dealt over the targets, forth and back, and taken anew each period. The other
// units stay where their hash put them.
type rankGuided struct{}

// rankedUnits is how many units are placed by rank.
const rankedUnits = 256

func (rankGuided) plan(w *world) map[int]int {
	order := unitsBy(w, func(a, b int) int {
		switch {
		case w.units[a].estimate > w.units[b].estimate:
			return -1
		case w.units[a].estimate < w.units[b].estimate:
			return 1
		}
		return a - b
	})
	moves := map[int]int{}
	for rank, u := range order {
		to := rank % (2 * rebalanceTargets)
		if to >= rebalanceTargets {
			to = 2*rebalanceTargets - 1 - to
		}
		if rank >= rankedUnits {
			to = int(w.units[u].hash % rebalanceTargets)
		}
		if to != w.units[u].owner {
			moves[u] = to
		}
	}
	return moves
}

func unitsBy(w *world, compare func(a, b int) int) []int {
	order := make([]int, len(w.units))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, compare)
	return order
}
