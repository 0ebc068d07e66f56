package balance

import (
	"math"

	"tarragongw/core/model"
)

// board is the working state of one plan.
type board struct {
	cfg     RebalanceConfig
	in      Input
	weights model.Weights
	// index finds targets by name; load is per target, in its order.
	index map[string]int
	load  []float64
	// owned lists the units of each target.
	owned [][]int
	// owner is the target of each unit, or -1.
	owner []int
	moved []bool
	// mean is the total load over the total capacity of eligible targets.
	mean float64
	// meanKeys is the number of keys of a unit where it is not known, and fairKeys the
	// even share of a target.
	meanKeys, fairKeys float64
	// giving marks the targets that may give units away for the balance.
	giving []bool
	// splitting marks targets that own a unit with a proposed split.
	splitting []bool
	// start and stop are the hysteresis by the service's weights.
	start, stop float64
}

func newBoard(cfg RebalanceConfig, in Input) *board {
	b := &board{
		cfg: cfg, in: in, weights: weigh(in.Weights),
		index: make(map[string]int, len(in.Targets)),
		load:  make([]float64, len(in.Targets)),
		owned: make([][]int, len(in.Targets)),
		owner: make([]int, len(in.Units)),
		moved: make([]bool, len(in.Units)),

		giving:    make([]bool, len(in.Targets)),
		splitting: make([]bool, len(in.Targets)),
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
			b.place(u, t)
		}
	}
	if capacity > 0 {
		b.mean = total / capacity
	}
	b.countKeys()
	b.setBand()
	return b
}

func (b *board) setBand() {
	widen := 1.0
	if b.weights.Imbalance > 0 {
		widen = math.Sqrt(max(b.weights.Churn/b.weights.Imbalance, 1))
	}
	b.start = max(b.cfg.Start, min(b.cfg.Start*widen, GreatestStart))
	b.stop = min(b.cfg.Stop*widen, b.start)
}

func (b *board) countKeys() {
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
	b.fairKeys = max(all/float64(max(eligible, 1)), b.meanKeys)
}

// keyShare is the part of a target's even share of keys that the unit holds. Tiny
// units count as a part of a mean one, since a move costs something by itself.
func (b *board) keyShare(unit int) float64 {
	keys := b.in.Units[unit].Keys
	if keys <= 0 {
		keys = b.meanKeys
	}
	return max(keys, leastKeys*b.meanKeys) / b.fairKeys
}

func (b *board) place(unit, target int) {
	b.owner[unit] = target
	b.load[target] += b.in.Units[unit].Load
	b.owned[target] = append(b.owned[target], unit)
}

func (b *board) take(unit int) {
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

// relative is a target's load over its fair share.
func (b *board) relative(target int, extra float64) float64 {
	if b.mean == 0 {
		return 0
	}
	return (b.load[target] + extra) / (b.in.Targets[target].Capacity * b.mean)
}

// excess is how far the busiest eligible target is above the mean.
func (b *board) excess() float64 {
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

func (b *board) allowed(unit, target int) bool {
	t := &b.in.Targets[target]
	return t.Eligible && (b.in.Allowed == nil || b.in.Allowed(&b.in.Units[unit], t))
}

// overload is the part of a target's capacity by which its load exceeds what can
// be served without a growing queue. Where all targets together are overloaded no
// move can mend it, and it counts as none.
func (b *board) overload(target int, extra float64) float64 {
	if b.mean >= b.cfg.SafeLoad {
		return 0
	}
	return max((b.load[target]+extra)/b.in.Targets[target].Capacity-b.cfg.SafeLoad, 0)
}

func square(x float64) float64 { return x * x }

// splits proposes overrides for keys that dominate their unit and weigh so much
// that the rest of the unit should be able to go elsewhere. Their owners give
// nothing else away in the same plan: the key by itself is the better move, and
// units moved in haste would have to be made up for once it has gone.
func (b *board) splits(cfg RebalanceConfig) []Split {
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
			b.splitting[b.owner[i]] = true
		}
	}
	return splits
}

func (b *board) meanCapacity() float64 {
	capacity, n := 0.0, 0
	for _, t := range b.in.Targets {
		if t.Eligible {
			capacity += t.Capacity
			n++
		}
	}
	return capacity / float64(max(n, 1))
}
