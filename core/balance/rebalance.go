package balance

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/model"
)

// Defaults of RebalanceConfig.
const (
	DefaultStart          = 0.10
	DefaultStop           = 0.05
	MaxStart              = 0.15
	DefaultMovesPerMinute = 30
	DefaultMovesPerPlan   = 8
	DefaultForcedPerPlan  = 1024
	DefaultCoolDown       = 60 * time.Second
	DefaultPause          = 100 * time.Millisecond
	DefaultHorizon        = 60 * time.Second
	DefaultChurnCost      = 0.1
	DefaultCrossCost      = 4
	DefaultSafeLoad       = 0.9
	DefaultSplitShare     = 0.5
	DefaultSplitLoad      = 0.25
	DefaultSplits         = 64
)

// minKeyFraction is the fraction of a mean unit's keys that a smaller unit counts as.
const minKeyFraction = 0.25

// RebalanceConfig configures rebalancing of one service. The zero value of a field
// means its default.
type RebalanceConfig struct {
	// Start and Stop are the hysteresis: units move away from a target once it is above the
	// mean by more than Start, until it is within Stop. If churn has more weight than
	// imbalance both grow by the square root of the ratio, Start up to MaxStart; with a band
	// too narrow for the moves that are worth their cost, Stop would never be reached.
	Start, Stop float64
	// MovesPerMinute is the budget of moves for balance, MovesPerPlan bounds those of one
	// plan, and ForcedPerPlan bounds its moves away from targets that may not own a unit.
	MovesPerMinute, MovesPerPlan, ForcedPerPlan int
	// CoolDown is the minimum time between two moves of a unit.
	CoolDown time.Duration
	// Pause is how long a unit is not served during a move, and Horizon the time over which
	// the better balance must outweigh that.
	Pause, Horizon time.Duration
	// ChurnCost is the gain in balance that moving a target's whole even share of keys must
	// bring at equal weights. For a unit of mean load the gain is twice the difference of
	// the two targets' relative loads, so 0.1 requires a difference of at least 0.05.
	ChurnCost float64
	// CrossCost multiplies the cost of a move to another data centre.
	CrossCost float64
	// SafeLoad is the share of its capacity above which a target counts as overloaded.
	SafeLoad float64
	// A key with at least SplitShare of its unit's load and SplitLoad of the mean load of a
	// target is proposed as a unit of its own, at most Splits in one plan.
	SplitShare, SplitLoad float64
	Splits                int
}

// Unit is one unit of keys as the rebalancer sees it.
type Unit struct {
	Name string
	// Owner is the name of the owning target; empty means none.
	Owner string
	// Load is the estimated load, in the same unit as Target.Capacity.
	Load float64
	// Protected units have at-most-once work in flight and do not move.
	Protected bool
	// Moved is when the unit last changed owner.
	Moved time.Time
	// HotKey is the unit's heaviest key, and HotLoad its load; empty means unknown.
	HotKey  string
	HotLoad float64
	// Single means that the unit is already a single key.
	Single bool
	// Keys is the estimated number of keys; zero means unknown, and the mean of
	// the units with a known number is used.
	Keys float64
}

// Target is one target as the rebalancer sees it.
type Target struct {
	Name       string
	DataCentre string
	// Capacity is the load that it can serve, in the unit of Unit.Load; it must be above
	// zero.
	Capacity float64
	// Eligible targets may own units; the units of other targets are moved away.
	Eligible bool
}

// Input is everything that a plan depends on besides the Rebalancer's state. The order of
// Units and Targets must be stable between plans.
type Input struct {
	Units   []Unit
	Targets []Target
	Weights model.Weights
	// Allowed reports whether a target may own a unit; nil allows all.
	Allowed func(unit *Unit, target *Target) bool
}

// Move gives a unit a new owner.
type Move struct {
	Unit, From, To string
	// Benefit is the gain less the cost, divided by the keys moved in units of a target's
	// even share.
	Benefit float64
	// Forced means that the previous owner may not own the unit.
	Forced bool
}

// Split proposes a single-key override.
type Split struct {
	Unit, Key string
	Load      float64
}

// Plan is the result of Rebalancer.Plan.
type Plan struct {
	Moves  []Move
	Splits []Split
}

// Rebalancer plans moves within a budget. Its state is the remaining budget and the
// targets from which units are being moved away.
type Rebalancer struct {
	cfg RebalanceConfig
	// sources holds the names of the targets that exceeded the start of the hysteresis and
	// have not returned to its stop yet.
	sources map[string]bool
	tokens  float64
	last    time.Time
}

// NewRebalancer returns a rebalancer with a full budget.
func NewRebalancer(cfg RebalanceConfig) *Rebalancer {
	cfg = cfg.withDefaults()
	return &Rebalancer{cfg: cfg, sources: make(map[string]bool), tokens: float64(cfg.MovesPerMinute)}
}

