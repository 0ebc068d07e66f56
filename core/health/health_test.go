package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

const tick = 100 * time.Millisecond

// newSet returns a set of n targets, t00 and so on, that have each answered 20 requests.
func newSet(n int) *Set {
	s := NewSet(Config{})
	for i := range n {
		s.Add(epoch, name(i), false)
		for range 20 {
			s.Result(epoch, name(i), Result{Signal: OK, Latency: 10 * time.Millisecond})
		}
	}
	return s
}

func name(i int) string { return fmt.Sprintf("t%02d", i) }

func send(s *Set, now time.Time, target string, n int, r Result) {
	for range n {
		s.Result(now, target, r)
	}
}

func countState(s *Set, n int, state State) (c int) {
	for i := range n {
		if s.State(name(i)) == state {
			c++
		}
	}
	return c
}

func TestFailuresLeadToSuspectThenEjectedThenSlowStart(t *testing.T) {
	s := newSet(4)
	now := epoch.Add(tick)
	send(s, now, "t00", 2, Result{Signal: Failed})
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Suspect)
	assert.Equal(t, s.Weight(now, "t00"), suspectWeight)
	send(s, now, "t00", 3, Result{Signal: Failed})
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Ejected)
	assert.Equal(t, s.Weight(now, "t00"), 0.0)
	s.Tick(now.Add(DefaultEjection - 1))
	assert.Equal(t, s.State("t00"), Ejected)
	now = now.Add(DefaultEjection)
	s.Tick(now)
	assert.Equal(t, s.State("t00"), SlowStart)
	assert.Equal(t, s.Weight(now, "t00"), DefaultSlowStartFloor)
	assert.Equal(t, s.Weight(now.Add(DefaultSlowStart/2), "t00"), 0.5)
	now = now.Add(DefaultSlowStart)
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Healthy)
	assert.Equal(t, s.Weight(now, "t00"), 1.0)
}

func TestRepeatedEjectionLastsLonger(t *testing.T) {
	s := newSet(4)
	now := epoch
	var lengths []time.Duration
	for range 3 {
		send(s, now, "t00", 5, Result{Signal: Failed})
		s.Tick(now)
		assert.Equal(t, s.State("t00"), Ejected)
		start := now
		for s.State("t00") == Ejected {
			now = now.Add(tick)
			s.Tick(now)
		}
		lengths = append(lengths, now.Sub(start))
	}
	assert.DeepEqual(t, lengths, []time.Duration{DefaultEjection, 2 * DefaultEjection, 4 * DefaultEjection})
}

func TestBusyTargetStaysHealthy(t *testing.T) {
	s := newSet(3)
	send(s, epoch, "t00", 1000, Result{Signal: Shed})
	s.Tick(epoch)
	assert.Equal(t, s.State("t00"), Healthy)
}

// A shared dependency fails and with it requests at each target. Without a cap over all
// targets the whole service would be ejected, and requests that would still succeed would
// be refused.
func TestCommonCauseEjectsNoMoreThanTheCap(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 16} {
		s := newSet(n)
		now := epoch
		for range 100 {
			now = now.Add(tick)
			for i := range n {
				send(s, now, name(i), 5, Result{Signal: Failed})
			}
			s.Tick(now)
			limit := max(int(DefaultMaxEjected*float64(n)), min(1, n-1))
			assert.Assert(t, countState(s, n, Ejected) <= limit, "%d of %d ejected", countState(s, n, Ejected), n)
		}
	}
}

// Only one of three targets has been used, and it fails. The cap is a share of all targets,
// not only of the judged ones, or it could not be ejected.
func TestTargetsThatAreNotJudgedCountTowardsCap(t *testing.T) {
	s := newSet(1)
	s.SetSize(3)
	send(s, epoch, name(0), 5, Result{Signal: Failed})
	s.Tick(epoch)
	assert.Equal(t, s.State(name(0)), Ejected)
}

