package balance

import (
	"math"

	"tarragongw/core/model"
)

// planState is the working state while one plan is computed.
type planState struct {
	cfg     RebalanceConfig
	in      Input
	weights model.Weights
	// index maps target names to positions in in.Targets; load is by that position.
	index map[string]int
	load  []float64
	// owned lists the units of each target, as positions in in.Units.
	owned [][]int
	// owner is the position of the target that owns each unit, or -1.
	owner []int
	moved []bool
	// mean is the total load divided by the total capacity of eligible targets.
	mean float64
	// meanKeys is the number of keys assumed for a unit whose number is unknown, evenKeys
	// a target's even share of all keys.
	meanKeys, evenKeys float64
	// isSource marks the targets from which units may be moved to balance load.
	isSource []bool
	// hasSplit marks the targets that own a unit with a proposed split.
	hasSplit []bool
	// start and stop are the hysteresis, widened according to the service's weights.
	start, stop float64
}

func newPlanState(cfg RebalanceConfig, in Input) *planState {
	b := &planState{
		cfg: cfg, in: in, weights: normalizeWeights(in.Weights),
		index: make(map[string]int, len(in.Targets)),
		load:  make([]float64, len(in.Targets)),
		owned: make([][]int, len(in.Targets)),
		owner: make([]int, len(in.Units)),
		moved: make([]bool, len(in.Units)),

		isSource: make([]bool, len(in.Targets)),
		hasSplit: make([]bool, len(in.Targets)),
	}
	capacity, total := 0.0, 0.0
	for i, t := range in.Targets {
		b.index[t.Name] = i
		if t.Eligible {
			capacity += t.Capacity
		}
	}
	for u := range in.Units {
		b.owner[u] = -1
		total += in.Units[u].Load
		if t, known := b.index[in.Units[u].Owner]; known {
			b.assign(u, t)
		}
	}
	if capacity > 0 {
		b.mean = total / capacity
	}
	b.computeKeyMeans()
	b.setHysteresis()
	return b
}

func (b *planState) setHysteresis() {
	widening := 1.0
	if b.weights.Imbalance > 0 {
		widening = math.Sqrt(max(b.weights.Churn/b.weights.Imbalance, 1))
	}
	b.start = max(b.cfg.Start, min(b.cfg.Start*widening, MaxStart))
	b.stop = min(b.cfg.Stop*widening, b.start)
}

func (b *planState) computeKeyMeans() {
	known, sum, eligible := 0, 0.0, 0
	for u := range b.in.Units {
		if b.in.Units[u].Keys > 0 {
			known++
			sum += b.in.Units[u].Keys
		}
	}
	for t := range b.in.Targets {
		if b.in.Targets[t].Eligible {
			eligible++
		}
	}
	b.meanKeys = 1
	if known > 0 {
		b.meanKeys = sum / float64(known)
	}
	all := sum + b.meanKeys*float64(len(b.in.Units)-known)
	b.evenKeys = max(all/float64(max(eligible, 1)), b.meanKeys)
}

// keyShare returns the unit's number of keys as a fraction of a target's even share. Tiny
// units count as minKeyFraction of a mean unit, since each move has a fixed cost.
func (b *planState) keyShare(unit int) float64 {
	keys := b.in.Units[unit].Keys
	if keys <= 0 {
		keys = b.meanKeys
	}
	return max(keys, minKeyFraction*b.meanKeys) / b.evenKeys
}

func (b *planState) assign(unit, target int) {
	b.owner[unit] = target
	b.load[target] += b.in.Units[unit].Load
	b.owned[target] = append(b.owned[target], unit)
}

func (b *planState) unassign(unit int) {
	target := b.owner[unit]
	b.owner[unit] = -1
	b.load[target] -= b.in.Units[unit].Load
	list := b.owned[target]
	for i, u := range list {
		if u == unit {
			b.owned[target] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// relative returns a target's load, plus extra, divided by its even share of the total
// load.
func (b *planState) relative(target int, extra float64) float64 {
	if b.mean == 0 {
		return 0
	}
	return (b.load[target] + extra) / (b.in.Targets[target].Capacity * b.mean)
}

// maxExcess returns how far the busiest eligible target is above the mean.
func (b *planState) maxExcess() float64 {
	highest := 0.0
	for t := range b.in.Targets {
		if b.in.Targets[t].Eligible {
			highest = max(highest, b.relative(t, 0))
		}
	}
	if highest == 0 {
		return 0
	}
	return highest - 1
}

func (b *planState) mayOwn(unit, target int) bool {
	t := &b.in.Targets[target]
	return t.Eligible && (b.in.Allowed == nil || b.in.Allowed(&b.in.Units[unit], t))
}

// overload returns the fraction of a target's capacity by which its load, plus extra,
// exceeds what it can serve without a growing queue. If all targets together are
// overloaded no move can help, and it returns zero.
func (b *planState) overload(target int, extra float64) float64 {
	if b.mean >= b.cfg.SafeLoad {
		return 0
	}
	return max((b.load[target]+extra)/b.in.Targets[target].Capacity-b.cfg.SafeLoad, 0)
}

func square(x float64) float64 { return x * x }

// splits proposes single-key overrides for keys that dominate their unit and have so much
// load that the rest of the unit should be able to move elsewhere. No unit of their
// owners is moved for balance in the same plan: moving the key alone is the better move,
// and units moved before it would have to be moved back afterwards.
func (b *planState) splits(cfg RebalanceConfig) []Split {
	var splits []Split
	for i := range b.in.Units {
		u := &b.in.Units[i]
		if len(splits) >= cfg.Splits {
			break
		}
		if u.Single || u.Protected || u.HotKey == "" || u.Load <= 0 || b.mean == 0 || b.owner[i] < 0 {
			continue
		}
		if u.HotLoad >= cfg.SplitShare*u.Load && u.HotLoad >= cfg.SplitLoad*b.mean*b.meanCapacity() {
			splits = append(splits, Split{Unit: u.Name, Key: u.HotKey, Load: u.HotLoad})
			b.hasSplit[b.owner[i]] = true
		}
	}
	return splits
}

func (b *planState) meanCapacity() float64 {
	capacity, n := 0.0, 0
	for _, t := range b.in.Targets {
		if t.Eligible {
			capacity += t.Capacity
			n++
		}
	}
	return capacity / float64(max(n, 1))
}
