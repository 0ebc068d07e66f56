package ownmeasure

import (
	"fmt"
	"io"
	"math/rand"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/ownership/ownershiptest"
)

const (
	// fleetSize is the number of routers and of targets of one data centre, fleetLost
	// that of each lost at once.
	fleetSize  = 60
	fleetLost  = 40
	fleetSlots = 240
	// fleetEvery is the resolution of the fleet's unavailable time.
	fleetEvery = 10 * time.Millisecond
	// fleetYield is YieldAfter of the service that gives its owners up.
	fleetYield = 500 * time.Millisecond
)

// Fleet prints the unavailable time of keys where most routers, most targets or most of
// both are lost at once.
func Fleet(out io.Writer, opt Options) error {
	fmt.Fprintf(out, "# %d of %d routers and targets lost at once, one data centre, injected time, resolution %v\n", fleetLost, fleetSize, fleetEvery)
	var runs []func(io.Writer) error
	for _, what := range []fleetLoss{{name: "targets", targets: fleetLost}, {name: "routers", routers: fleetLost},
		{name: "both", targets: fleetLost, routers: fleetLost}} {
		for _, k := range kinds {
			for _, isolation := range []model.Isolation{{Keep: true}, {YieldAfter: fleetYield}} {
				runs = append(runs, func(out io.Writer) error { return fleetOf(out, what, k, isolation, opt) })
			}
		}
	}
	return inOrder(out, runs)
}

// fleetLoss is how many of each are lost.
type fleetLoss struct {
	name             string
	targets, routers int
}

// fleetResult adds up trials.
type fleetResult struct {
	gaps            []time.Duration
	unserved, moves int
	least           int
}

func fleetOf(out io.Writer, what fleetLoss, k kind, isolation model.Isolation, opt Options) error {
	var r fleetResult
	for trial := range opt.FleetTrials {
		if err := r.add(opt.Seed+int64(trial), what, k, isolation); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "fleet lost=%s kind=%s keep=%v trials=%d keys=%d p50=%.0f p99=%.0f max=%.0f unserved_after_6s=%d extra_moves=%d two_owners=0\n",
		what.name, k.name, isolation.Keep, opt.FleetTrials, len(r.gaps)+r.unserved, milli(r.gaps, 0.5), milli(r.gaps, 0.99), milli(r.gaps, 1),
		r.unserved, r.moves-r.least)
	return nil
}

func (f *fleetResult) add(seed int64, what fleetLoss, k kind, isolation model.Isolation) error {
	rng := rand.New(rand.NewSource(seed))
	o := worldOptions(rng.Int63(), fleetSize, k.check, fleetEvery)
	o.Routers = fleetSize
	o.Services[0].HashSlots = fleetSlots
	for i := range o.Targets {
		o.Targets[i].Isolation = isolation
	}
	w := ownershiptest.New(o)
	w.Run(2 * time.Second)
	if n := len(w.Unserved(100 * time.Millisecond)); n > 0 {
		return fmt.Errorf("%d units unserved before the loss", n)
	}
	lostTargets := rng.Perm(fleetSize)[:what.targets]
	affected := 0
	for _, t := range lostTargets {
		affected += len(owned(w, o.Targets[t].Name))
	}
	w.MeasureGaps()
	before := w.Moves
	for _, r := range rng.Perm(fleetSize)[:what.routers] {
		w.KillRouter(r, 0)
	}
	for _, t := range lostTargets {
		w.KillTarget(o.Targets[t].Name, detect)
	}
	w.Run(6 * time.Second)
	f.count(w, before, affected)
	if len(w.Violations) > 0 {
		return fmt.Errorf("violations: %v", w.Violations)
	}
	return nil
}

// count takes in the keys that paused, or that are unserved still; the moves of lost
// targets' keys that are unserved are not due.
func (f *fleetResult) count(w *ownershiptest.World, before, affected int) {
	stay := map[string]bool{}
	for _, u := range w.Unserved(time.Second) {
		stay[u] = true
	}
	pending := 0
	for _, u := range w.Units() {
		if stay[u.String()] {
			f.unserved++
			if w.TargetLost(w.Owner(u)) {
				pending++
			}
			continue
		}
		if gap := w.Gap(u); gap > 5*fleetEvery {
			f.gaps = append(f.gaps, gap)
		}
	}
	f.moves += w.Moves - before
	f.least += affected - pending
}
