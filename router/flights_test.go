package router

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/routing"
)

// Symptom: a stop reports two requests as cut off where there was one.
// Sequence: the drain limit passes with a caller's request under way; the callers' side
// cuts it and counts it; it is still on its way out when the forwarded work is counted.
// Cause: all work in flight is taken for that of other routers.
func TestStopCountsForwardedWorkAlone(t *testing.T) {
	u := &upstream{flights: new(flights)}
	r := &Router{}
	r.upstreams = newUpstreams(r)
	r.upstreams.living.Store(&map[string]*upstream{"t": u})
	own, forwarded := &flight{}, &flight{forwarded: true}
	u.flights.enter(own, routing.Unit{})
	u.flights.enter(forwarded, routing.Unit{})

	over, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, r.awaitForwarded(over), 1)
	u.flights.leave(forwarded)
	assert.Equal(t, r.awaitForwarded(over), 0)
	assert.Equal(t, u.flights.count(), 1)
}

// Guards against a former grantor that tells too early, or never, that its requests on a unit have ended.
func TestFollowedUnitsEndOnceTheirLastWorkHas(t *testing.T) {
	f := new(flights)
	busy, idle := routing.Unit{Service: "s", Slot: 1}, routing.Unit{Service: "s", Slot: 2}
	first, second := &flight{}, &flight{}
	f.enter(first, busy)
	f.enter(second, busy)
	assert.DeepEqual(t, f.units(), []routing.Unit{busy})
	var ended []routing.Unit
	f.follow(2, []routing.Unit{busy, idle}, func(unit routing.Unit) { ended = append(ended, unit) })
	assert.DeepEqual(t, ended, []routing.Unit{idle})
	f.follow(1, []routing.Unit{busy}, func(routing.Unit) { t.Error("an earlier call took the place of a later one") })
	f.leave(first)
	assert.Equal(t, len(ended), 1)
	f.leave(second)
	assert.DeepEqual(t, ended, []routing.Unit{idle, busy})
	assert.Equal(t, len(f.followed), 0)
}
