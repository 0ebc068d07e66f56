package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
)

// evacuateWithin is the time after which targets of an evacuated data centre get no requests.
const evacuateWithin = 5 * time.Second

// newEvacuation returns an assigner with a hundred holders of keys, and its targets.
func newEvacuation(t *testing.T) (*Assigner, []directory.Target) {
	ids := make([]string, 100)
	for i := range ids {
		ids[i] = fmt.Sprintf("t%03d", i)
	}
	a := newSettled(t, ids...)
	a.cfg.EvacuateWithin = evacuateWithin
	return a, testTargets(ids...)
}

// evacuate marks the first n targets as evacuated since a time.
func evacuate(targets []directory.Target, n int, since time.Time) []directory.Target {
	for i := range targets[:n] {
		targets[i].Evacuated, targets[i].EvacuatedAfter = true, since
	}
	return targets
}

// keysOf returns how many keys the first n targets hold.
func keysOf(a *Assigner, n int) (keys int) {
	for i := range n {
		keys += keysPerTarget(a)[fmt.Sprintf("t%03d", i)]
	}
	return keys
}

// Guards against an evacuated data centre whose keys are all without a holder at the same time.
func TestEvacuatedKeysMoveAFewAtATime(t *testing.T) {
	a, targets := newEvacuation(t)
	now := after(3 * time.Second)
	a.SetTargets(now, evacuate(targets, 80, now))
	for keysOf(a, 80) > 0 {
		actions := a.Step(now)
		assert.Assert(t, a.movesInProgress() <= a.maxMoves(len(targets)), "%d", a.movesInProgress())
		assert.Assert(t, now.Sub(after(3*time.Second)) < evacuateWithin/2)
		carryOut(a, now, actions)
		now = now.Add(20 * time.Millisecond)
	}
}

// Guards against targets of an evacuated data centre that keep their keys until the time is over, because others have not
// released theirs.
func TestAllEvacuatedKeysMoveOnceHalfOfTheTimeIsOver(t *testing.T) {
	a, targets := newEvacuation(t)
	now := after(3 * time.Second)
	a.SetTargets(now, evacuate(targets, 80, now))
	a.Step(now)
	a.Step(now.Add(evacuateWithin / 2))
	assert.Assert(t, a.movesInProgress() >= 80, "%d", a.movesInProgress())
}

// Guards against keys that are taken from their holders although no target may be given them.
func TestKeysStayWhereAllDataCentresAreEvacuated(t *testing.T) {
	a, targets := newEvacuation(t)
	now := after(3 * time.Second)
	a.SetTargets(now, evacuate(targets, len(targets), now))
	runUntilIdle(a, now.Add(evacuateWithin))
	assert.Equal(t, keysOf(a, len(targets)), 1<<16)
	assert.Equal(t, a.movesInProgress(), 0)
}

// Guards against keys that go to targets that have just become cold while warm ones could take them.
func TestColdTargetsAreGivenKeysOnlyIfAllAreCold(t *testing.T) {
	a, targets := newEvacuation(t)
	a.cfg.SpareCold = true
	now := after(3 * time.Second)
	for i := range targets[:50] {
		targets[i].ColdUntil = now.Add(time.Second)
	}
	before := keysOf(a, 50)
	evacuate(targets[50:], 10, now)
	a.SetTargets(now, targets)
	runUntilIdle(a, now)
	assert.Equal(t, keysOf(a, 50), before)
	assert.Equal(t, keysOf(a, 60), before)
	for i := range targets {
		targets[i].ColdUntil = now.Add(time.Second)
	}
	a.SetTargets(now, evacuate(targets, 10, now))
	runUntilIdle(a, now)
	assert.Equal(t, keysOf(a, 10), 0)
}
