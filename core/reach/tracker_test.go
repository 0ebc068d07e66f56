package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
)

var start = time.Unix(5000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

const serviceTime = 100 * time.Millisecond

// newTracker returns a tracker of the targets a, b and c of one service and x of another, all proved at
// the start.
func newTracker() *Tracker {
	t := NewTracker()
	var targets []directory.Target
	for _, id := range []string{"a", "b", "c", "x"} {
		service := "s"
		if id == "x" {
			service = "other"
		}
		targets = append(targets, directory.Target{ID: id, StartUnixMilli: 1, Address: id, Service: service})
	}
	t.SetTargets(targets)
	for _, target := range targets {
		t.Proved(start, target.ID)
	}
	return t
}

// Guards against a hop through another router, and against new connections, where nothing is cut.
func TestPathsAreDirectWhereNothingFails(t *testing.T) {
	tracker := newTracker()
	for i := range 100 {
		now := after(time.Duration(i) * 50 * time.Millisecond)
		for _, id := range []string{"a", "b", "x"} {
			assert.Equal(t, tracker.Choose(now, id, serviceTime, true), Direct)
			tracker.Sent(now, id)
			tracker.Answered(now.Add(40*time.Millisecond), id)
			tracker.Ended(id)
		}
	}
	assert.Equal(t, tracker.Choose(after(time.Hour), "c", serviceTime, true), Direct, "idle for long")
	assert.Equal(t, len(tracker.Probes(after(time.Hour))), 0)
}

// Guards against a hop for each target that ends: it refuses connections at all routers.
func TestSingleRefusalIsNotALostPath(t *testing.T) {
	tracker := newTracker()
	for i := range 5 {
		assert.Equal(t, len(tracker.ConnectFailed(after(time.Duration(i)*300*time.Millisecond), "a", true)), 0)
	}
	assert.Equal(t, len(tracker.Lost()), 0)
}

func TestPathsAreLostTogetherOrByRepeatedTimeouts(t *testing.T) {
	tracker := newTracker()
	assert.Equal(t, len(tracker.ConnectFailed(start, "a", true)), 0)
	assert.DeepEqual(t, tracker.ConnectFailed(after(900*time.Millisecond), "x", true), []string{"a", "x"})

	tracker = newTracker()
	assert.Equal(t, len(tracker.ConnectFailed(start, "a", true)), 0)
	assert.Equal(t, len(tracker.ConnectFailed(after(1100*time.Millisecond), "x", true)), 0, "too far apart")

	tracker = newTracker()
	assert.Equal(t, len(tracker.ConnectFailed(start, "a", false)), 0)
	assert.DeepEqual(t, tracker.ConnectFailed(after(3*time.Second), "a", false), []string{"a"})
}

// Guards against requests that hang on connections that a cut has left open, one after the other at
// each target, until each has timed out.
func TestPathsAreDoubtedAfterSeveralTimeouts(t *testing.T) {
	tracker := newTracker()
	tracker.Answered(after(100*time.Millisecond), "x")
	now := after(time.Second)
	tracker.ConnectFailed(now, "a", false)
	tracker.ConnectFailed(now.Add(100*time.Millisecond), "b", false)
	later := now.Add(200 * time.Millisecond)
	assert.Equal(t, tracker.Choose(later, "a", serviceTime, true), Relayed)
	assert.Equal(t, tracker.Choose(later, "a", serviceTime, false), Fresh, "no router to go through")
	assert.Equal(t, tracker.Choose(later, "c", serviceTime, true), Fresh)
	assert.Equal(t, tracker.Choose(later, "x", serviceTime, true), Fresh)
	tracker.Proved(later, "x")
	assert.Equal(t, tracker.Choose(later, "x", serviceTime, true), Direct)
	assert.Equal(t, tracker.Choose(now.Add(4*time.Second), "c", serviceTime, true), Direct, "doubt ends")
	tracker.ConnectFailed(now.Add(2*time.Second), "a", false)
	tracker.ConnectFailed(now.Add(2*time.Second), "b", false)
	assert.Equal(t, tracker.Choose(now.Add(4*time.Second), "c", serviceTime, true), Fresh, "probes still time out")
	assert.Equal(t, tracker.Choose(now.Add(4*time.Second), "x", serviceTime, true), Direct, "proved since")
}

// Guards against the same at a router whose requests all find an open connection, so that none fails.
func TestPathsOfASilentServiceAreDoubted(t *testing.T) {
	tracker := newTracker()
	tracker.Sent(after(time.Second), "a")
	now := after(time.Second + minSilence + time.Millisecond)
	assert.Equal(t, tracker.Choose(now, "a", serviceTime, true), Fresh)
	assert.Equal(t, tracker.Choose(now, "b", serviceTime, true), Direct, "one slow target")
	tracker.Sent(after(time.Second), "b")
	assert.Equal(t, tracker.Choose(now, "c", serviceTime, true), Fresh)
	assert.Equal(t, tracker.Choose(now, "x", serviceTime, true), Direct, "another service")
	assert.Equal(t, tracker.Choose(now, "c", time.Second, true), Direct, "a slow service")
	tracker.Answered(now, "a")
	assert.Equal(t, tracker.Choose(now, "c", serviceTime, true), Direct, "the service answers")
}

// Guards against a router that never returns to its own path after a cut, because nothing is sent on it
// any more.
func TestLostPathsAreProbedUntilTheyAreProved(t *testing.T) {
	tracker := newTracker()
	lost := []string{"a", "b", "c", "x"}
	for _, id := range lost {
		tracker.ConnectFailed(start, id, true)
	}
	assert.DeepEqual(t, tracker.Lost(), lost)
	probes := 0
	for ms := 0; ms < 12000; ms += 100 {
		for _, id := range tracker.Probes(after(time.Duration(ms) * time.Millisecond)) {
			probes++
			tracker.ConnectFailed(after(time.Duration(ms)*time.Millisecond), id, true)
		}
	}
	assert.Assert(t, probes >= 4*6 && probes <= 4*12, "%d probes in 12 s", probes)
	back := after(12 * time.Second)
	tracker.Answered(back, "b")
	assert.DeepEqual(t, tracker.Lost(), lost) // an old connection proves nothing
	assert.Assert(t, tracker.Proved(back, "b"))
	assert.DeepEqual(t, tracker.Probes(back), []string{"a", "c", "x"})
	assert.Equal(t, tracker.Choose(back, "b", serviceTime, true), Direct)
}

// Guards against a detour for each request to a target that no router reaches.
func TestTargetThatNoRouterReachesIsLookedForLessOften(t *testing.T) {
	tracker := newTracker()
	tracker.ConnectFailed(start, "a", true)
	tracker.ConnectFailed(start, "b", true)
	tries := 0
	for ms := 0; ms < 10000; ms += 10 {
		now := after(time.Duration(ms) * time.Millisecond)
		if tracker.Choose(now, "a", serviceTime, true) == Relayed {
			tries++
			tracker.RelayFailed(now, "a")
		}
	}
	assert.Assert(t, tries > 2 && tries < 8, "%d tries in 10 s", tries)
	tracker.RelaySucceeded("a")
	assert.Equal(t, tracker.Choose(after(10*time.Second), "a", serviceTime, true), Relayed)
}

// A target that starts again, or is gone, has no lost path.
func TestLostPathEndsWithItsTarget(t *testing.T) {
	tracker := newTracker()
	tracker.ConnectFailed(start, "a", true)
	tracker.ConnectFailed(start, "b", true)
	tracker.SetTargets([]directory.Target{{ID: "a", StartUnixMilli: 2, Address: "a", Service: "s"}})
	assert.Equal(t, len(tracker.Lost()), 0)
	assert.Equal(t, tracker.Targets(), 1)
}

func TestUnreachedServicesAreNamedAsAWhole(t *testing.T) {
	tracker := newTracker()
	u := tracker.Unreached()
	assert.Assert(t, u.Empty())
	tracker.ConnectFailed(start, "a", true)
	tracker.ConnectFailed(start, "x", true)
	assert.DeepEqual(t, tracker.Unreached(), Unreached{Services: []string{"other"}, Targets: []string{"a"}})
	tracker.ConnectFailed(start, "b", true)
	tracker.ConnectFailed(start, "c", true)
	all := Unreached{Services: []string{"other", "s"}}
	assert.DeepEqual(t, tracker.Unreached(), all)
	u = tracker.Unreached()
	assert.Assert(t, u.Equal(&all))
	assert.Assert(t, !u.Empty())
}