// All connections of a router fail at once because of its own network. It must not declare
// the targets lost, or it would move all keys when it returns.
func TestLossOfRoutersOwnNetworkMakesNoTargetLost(t *testing.T) {
	s := newSet(7)
	now := epoch
	for range 50 {
		now = now.Add(tick)
		for i := range 7 {
			send(s, now, name(i), 1, Result{Signal: ConnectFailed})
		}
		s.Tick(now)
	}
	assert.Assert(t, s.CommonCause())
	assert.Equal(t, countState(s, 7, Lost), 0)
}

// In a very small service the rule for a common cause, described in docs/design, also
// delays real losses.
func TestTwoOfThreeAreNotDeclaredLost(t *testing.T) {
	s := newSet(3)
	now := epoch
	for range 50 {
		now = now.Add(tick)
		s.Result(now, "t00", Result{Signal: ConnectFailed})
		s.Result(now, "t01", Result{Signal: ConnectFailed})
		s.Result(now, "t02", Result{Signal: OK})
		s.Tick(now)
	}
	assert.Equal(t, countState(s, 3, Lost), 0)
	s.Probe(now, "t01", true)
	s.Result(now, "t00", Result{Signal: ConnectFailed})
	s.Tick(now.Add(tick))
	assert.Equal(t, s.State("t00"), Lost)
}

func TestOneUnreachableTargetIsLostAndReturnsSlowly(t *testing.T) {
	s := newSet(7)
	now := epoch
	lostAt := time.Time{}
	for range 10 {
		now = now.Add(tick)
		s.Result(now, "t03", Result{Signal: ConnectFailed})
		s.Tick(now)
		if s.State("t03") == Lost && lostAt.IsZero() {
			lostAt = now
		}
	}
	assert.Equal(t, lostAt.Sub(epoch), 300*time.Millisecond)
	s.Probe(now, "t03", true)
	s.Tick(now)
	assert.Equal(t, s.State("t03"), SlowStart)
}

func TestTwoFailedConnectionsDoNotMakeTargetLost(t *testing.T) {
	s := newSet(7)
	send(s, epoch.Add(tick), "t03", DefaultLostAfter-1, Result{Signal: ConnectFailed})
	s.Tick(epoch.Add(time.Minute))
	assert.Equal(t, s.State("t03"), Suspect)
	s.Probe(epoch.Add(time.Minute), "t03", false)
	s.Tick(epoch.Add(time.Minute))
	assert.Equal(t, s.State("t03"), Lost)
}

// A firewall restarts, and all open connections of a target stall while new ones work.
// Stalls of old connections must not count as failures of the target, or it would lose its
// keys.
func TestStalledOldConnectionsDoNotMakeTargetLost(t *testing.T) {
	s := newSet(3)
	now := epoch.Add(time.Second)
	send(s, now, "t00", 130, Result{Signal: Stalled})
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Suspect)
	assert.Assert(t, s.WantsProbe("t00"))
	s.Probe(now, "t00", true)
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Healthy)
	assert.Assert(t, !s.WantsProbe("t00"))
}

// The kernel of a frozen target accepts connections, but no request is answered. Stalls of
// fresh connections must count against the target, or it would keep its keys.
func TestStalledFreshConnectionsMakeTargetLost(t *testing.T) {
	s := newSet(3)
	now := epoch
	for range 5 {
		now = now.Add(tick)
		s.Result(now, "t00", Result{Signal: Stalled, Fresh: true})
		s.Tick(now)
	}
	assert.Equal(t, s.State("t00"), Lost)
}

// A target answers probes and fails all requests. Successful probes must not clear the
// evidence of requests, or it would stay in use.
func TestSuccessfulProbesDoNotClearFailedRequests(t *testing.T) {
	s := newSet(4)
	now := epoch
	for range 5 {
		now = now.Add(tick)
		s.Result(now, "t00", Result{Signal: Failed})
		s.Probe(now, "t00", true)
		s.Report(now, "t00", Report{Healthy: true, Load: 0.1})
		s.Tick(now)
	}
	assert.Equal(t, s.State("t00"), Ejected)
}

