package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
)

var epoch = time.Unix(1_000_000, 0)

// Weights of a service that avoids unavailable time, and of one that avoids churn.
var (
	availabilityFirst = model.Weights{Imbalance: 1, Churn: 1, Unavailable: 3}
	churnFirst        = model.Weights{Imbalance: 1, Churn: 3, Unavailable: 1}
)

// newInput returns n targets of capacity 10 and one unit for each load, assigned to the
// targets round robin.
func newInput(n int, loads ...float64) Input {
	in := Input{Weights: model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}}
	for i := range n {
		in.Targets = append(in.Targets, Target{Name: fmt.Sprint("t", i), DataCentre: "dc", Capacity: 10, Eligible: true})
	}
	for i, load := range loads {
		in.Units = append(in.Units, Unit{Name: fmt.Sprint("u", i), Owner: fmt.Sprint("t", i%n), Load: load})
	}
	return in
}

// apply carries out the moves on in.
func apply(in *Input, now time.Time, moves []Move) {
	for _, m := range moves {
		for u := range in.Units {
			if in.Units[u].Name == m.Unit {
				in.Units[u].Owner, in.Units[u].Moved = m.To, now
			}
		}
	}
}

func TestUnitWithGreatestBenefitIsMoved(t *testing.T) {
	in := newInput(2, 4, 1, 3, 1, 0.1, 1)
	plan := NewRebalancer(RebalanceConfig{}).Plan(epoch, in)
	assert.Assert(t, len(plan.Moves) >= 1)
	assert.Equal(t, plan.Moves[0].Unit, "u2", "7.1 against 3: the unit of 3 evens out better than that of 4 or 0.1")
	assert.Equal(t, plan.Moves[0].To, "t1")
}

func TestFewerKeysAreMovedForNearlyTheSameLoad(t *testing.T) {
	in := newInput(2, 2, 1, 1.8, 1, 2, 1)
	in.Units[0].Keys, in.Units[2].Keys, in.Units[4].Keys = 1000, 500, 2000
	moves := NewRebalancer(RebalanceConfig{ChurnCost: 1e-9}).Plan(epoch, in).Moves
	assert.Assert(t, len(moves) > 0)
	assert.Equal(t, moves[0].Unit, "u2")
}

func TestNothingMovesWithinHysteresis(t *testing.T) {
	r := NewRebalancer(RebalanceConfig{Start: 0.2, Stop: 0.05, ChurnCost: 1e-9})
	within := newInput(2, 1, 1, 1, 1, 1, 0.5, 0.2, 0.2, 0.2, 0.1)
	assert.Assert(t, Imbalance(within) > 1.05 && Imbalance(within) < 1.2)
	assert.Equal(t, len(r.Plan(epoch, within).Moves), 0)
	above := newInput(2, 1, 1, 1, 1, 1, 0.1, 0.4, 0.1)
	assert.Assert(t, Imbalance(above) > 1.2)
	assert.Assert(t, len(r.Plan(epoch, above).Moves) > 0)
	assert.Assert(t, len(r.Plan(epoch, within).Moves) > 0, "moves continue down to Stop once started")
}

func TestBudgetBoundsMovesPerMinute(t *testing.T) {
	loads := make([]float64, 400)
	for i := range loads {
		loads[i] = float64(1 + i%2*9)
	}
	in := newInput(2, loads...)
	r := NewRebalancer(RebalanceConfig{MovesPerMinute: 12, MovesPerPlan: 5, ChurnCost: 1e-9})
	moved := 0
	for s := range 60 {
		now := epoch.Add(time.Duration(s) * time.Second)
		plan := r.Plan(now, in)
		assert.Assert(t, len(plan.Moves) <= 5)
		moved += len(plan.Moves)
		apply(&in, now, plan.Moves)
	}
	assert.Assert(t, moved >= 22 && moved <= 24, "%d moves: a full budget of 12 and 12 refilled", moved)
}

