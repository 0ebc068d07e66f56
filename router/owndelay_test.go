package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/eventlog"
	"tarragongw/internal/faulttest"
)

// Symptom: a router that has no processor time left answers nothing in time, and
// nobody is told.
// Sequence: probes take ever longer; then they come at once again.
// Cause: only targets' slots bound what is taken in.
func TestOwnDelayRefusesAndSaysWhen(t *testing.T) {
	settings := config.Defaults()
	r := &Router{opts: Options{Settings: &settings}, journal: eventlog.New(eventlog.Config{})}
	d := newOwnDelay(r)
	now := time.Unix(0, 0)
	probe := func(delay time.Duration) {
		now = now.Add(delayTick)
		assert.Assert(t, d.send(now))
		assert.Assert(t, !d.send(now), "a second one is under way")
		now = now.Add(delay)
		d.arrived(now)
	}
	assert.Assert(t, d.admit(request.Interactive) == nil)
	probe(30 * time.Millisecond)
	assert.Assert(t, d.admit(request.Interactive) == nil)
	probe(60 * time.Millisecond)
	var refused *fault.Fault
	for range 100 {
		assert.Assert(t, d.admit(request.Interactive) == nil || d.admit(request.Batch) != nil, "batch work goes first")
		if f := d.admit(request.Batch); f != nil {
			refused = f
		}
	}
	faulttest.Is(t, refused, fault.RouterBusy, fault.NotRun)
	assert.Assert(t, refused.RetryAfter > 0)
	for range int(relievedAfter/delayTick) + 3 {
		probe(0)
	}
	assert.Assert(t, d.admit(request.Batch) == nil)
	events := r.journal.Events(0, eventlog.Filter{}).Events
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Kind, eventlog.RouterSaturated)
	assert.Equal(t, events[1].Kind, eventlog.RouterRelieved)
}