// A target reports for minutes that it is unhealthy and full while it answers well. Its
// reports must not outweigh the results of requests.
func TestFalseReportsTakeAtMostHalfTheWeightAndExpire(t *testing.T) {
	s := newSet(4)
	now := epoch
	before := 1.0
	for range 100 {
		now = now.Add(tick)
		s.Result(now, "t00", Result{Signal: OK})
		s.Report(now, "t00", Report{Healthy: false, Load: 1})
		s.Tick(now)
		weight := s.Weight(now, "t00")
		assert.Assert(t, before-weight <= reportPenaltyStep+1e-9, "lowered from %.2f to %.2f in one step", before, weight)
		before = weight
	}
	assert.Equal(t, s.State("t00"), Healthy)
	assert.Assert(t, before >= minReportTrust-1e-9)
	assert.Assert(t, s.Weight(now.Add(5*DefaultHintHalfLife), "t00") > 0.98)
}

// A target answers all requests, but at eight times the latency of the others. Latency must
// count as well as failures, or it delays its share of the requests.
func TestSlowTargetIsSuspect(t *testing.T) {
	s := newSet(4)
	now := epoch.Add(tick)
	send(s, now, "t00", 50, Result{Signal: OK, Latency: 80 * time.Millisecond})
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Suspect)
	send(s, now, "t00", 50, Result{Signal: OK, Latency: 10 * time.Millisecond})
	s.Tick(now)
	assert.Equal(t, s.State("t00"), Healthy)
}

func TestDrainingTargetGetsNoWorkAndReturnsSlowly(t *testing.T) {
	s := newSet(2)
	s.SetDraining("t01", true)
	s.Tick(epoch)
	assert.Equal(t, s.State("t01"), Draining)
	assert.Equal(t, s.Weight(epoch, "t01"), 0.0)
	s.SetDraining("t01", false)
	s.Tick(epoch)
	assert.Equal(t, s.State("t01"), SlowStart)
	s.Remove("t01")
	assert.Equal(t, s.State("t01"), Lost)
}

// 8 of 16 targets restart with empty caches. If they got their full load at once, requests
// to them would time out for minutes.
func TestColdTargetsStartSlowly(t *testing.T) {
	s := newSet(8)
	for i := 8; i < 16; i++ {
		s.Add(epoch, name(i), true)
	}
	for step := 0; step <= 10; step++ {
		now := epoch.Add(time.Duration(step) * DefaultSlowStart / 10)
		s.Tick(now)
		want := max(float64(step)/10, DefaultSlowStartFloor)
		assert.Equal(t, s.Weight(now, "t12"), want)
		assert.Equal(t, s.Weight(now, "t02"), 1.0)
	}
}

func TestRandomEventsKeepCapAndAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		a, b := newSet(n), newSet(n)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			target := name(rapid.IntRange(0, n-1).Draw(t, "target"))
			r := Result{Signal: Signal(rapid.IntRange(0, int(Shed)).Draw(t, "signal")), Fresh: rapid.Bool().Draw(t, "fresh")}
			times := rapid.IntRange(1, 12).Draw(t, "times")
			for _, s := range []*Set{a, b} {
				send(s, now, target, times, r)
			}
			if fmt.Sprint(a.Tick(now)) != fmt.Sprint(b.Tick(now)) {
				t.Fatalf("same events, different verdicts")
			}
			limit := max(int(DefaultMaxEjected*float64(n)), min(1, n-1))
			if got := countState(a, n, Ejected); got > limit {
				t.Fatalf("%d of %d ejected", got, n)
			}
			if w := a.Weight(now, target); w < 0 || w > 1 {
				t.Fatalf("weight %f", w)
			}
		}
	})
}
