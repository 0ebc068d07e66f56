package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragongw/core/balance"
	"tarragongw/core/model"
)

const (
	rebalanceTargets = 16
	// planEvery is how often a placement is planned, and rebalanceLength how long the
	// measurement goes on; the first part of it, settling, is not counted.
	planEvery       = 10 * time.Second
	rebalanceLength = 70 * time.Minute
	settling        = 10 * time.Minute
	// loadGain is the weight of a new period in the estimated load of a unit.
	loadGain = 0.5
	// utilisation is the mean load of a target over its capacity.
	utilisation = 0.7
	sketchSize  = 512
	// movePause is how long a moved unit is not served.
	movePause = 100 * time.Millisecond
	// singleKeys is the greatest number of single-key units.
	singleKeys = 64
)

// unit is a hash slot or a single key.
type unit struct {
	name  string
	hash  uint64
	owner int
	// key is the single key, or -1.
	key      int
	estimate float64
	moved    time.Duration
}

// placement is a way to place units on targets. plan returns the new owner of each
// unit that moves.
type placement interface {
	plan(w *world) map[int]int
}

// world is one run: the true load, the estimates and the owners.
type world struct {
	now time.Duration
	// length is how long the run goes on, and rate how many requests a second are
	// sampled.
	length time.Duration
	rate   float64
	keys   *keySpace
	units  []*unit
	bySlot []int
	byKey  map[int]int
	sketch *balance.Sketch
}

func newWorld(seed uint64) *world {
	w := &world{length: rebalanceLength, rate: sampleRate, keys: newKeySpace(seed), byKey: map[int]int{}, sketch: balance.NewSketch(sketchSize)}
	for s := range slotCount {
		w.bySlot = append(w.bySlot, s)
		w.addUnit(&unit{name: fmt.Sprint("slot-", s), key: -1})
	}
	return w
}

// addUnit adds a unit, with the owner that its hash gives it.
func (w *world) addUnit(u *unit) {
	u.hash = hash64(u.name)
	u.owner = int(u.hash % rebalanceTargets)
	w.units = append(w.units, u)
}

func (w *world) unitOf(key int) int {
	if u, single := w.byKey[key]; single {
		return u
	}
	return w.bySlot[w.keys.slot[key]]
}

// trueLoads are the loads of units, as shares of all.
func (w *world) trueLoads() []float64 {
	loads := make([]float64, len(w.units))
	for key := range keyCount {
		loads[w.unitOf(key)] += w.keys.load(key)
	}
	return loads
}

// sample estimates the loads from requests of one period.
func (w *world) sample() {
	n := int(planEvery.Seconds() * w.rate)
	counts := make([]float64, len(w.units))
	w.sketch.Decay(1 - loadGain)
	for range n {
		key := w.keys.draw()
		counts[w.unitOf(key)]++
		w.sketch.Add(w.keys.names[key], loadGain/float64(n))
	}
	for i, u := range w.units {
		u.estimate += loadGain * (counts[i]/float64(n) - u.estimate)
	}
}

// input is the estimates as the rebalancer wants them; load is in targets' worth.
func (w *world) input(weights model.Weights) balance.Input {
	in := balance.Input{Weights: weights}
	for t := range rebalanceTargets {
		in.Targets = append(in.Targets, balance.Target{
			Name: fmt.Sprint(t), DataCentre: "dc", Eligible: true,
			Capacity: 1 / utilisation,
		})
	}
	hot := make(map[int]balance.HotKey)
	for _, h := range w.sketch.Top(singleKeys) {
		var key int
		_, _ = fmt.Sscanf(strings.TrimPrefix(h.Key, "key-"), "%d", &key)
		u := w.unitOf(key)
		if _, known := hot[u]; !known {
			hot[u] = h
		}
	}
	for i, u := range w.units {
		b := balance.Unit{
			Name: u.name, Owner: fmt.Sprint(u.owner), Load: u.estimate * rebalanceTargets,
			Single: u.key >= 0, Keys: keyCount / slotCount,
		}
		if b.Single {
			b.Keys = 1
		}
		if u.moved > 0 {
			b.Moved = epoch.Add(u.moved)
		}
		if h, known := hot[i]; known {
			b.HotKey = h.Key
			b.HotLoad = (h.Weight - h.Error) * rebalanceTargets
		}
		in.Units = append(in.Units, b)
	}
	return in
}

