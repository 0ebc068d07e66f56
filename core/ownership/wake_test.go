package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
)

// TestRenewalsShareTheirSteps counts, for a single router with many targets at rest, the
// steps in which anything is sent, and checks that sharing steps delays no renewal.
func TestRenewalsShareTheirSteps(t *testing.T) {
	opt := options(3, targets(12, model.Isolation{Keep: true}, grantChecks...), ownership.OmitNone)
	opt.Routers = 1
	sent := map[time.Duration]bool{}
	last := map[string]time.Duration{}
	ticks, longest, reads := 0, time.Duration(0), 0
	opt.Trace = func(at time.Duration, _ string, what any) {
		switch a := what.(type) {
		case ownership.Tick:
			ticks++
		case ownership.Read:
			reads++
			sent[at] = true
		case ownership.SendGrant:
			sent[at] = true
			if before, ok := last[a.Target]; ok {
				longest = max(longest, at-before)
			}
			last[a.Target] = at
		}
	}
	w := ownershiptest.New(opt)
	w.Run(5 * time.Second)
	ticks, longest, reads = 0, 0, 0
	clear(sent)
	w.Run(4 * time.Second)
	// Every 80 ms, plus at most the 10 ms of the simulated ticks.
	assert.Assert(t, longest <= 90*ms, "%s between two grants", longest)
	assert.Assert(t, reads >= 12*4000/90, "%d reads", reads)
	assert.Assert(t, ticks <= 60, "%d ticks in 4 s", ticks)
	assert.Assert(t, len(sent) <= 60, "%d steps that send in 4 s", len(sent))
}

// A target must not be declared lost because its router was paused. An order gets no reply
// while the router waits for its next step, then the router is paused and continues to
// count. The pause must not be mistaken for the wait that the router asked for.
func TestPauseOfRouterLosesNoSilentTarget(t *testing.T) {
	w := ownershiptest.New(options(5, targets(1, model.Isolation{Keep: true}, grantChecks[0]), ownership.OmitNone))
	w.Run(3 * time.Second)
	lost := 0
	before := len(w.Reports)
	w.FreezeTarget("t0", 200*ms)
	w.Run(190 * ms)
	for i := range 3 {
		w.PauseRouter(i, 250*ms)
	}
	w.Run(2 * time.Second)
	for _, r := range w.Reports[before:] {
		if r.Kind == ownership.TargetLost {
			lost++
		}
	}
	assert.Equal(t, lost, 0)
}
