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
	p := &planState{
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
		p.index[t.Name] = i
		if t.Eligible {
			capacity += t.Capacity
		}
	}
	for u := range in.Units {
		p.owner[u] = -1
		total += in.Units[u].Load
		if t, known := p.index[in.Units[u].Owner]; known {
			p.assign(u, t)
		}
	}
	if capacity > 0 {
		p.mean = total / capacity
	}
	p.computeKeyMeans()
	p.setHysteresis()
	return p
}

func (p *planState) setHysteresis() {
	widening := 1.0
	if p.weights.Imbalance > 0 {
		widening = math.Sqrt(max(p.weights.Churn/p.weights.Imbalance, 1))
	}
	p.start = max(p.cfg.Start, min(p.cfg.Start*widening, MaxStart))
	p.stop = min(p.cfg.Stop*widening, p.start)
}

func (p *planState) computeKeyMeans() {
	known, sum, eligible := 0, 0.0, 0
	for u := range p.in.Units {
		if p.in.Units[u].Keys > 0 {
			known++
			sum += p.in.Units[u].Keys
		}
	}
	for t := range p.in.Targets {
		if p.in.Targets[t].Eligible {
			eligible++
		}
	}
	p.meanKeys = 1
	if known > 0 {
		p.meanKeys = sum / float64(known)
	}
	all := sum + p.meanKeys*float64(len(p.in.Units)-known)
	p.evenKeys = max(all/float64(max(eligible, 1)), p.meanKeys)
}

// keyShare returns the unit's number of keys as a fraction of a target's even share. Tiny
// units count as minKeyFraction of a mean unit, since each move has a fixed cost.
func (p *planState) keyShare(unit int) float64 {
	keys := p.in.Units[unit].Keys
	if keys <= 0 {
		keys = p.meanKeys
	}
	return max(keys, minKeyFraction*p.meanKeys) / p.evenKeys
}

func (p *planState) assign(unit, target int) {
	p.owner[unit] = target
	p.load[target] += p.in.Units[unit].Load
	p.owned[target] = append(p.owned[target], unit)
}

func (p *planState) unassign(unit int) {
	target := p.owner[unit]
	p.owner[unit] = -1
	p.load[target] -= p.in.Units[unit].Load
	list := p.owned[target]
	for i, u := range list {
		if u == unit {
			p.owned[target] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// relative returns a target's load, plus extra, divided by its even share of the total
// load.
func (p *planState) relative(target int, extra float64) float64 {
	if p.mean == 0 {
		return 0
	}
	return (p.load[target] + extra) / (p.in.Targets[target].Capacity * p.mean)
}

// maxExcess returns how far the busiest eligible target is above the mean.
func (p *planState) maxExcess() float64 {
	highest := 0.0
	for t := range p.in.Targets {
		if p.in.Targets[t].Eligible {
			highest = max(highest, p.relative(t, 0))
		}
	}
	if highest == 0 {
		return 0
	}
	return highest - 1
}

func (p *planState) mayOwn(unit, target int) bool {
	t := &p.in.Targets[target]
	return t.Eligible && (p.in.Allowed == nil || p.in.Allowed(&p.in.Units[unit], t))
}

// overload returns the fraction of a target's capacity by which its load, plus extra,
// exceeds what it can serve without a growing queue. If all targets together are
// overloaded no move can help, and it returns zero.
func (p *planState) overload(target int, extra float64) float64 {
	if p.mean >= p.cfg.SafeLoad {
		return 0
	}
	return max((p.load[target]+extra)/p.in.Targets[target].Capacity-p.cfg.SafeLoad, 0)
}

func square(x float64) float64 { return x * x }

// splits proposes single-key overrides for keys that dominate their unit and have so much
// load that the rest of the unit should be able to move elsewhere. No unit of their
// owners is moved for balance in the same plan: moving the key alone is the better move,
// and units moved before it would have to be moved back afterwards.
func (p *planState) splits(cfg RebalanceConfig) []Split {
	var splits []Split
	for i := range p.in.Units {
		u := &p.in.Units[i]
		if len(splits) >= cfg.Splits {
			break
		}
		if u.Single || u.Protected || u.HotKey == "" || u.Load <= 0 || p.mean == 0 || p.owner[i] < 0 {
			continue
		}
		if u.HotLoad >= cfg.SplitShare*u.Load && u.HotLoad >= cfg.SplitLoad*p.mean*p.meanCapacity() {
			splits = append(splits, Split{Unit: u.Name, Key: u.HotKey, Load: u.HotLoad})
			p.hasSplit[p.owner[i]] = true
		}
	}
	return splits
}

func (p *planState) meanCapacity() float64 {
	capacity, n := 0.0, 0
	for _, t := range p.in.Targets {
		if t.Eligible {
			capacity += t.Capacity
			n++
		}
	}
	return capacity / float64(max(n, 1))
}