func TestProtectedRecentlyMovedAndRestrictedUnitsStay(t *testing.T) {
	in := newInput(2, 8, 1, 8, 1)
	in.Units[0].Protected = true
	in.Units[2].Moved = epoch.Add(-DefaultCoolDown + time.Second)
	r := NewRebalancer(RebalanceConfig{})
	assert.Equal(t, len(r.Plan(epoch, in).Moves), 0)
	in.Allowed = func(_ *Unit, target *Target) bool { return target.Name == "t0" }
	in.Units = in.Units[2:3]
	assert.Equal(t, len(r.Plan(epoch.Add(time.Minute), in).Moves), 0, "no other target is allowed")
}

func TestUnitsMoveOffIneligibleTarget(t *testing.T) {
	in := newInput(3, 5, 5, 5, 1, 1, 1)
	in.Targets[0].Eligible = false
	in.Units[3].Protected = true
	in.Units = append(in.Units, Unit{Name: "orphan", Load: 2})
	moves := NewRebalancer(RebalanceConfig{Start: 100}).Plan(epoch, in).Moves
	assert.DeepEqual(t, moves, []Move{
		{Unit: "u0", From: "t0", To: "t1", Forced: true},
		{Unit: "orphan", To: "t2", Forced: true},
	})
}

func TestJoiningTargetGetsItsEvenShareWithFewMoves(t *testing.T) {
	loads := make([]float64, 160)
	for i := range loads {
		loads[i] = 0.4
	}
	in := newInput(4, loads...)
	in.Targets = append(in.Targets, Target{Name: "new", DataCentre: "dc", Capacity: 10, Eligible: true})
	r := NewRebalancer(RebalanceConfig{MovesPerMinute: 1000, MovesPerPlan: 1000})
	now, moved := epoch, 0
	for range 20 {
		now = now.Add(time.Minute)
		plan := r.Plan(now, in)
		moved += len(plan.Moves)
		apply(&in, now, plan.Moves)
	}
	assert.Assert(t, Imbalance(in) <= 1.1, "imbalance %.3f", Imbalance(in))
	assert.Assert(t, moved <= 32, "%d units moved; an even share of the new target is 32", moved)
}

func TestSplitIsProposedForHotKey(t *testing.T) {
	in := newInput(2, 6, 1, 1, 1, 1, 1)
	in.Units[0].HotKey, in.Units[0].HotLoad = "stall-7", 4
	in.Units[1].HotKey, in.Units[1].HotLoad = "quiet", 0.9
	splits := NewRebalancer(RebalanceConfig{}).Plan(epoch, in).Splits
	assert.DeepEqual(t, splits, []Split{{Unit: "u0", Key: "stall-7", Load: 4}})
	assert.Equal(t, len(NewRebalancer(RebalanceConfig{}).Plan(epoch, in).Moves), 0, "the split comes first")
	in.Units[0].Single = true
	assert.Assert(t, len(NewRebalancer(RebalanceConfig{}).Plan(epoch, in).Moves) > 0)
	assert.Equal(t, len(NewRebalancer(RebalanceConfig{}).Plan(epoch, in).Splits), 0)
}

func TestMoveWithinDataCentreIsPreferred(t *testing.T) {
	in := newInput(3, 4, 1.05, 1, 4, 0.1, 0.1)
	in.Targets[1].DataCentre = "dc"
	in.Targets[2].DataCentre = "other"
	moves := NewRebalancer(RebalanceConfig{ChurnCost: 0.1}).Plan(epoch, in).Moves
	assert.Assert(t, len(moves) > 0)
	assert.Equal(t, moves[0].To, "t1", "although t2 has slightly less load")
}

func TestMinImbalanceFollowsHeaviestUnit(t *testing.T) {
	bound := MinImbalance(newInput(2, 6, 1, 1))
	assert.Assert(t, bound > 1.499 && bound < 1.501, "%f", bound)
	assert.Equal(t, MinImbalance(newInput(2, 1, 1, 1, 1)), 1.0)
}