// split makes a key a unit of its own, at its present owner.
func (w *world) split(s balance.Split) {
	var key int
	_, _ = fmt.Sscanf(strings.TrimPrefix(s.Key, "key-"), "%d", &key)
	parent := w.units[w.unitOf(key)]
	if parent.key >= 0 || len(w.byKey) >= singleKeys {
		return
	}
	w.byKey[key] = len(w.units)
	load := min(s.Load/rebalanceTargets, parent.estimate)
	single := &unit{name: s.Key, key: key, estimate: load}
	w.addUnit(single)
	single.owner = parent.owner
	parent.estimate -= load
}

// figures are what one placement comes to over the time measured.
type figures struct {
	imbalance []float64
	bound     []float64
	// moves count after settling, settled before.
	moves, settled int
	// paused is the share of requests that met a unit under way, summed over periods.
	paused float64
	// overload is the share of requests beyond a target's capacity.
	overload float64
	periods  int
}

func (w *world) run(p placement) figures {
	var f figures
	for w.now = planEvery; w.now <= w.length; w.now += planEvery {
		if w.now%wanderTime == 0 {
			w.keys.wander()
		}
		w.sample()
		moves := p.plan(w)
		loads := w.trueLoads()
		counted := w.now > settling
		for u, to := range moves {
			w.units[u].owner, w.units[u].moved = to, w.now
		}
		if !counted {
			f.settled += len(moves)
			continue
		}
		f.moves += len(moves)
		f.observe(w, loads, moves)
	}
	return f
}

func (f *figures) observe(w *world, loads []float64, moves map[int]int) {
	f.periods++
	perTarget := make([]float64, rebalanceTargets)
	heaviest := 0.0
	for i, u := range w.units {
		perTarget[u.owner] += loads[i] * rebalanceTargets
		if u.key >= 0 {
			heaviest = max(heaviest, loads[i])
		}
	}
	for key := range 100 {
		heaviest = max(heaviest, w.keys.load(key))
	}
	heaviest = max(heaviest, w.keys.load(w.keys.wanderer))
	f.imbalance = append(f.imbalance, slices.Max(perTarget))
	f.bound = append(f.bound, max(1, heaviest*rebalanceTargets))
	for _, load := range perTarget {
		f.overload += max(load*utilisation-1, 0) / utilisation / rebalanceTargets
	}
	order := make([]int, 0, len(moves))
	for u := range moves {
		order = append(order, u)
	}
	slices.Sort(order)
	for _, u := range order {
		f.paused += loads[u] * movePause.Seconds() / planEvery.Seconds()
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func percentile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// placements are the ways that are measured, by name.
var placements = []struct {
	name string
	make func() placement
}{
	{"static-hash", func() placement { return static{} }},
	{"bounded-ring", func() placement { return &boundedRing{} }},
	{"greedy", func() placement { return greedy{} }},
	{"rank-guided", func() placement { return rankGuided{} }},
	{"ours-even-weights", func() placement { return ours(model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}) }},
	{"ours-availability-first", func() placement { return ours(availabilityFirst) }},
	{"ours-churn-first", func() placement { return ours(churnFirst) }},
}

// The weights of the two kinds of operators: one minds unavailable time, one churn.
var (
	availabilityFirst = model.Weights{Imbalance: 1, Churn: 1, Unavailable: 3}
	churnFirst        = model.Weights{Imbalance: 1, Churn: 3, Unavailable: 1}
)

// Rebalance measures placements of Zipf keys with a hot key that wanders. The
// ratio is over static hashing.
func Rebalance(seed uint64) Table {
	var t Table
	results := each(len(placements), func(i int) figures { return newWorld(seed).run(placements[i].make()) })
	base := results[0]
	t.add("rebalance/bound", mean(base.bound), "max/mean")
	hours := (rebalanceLength - settling).Hours()
	for i, f := range results {
		name := "rebalance/" + placements[i].name + "/"
		t.compare(name+"imbalance-mean", mean(f.imbalance), "max/mean", mean(base.imbalance))
		t.compare(name+"imbalance-p95", percentile(f.imbalance, 0.95), "max/mean", percentile(base.imbalance, 0.95))
		t.compare(name+"imbalance-max", slices.Max(f.imbalance), "max/mean", slices.Max(base.imbalance))
		t.add(name+"churn", float64(f.moves)/hours, "units/h")
		t.add(name+"moves-to-settle", float64(f.settled), "units")
		t.add(name+"requests-paused", 1e6*f.paused/float64(f.periods), "ppm")
		t.add(name+"requests-over-capacity", 1e6*f.overload/float64(f.periods), "ppm")
	}
	return t
}
