package dev_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
)

const (
	// yieldAfter is below what the grants of these tests live; the greater counts.
	yieldAfter = time.Second
	// yielded is when a data centre must have stopped: twice the life of a grant.
	yielded = 5 * time.Second
)

// Symptom: a data centre that is to yield goes on serving its keys, so that nobody else
// could ever take them without two owners.
// Sequence: it is cut off from the store and from the others for longer than yield_after;
// its callers go on; the network heals.
// Cause: promises inside the data centre extend the authority as with keep.
func TestYieldingDataCentreStopsByItself(t *testing.T) {
	eachCheck(t, func(t *testing.T, check model.GrantCheck) {
		m := faqModel(check)
		m.Services[0].Isolation = model.Isolation{YieldAfter: yieldAfter}
		x := newTrialOf(t, dev.Config{Model: m, RoutersPerDataCentre: 2})
		dc := x.s.Routers[0].DataCentre()
		assert.Assert(t, x.ranAt(m, dc) > 0)
		x.cutPeers(dc)
		x.cutStore(dc)
		time.Sleep(yielded)
		before := x.ranAt(m, dc)
		time.Sleep(faultLasts)
		assert.Equal(t, x.ranAt(m, dc), before, "work ran while the data centre was cut off")
		x.finish()
	})
}

// ranAt counts what ran at the targets of a data centre of the model.
func (x *trial) ranAt(m *model.Model, dc string) int {
	var n int
	for i := range m.Targets {
		if m.Targets[i].DataCentre == dc {
			n += x.s.Executions(m.Targets[i].Name)
		}
	}
	return n
}

// Symptom: the keys of a data centre that is cut off or gone stay unserved for as long as
// that lasts, although their service yields; or they have two owners.
// Sequence: a data centre is cut off from the store and from the others, callers on both
// sides go on, the network heals; or its routers and targets end.
// Cause: nobody elsewhere takes its targets over, or somebody does before it has stopped.
func TestYieldingDataCentreIsServedElsewhere(t *testing.T) {
	rows := []struct {
		name  string
		check model.GrantCheck
		lost  bool
	}{
		{"cut off, comes back", checksNothing, false},
		{"lost", checksAll, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			m := faqModel(row.check)
			m.Services[0].Isolation = model.Isolation{YieldAfter: yieldAfter}
			x := newTrialOf(t, dev.Config{Model: m, RoutersPerDataCentre: 2})
			dc := x.s.Routers[0].DataCentre()
			if row.lost {
				x.loseDataCentre(m, dc)
			} else {
				x.cutPeers(dc)
				x.cutStore(dc)
			}
			entry := x.elsewhere(dc)
			eventually(t, "the data centre is stated as cut off", func() bool {
				return countEvents(x, entry, eventlog.DataCentreCutOff) > 0
			})
			eventually(t, "its targets have their grantors elsewhere", func() bool { return x.grantorsIn(m, dc, entry) == 0 })
			x.serves(entry)
			if !row.lost {
				x.links.Heal()
				for _, name := range x.of(dc) {
					x.s.Platform.CutOff(name, false)
				}
				eventually(t, "its targets are back home", func() bool { return x.grantorsIn(m, dc, entry) == 2 })
			}
			x.finish()
		})
	}
}

// loseDataCentre ends a data centre's routers and targets.
func (x *trial) loseDataCentre(m *model.Model, dc string) {
	for _, name := range x.of(dc) {
		x.lose(x.index(name))
	}
	for i := range m.Targets {
		if m.Targets[i].DataCentre == dc {
			x.s.Targets[m.Targets[i].Name].Close()
		}
	}
}

// grantorsIn counts the targets of a data centre whose grantors are in it, as a router knows.
func (x *trial) grantorsIn(m *model.Model, dc string, router int) int {
	home := make(map[string]bool)
	for _, r := range x.s.Routers {
		home[r.Name()] = r.DataCentre() == dc
	}
	var n int
	for i := range m.Targets {
		if m.Targets[i].DataCentre != dc {
			continue
		}
		e, err := x.s.Operator(router).ExplainTarget(context.Background(), m.Targets[i].Name)
		if err != nil || home[e.Grantor] {
			n++
		}
	}
	return n
}