func (c RebalanceConfig) withDefaults() RebalanceConfig {
	orDefault(&c.Start, DefaultStart)
	orDefault(&c.Stop, DefaultStop)
	orDefault(&c.MovesPerMinute, DefaultMovesPerMinute)
	orDefault(&c.MovesPerPlan, DefaultMovesPerPlan)
	orDefault(&c.ForcedPerPlan, DefaultForcedPerPlan)
	orDefault(&c.CoolDown, DefaultCoolDown)
	orDefault(&c.Pause, DefaultPause)
	orDefault(&c.Horizon, DefaultHorizon)
	orDefault(&c.ChurnCost, DefaultChurnCost)
	orDefault(&c.CrossCost, DefaultCrossCost)
	orDefault(&c.SafeLoad, DefaultSafeLoad)
	orDefault(&c.SplitShare, DefaultSplitShare)
	orDefault(&c.SplitLoad, DefaultSplitLoad)
	orDefault(&c.Splits, DefaultSplits)
	return c
}

func orDefault[T int | float64 | time.Duration](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}

// Plan proposes moves and splits. Forced moves come first and don't count against the
// budget, since a unit whose owner may not own it is not served at all.
func (r *Rebalancer) Plan(now time.Time, in Input) Plan {
	r.refill(now)
	p := newPlanState(r.cfg, in)
	var plan Plan
	plan.Moves = p.evacuate(r.cfg.ForcedPerPlan)
	plan.Splits = p.splits(r.cfg)
	r.updateSources(p)
	limit := min(r.cfg.MovesPerPlan, int(r.tokens))
	for range limit {
		move, ok := p.bestMove(now)
		if !ok {
			break
		}
		plan.Moves = append(plan.Moves, move)
		r.tokens--
	}
	return plan
}

func (r *Rebalancer) refill(now time.Time) {
	perMinute := float64(r.cfg.MovesPerMinute)
	if !r.last.IsZero() && now.After(r.last) {
		r.tokens = min(r.tokens+now.Sub(r.last).Minutes()*perMinute, perMinute)
	}
	r.last = now
}

// updateSources applies the hysteresis to each target separately. Without hysteresis,
// noise of the estimates around a single threshold would move the same keys back and
// forth, which shows as churn without a change of imbalance. With one state for all
// targets, a hot key on one target made units move away from others that were within the
// band all the time.
func (r *Rebalancer) updateSources(p *planState) {
	for i, t := range p.in.Targets {
		excess := p.relative(i, 0) - 1
		switch {
		case !t.Eligible || excess <= p.stop && p.overload(i, 0) == 0:
			delete(r.sources, t.Name)
		case excess > p.start || p.overload(i, 0) > 0:
			r.sources[t.Name] = true
		}
		p.isSource[i] = r.sources[t.Name]
	}
	for name := range r.sources {
		if _, known := p.index[name]; !known {
			delete(r.sources, name)
		}
	}
}

// Imbalance returns the load of the busiest eligible target, relative to its capacity,
// divided by the mean; 1 is an even load.
func Imbalance(in Input) float64 {
	return newPlanState(RebalanceConfig{}.withDefaults(), in).maxExcess() + 1
}

// MinImbalance returns a lower bound of the imbalance that any assignment can reach while
// each unit has one owner: the load of the heaviest unit, relative to the largest
// capacity, divided by the mean, but at least 1.
func MinImbalance(in Input) float64 {
	total, heaviest, capacity, targets := 0.0, 0.0, 0.0, 0
	for _, u := range in.Units {
		total += u.Load
		heaviest = max(heaviest, u.Load)
	}
	largest := 0.0
	for _, t := range in.Targets {
		if t.Eligible {
			capacity += t.Capacity
			largest = max(largest, t.Capacity)
			targets++
		}
	}
	if total == 0 || targets == 0 {
		return 1
	}
	return max(1, heaviest/largest/(total/capacity))
}

// normalizeWeights scales the service's weights so that their mean is 1. Without any
// positive weight, or with one that is not finite, all are 1.
func normalizeWeights(w model.Weights) model.Weights {
	sum := max(w.Imbalance, 0) + max(w.Churn, 0) + max(w.Unavailable, 0)
	if sum == 0 || math.IsNaN(sum) || math.IsInf(sum, 0) {
		return model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	return model.Weights{
		Imbalance:   3 * max(w.Imbalance, 0) / sum,
		Churn:       3 * max(w.Churn, 0) / sum,
		Unavailable: 3 * max(w.Unavailable, 0) / sum,
	}
}

// sortedIndices returns the indices 0 to n-1 ordered by less, ties by index.
func sortedIndices(n int, less func(i, j int) bool) []int {
	index := make([]int, n)
	for i := range index {
		index[i] = i
	}
	sort.SliceStable(index, func(a, b int) bool { return less(index[a], index[b]) })
	return index
}
