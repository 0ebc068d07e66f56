package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two failures: a few callers that send very slowly occupy all slots of a
// target, because the wait for a body has no bound; or a slow upload is cut off although
// nobody needs its slot.
func TestLateBodiesAreCutOffOnlyWhenOthersWait(t *testing.T) {
	const rate, allowance = 1000, time.Second
	lateness := func(bytes int, waited, waiting time.Duration) time.Duration {
		p := NewPace(rate, allowance)
		p.Arrived(1<<20, 0) // many bytes at once earn no more than the whole allowance
		p.Arrived(bytes, waited)
		return p.Behind(waiting)
	}
	steady := lateness(5000, 5*time.Second, allowance)
	assert.Equal(t, steady, time.Duration(0))
	trickle := lateness(3, 3*time.Second, 0)
	assert.Equal(t, trickle, 2*time.Second-3*time.Millisecond)
	silent := lateness(0, 0, 4*time.Second)
	assert.Assert(t, silent > trickle)
	saturated := Stats{Limit: 3, InFlight: 2, Held: 1, QueuedInteractive: 2, QueuedBatch: 1}
	assert.Equal(t, saturated.Shortage(), 2)
	free := Stats{Limit: 3, InFlight: 2, QueuedBatch: 1}
	assert.Equal(t, free.Shortage(), 0, "a slot is free")

	var laggards SlowBodyPolicy
	none, one, all := []time.Duration{steady}, []time.Duration{steady, trickle}, []time.Duration{1, 3, 2}
	for _, step := range []struct {
		stats  Stats
		behind []time.Duration
		checks int
		cut    []int
	}{
		{free, all, 100, nil},
		{saturated, none, 100, nil},
		{free, one, 1, nil},
		{saturated, one, 6, nil},
		{saturated, one, 2, []int{1}},
		{free, all, 1, nil},
		{saturated, all, 2, []int{1}},
	} {
		for check := range step.checks {
			got := laggards.Choose(step.stats, step.behind)
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(step.cut), "check %d", check)
		}
	}
}