// A service's weights must affect its plans: if load is uneven but within capacity, the
// service that avoids churn moves less; if targets are overloaded, both move units.
func TestWeightsAffectMoves(t *testing.T) {
	// One of eight targets has 12% more load than the others.
	run := func(w model.Weights, scale float64) (moves int, imbalance float64) {
		loads := make([]float64, 128)
		for i := range loads {
			loads[i] = scale
			if i%8 == 0 {
				loads[i] *= 1.12
			}
		}
		in := newInput(8, loads...)
		in.Weights = w
		r := NewRebalancer(RebalanceConfig{})
		for minute := range 10 {
			now := epoch.Add(time.Duration(minute) * time.Minute)
			plan := r.Plan(now, in)
			moves += len(plan.Moves)
			apply(&in, now, plan.Moves)
		}
		return moves, Imbalance(in)
	}
	movesAvailability, imbalanceAvailability := run(availabilityFirst, 0.3)
	movesChurn, imbalanceChurn := run(churnFirst, 0.3)
	assert.Equal(t, movesChurn, 0, "the uneven load is within capacity")
	assert.Assert(t, movesAvailability > 0 && imbalanceAvailability < imbalanceChurn, "%d moves, %.3f and %.3f", movesAvailability, imbalanceAvailability, imbalanceChurn)
	movesOverloaded, _ := run(churnFirst, 0.55)
	assert.Assert(t, movesOverloaded > 0, "the busiest target is above its safe load")
}

func TestPlansAreBoundedAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		in := newInput(n, rapid.SliceOfN(rapid.Float64Range(0, 20), 0, 40).Draw(t, "loads")...)
		for i := range in.Targets {
			in.Targets[i].Eligible = rapid.IntRange(0, 9).Draw(t, "eligible") > 0
			in.Targets[i].Capacity = rapid.Float64Range(1, 20).Draw(t, "capacity")
		}
		for i := range in.Units {
			in.Units[i].Protected = rapid.IntRange(0, 3).Draw(t, "protected") == 0
		}
		in.Weights = rapid.SampledFrom([]model.Weights{{}, availabilityFirst, churnFirst}).Draw(t, "weights")
		a, b := NewRebalancer(RebalanceConfig{}), NewRebalancer(RebalanceConfig{})
		plan := a.Plan(epoch, in)
		if fmt.Sprint(plan) != fmt.Sprint(b.Plan(epoch, in)) {
			t.Fatalf("same input, different plans")
		}
		before := Imbalance(in)
		seen, forced := map[string]bool{}, 0
		for _, m := range plan.Moves {
			if seen[m.Unit] {
				t.Fatalf("%s moves twice", m.Unit)
			}
			seen[m.Unit] = true
			if m.Forced {
				forced++
			}
		}
		if len(plan.Moves)-forced > DefaultMovesPerPlan {
			t.Fatalf("%d moves", len(plan.Moves)-forced)
		}
		for _, u := range in.Units {
			if u.Protected && seen[u.Name] {
				t.Fatalf("protected %s moves", u.Name)
			}
		}
		apply(&in, epoch, plan.Moves)
		if forced == 0 && Imbalance(in) > before+1e-9 {
			t.Fatalf("imbalance rose from %f to %f", before, Imbalance(in))
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	loads := make([]float64, 16*256)
	for i := range loads {
		loads[i] = float64(i%7) * 0.01
	}
	in := newInput(16, loads...)
	b.ReportAllocs()
	for b.Loop() {
		NewRebalancer(RebalanceConfig{}).Plan(epoch, in)
	}
}

// Guards against units that move away from targets hardly above the mean whenever a key
// becomes hot on another target. It happened when one hysteresis state applied to all
// targets and the target far above the band could move nothing away.
func TestUnitsMoveOnlyFromTargetsAboveHysteresis(t *testing.T) {
	in := Input{Weights: model.Weights{Imbalance: 1}}
	for i, load := range []float64{1.17, 1.08, 0.75} {
		name := fmt.Sprint("t", i)
		in.Targets = append(in.Targets, Target{Name: name, Capacity: 2, Eligible: true})
		for u := range 100 {
			in.Units = append(in.Units, Unit{Name: fmt.Sprint(name, "-", u), Owner: name, Load: load / 100, Protected: i == 0})
		}
	}
	r := NewRebalancer(RebalanceConfig{})
	assert.Equal(t, len(r.Plan(time.Unix(0, 0), in).Moves), 0)
	in.Units[0].Protected = false
	moves := r.Plan(time.Unix(10, 0), in).Moves
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].From, "t0")
}
