package ownership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/routing"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Name: fmt.Sprintf("t%02d", i), Weight: 1}
	}
	return out
}

// balancedUnits returns units that are assigned evenly to the candidates.
func balancedUnits(units int, cs []Candidate) []Placed {
	out := make([]Placed, units)
	for i := range out {
		out[i].Unit.Slot = uint32(i)
	}
	applyMoves(out, Assign(out, cs, 0))
	return out
}

func applyMoves(units []Placed, moves []Move) {
	at := map[routing.Unit]int{}
	for i := range units {
		at[units[i].Unit] = i
	}
	for _, m := range moves {
		units[at[m.Unit]].Owner = m.To
	}
}

// When a target is lost, only its units move. When a target joins, the number of moved
// units is within 5% of the new target's share, which is the least possible.
func TestAssignMovesCloseToLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(t, "targets")
		units := balancedUnits(rapid.IntRange(n*20, 2048).Draw(t, "units"), candidates(n))
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		left := append(append([]Candidate{}, candidates(n)[:lost]...), candidates(n)[lost+1:]...)
		for _, m := range Assign(units, left, 0) {
			assert.Equal(t, m.From, candidates(n)[lost].Name)
		}
		joined := candidates(n + 1)
		least := len(units) / (n + 1)
		moves := Assign(units, joined, len(units))
		assert.Assert(t, len(moves) >= least && float64(len(moves)) <= 1.05*float64(least)+1, "%d moves, least %d", len(moves), least)
		for _, m := range moves {
			assert.Equal(t, m.To, joined[n].Name)
		}
	})
}

func TestAssignHonoursWeightEligibilityAndBudget(t *testing.T) {
	cs := []Candidate{{"a", 1}, {"b", 3}}
	units := balancedUnits(400, cs)
	count := map[string]int{}
	for _, u := range units {
		count[u.Owner]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 100, "b": 300})

	units[0].Eligible = []int{0}
	units[0].Owner = "b"
	moves := Assign(units, cs, 0)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].To, "a")
	assert.Equal(t, len(Assign(units, candidates(2), 7)), 400)
	assert.Equal(t, len(Assign(balancedUnits(100, candidates(1)), candidates(2), 7)), 7)
}
