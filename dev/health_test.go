package dev_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/operator"
	"tarragongw/target/sample"
)

// undivided is a service whose work any of four targets may do.
var undivided = small{division: model.Any, targets: 4, slots: 6, timeout: 2 * time.Second, queue: 32}

// anyLoad sends reads to the undivided service through all routers.
func anyLoad(s *dev.System, callers int) *load {
	return startLoad(callers, func(caller, i int) reply {
		return do("GET", fmt.Sprintf("%s/work/key-%d", s.CallerURL(caller%len(s.Routers)), i), "")
	})
}

// hasEvent reports whether a router wrote such an event about the target.
func hasEvent(t *testing.T, s *dev.System, kind eventlog.Kind, target string) bool {
	t.Helper()
	for i := range s.Routers {
		events, err := s.Operator(i).Events(t.Context(), time.Minute)
		assert.NilError(t, err)
		if slices.ContainsFunc(events, func(e eventlog.Event) bool { return e.Kind == kind && e.Target == target }) {
			return true
		}
	}
	return false
}

// Symptom: a quarter of all requests fails for as long as one target is broken.
// Sequence: a target answers its health checks and grants and fails all work.
// Cause: good probes clear, or outweigh, what requests experience.
func TestTargetThatFailsWorkIsEjectedAndComesBack(t *testing.T) {
	s := startSmall(t, undivided, 2, time.Millisecond, nil)
	bad := targetName(1)
	s.Targets[bad].Faults.FailWork(true)
	l := anyLoad(s, 8)
	for i := range s.Routers {
		eventually(t, "every router has ejected the target", func() bool {
			e, err := s.Operator(i).ExplainTarget(t.Context(), bad)
			return err == nil && e.Health == "ejected"
		})
	}
	before, failedBefore := l.ok.Load(), l.failed.Load()
	eventually(t, "work goes on", func() bool { return l.ok.Load() > before+500 })
	failed, ok := l.failed.Load()-failedBefore, l.ok.Load()-before
	assert.Assert(t, failed*10 < ok, "%d failed beside %d", failed, ok)
	s.Targets[bad].Faults.FailWork(false)
	eventually(t, "the target has work again", func() bool {
		return shares(s, len(s.Log.All())-200)[bad] > 0
	})
	assert.Assert(t, hasEvent(t, s, eventlog.TargetReadmitted, bad))
	l.halt()
}

// Symptom: requests hang although other targets are free.
// Sequence: one of four targets freezes; its kernel still accepts connections.
// Cause: its silence is blamed on single connections, so that it keeps its share.
func TestFrozenTargetOfManyLosesItsWork(t *testing.T) {
	s := startSmall(t, undivided, 2, time.Millisecond, nil)
	frozen := targetName(2)
	l := anyLoad(s, 8)
	s.Targets[frozen].Faults.Freeze()
	eventually(t, "the target is lost", func() bool { return hasEvent(t, s, eventlog.TargetEjected, frozen) })
	before, failedBefore := l.ok.Load(), l.failed.Load()
	eventually(t, "work goes on", func() bool { return l.ok.Load() > before+1000 })
	// What was on its way to the target when it froze ends in its own time.
	assert.Assert(t, l.failed.Load()-failedBefore <= 8, "%d failed", l.failed.Load()-failedBefore)
	s.Targets[frozen].Faults.Unfreeze()
	eventually(t, "the target has work again", func() bool {
		return shares(s, len(s.Log.All())-200)[frozen] > 0
	})
	l.halt()
	assert.Equal(t, len(s.Log.Repeated()), 0)
}

// Symptom: one slow target holds up a quarter of the requests.
// Sequence: its work takes fifty times that of the others; nothing fails.
// Cause: work is spread evenly by number.
func TestSlowTargetGetsLessWork(t *testing.T) {
	s := startSmall(t, undivided, 2, time.Millisecond, nil)
	slow := targetName(3)
	s.Targets[slow].Faults.Slow(50 * time.Millisecond)
	l := anyLoad(s, 8)
	eventually(t, "the slow target has less than a tenth", func() bool {
		n := len(s.Log.All())
		return n > 1000 && shares(s, n-1000)[slow] < 100
	})
	l.end(t)
}

// Symptom: a target that an operator marks as leaving goes on getting work.
// Sequence: a target of a service that any target may serve is marked to drain.
// Cause: the mark matters only where keys are moved.
func TestDrainMarkStopsNewWorkOfUndividedService(t *testing.T) {
	s := startSmall(t, undivided, 3, time.Millisecond, nil)
	leaving := targetName(0)
	l := anyLoad(s, 8)
	eventually(t, "the target has work", func() bool { return s.Executions(leaving) > 10 })
	began := time.Now()
	_, err := s.Operator(0).Drain(t.Context(), &operator.DrainRequest{Target: leaving, Author: "test"})
	assert.NilError(t, err)
	eventually(t, "the target gets nothing", func() bool {
		n := len(s.Log.All())
		return len(s.Log.All()) > 500 && shares(s, n-500)[leaving] == 0
	})
	var last time.Time
	for _, e := range s.Log.All() {
		if e.Target == leaving {
			last = e.Time
		}
	}
	assert.Assert(t, last.Sub(began) < 2*time.Second, "work %v after the mark", last.Sub(began))
	_, err = s.Operator(1).Drain(t.Context(), &operator.DrainRequest{Target: leaving, Author: "test", Undo: true})
	assert.NilError(t, err)
	eventually(t, "the target has work again", func() bool { return shares(s, len(s.Log.All())-300)[leaving] > 0 })
	l.end(t)
}

// Symptom: after a restart of half of the targets many requests run into their
// deadlines.
// Sequence: two of four targets are cold: each request takes fifty times as long.
// Cause: cold targets get the share of warm ones.
func TestColdHalfGetsLessWork(t *testing.T) {
	cold := map[string]bool{targetName(0): true, targetName(1): true}
	s := startSmall(t, undivided, 2, time.Millisecond, func(c *sample.Config) {
		if cold[c.Name] {
			c.ColdFor, c.ColdWork = time.Hour, 50*time.Millisecond
		}
	})
	l := anyLoad(s, 8)
	eventually(t, "the cold targets have less than a fifth", func() bool {
		n := len(s.Log.All())
		share := shares(s, n-1000)
		return n > 1000 && share[targetName(0)]+share[targetName(1)] < 200
	})
	l.end(t)
}
