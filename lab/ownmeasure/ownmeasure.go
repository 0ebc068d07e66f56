// Package ownmeasure measures ownership in injected time: how long a key is
// unavailable after losses, how many keys move beyond the least possible, how
// large the records are and what control costs.
package ownmeasure

import (
	"fmt"
	"io"
	"math/rand"
	"sort"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
	"tarragongw/core/routing"
)

const (
	routers      = 4
	targetCount  = 12
	slots        = 48
	requestEvery = 4 * time.Millisecond
	// detect stands in for the membership and for health checks.
	detect = 280 * time.Millisecond
	pause  = 200 * time.Millisecond
)

// kind is a kind of target.
type kind struct {
	name  string
	check model.GrantCheck
}

var kinds = []kind{
	{"checks+expires", model.GrantCheck{ChecksTokens: true, Expires: true}},
	{"checks", model.GrantCheck{ChecksTokens: true}},
	{"expires", model.GrantCheck{Expires: true}},
	{"neither", model.GrantCheck{}},
}

// Options bound the measurements.
type Options struct {
	// Trials is the number of trials of each loss with each kind of target.
	Trials int
	// FleetTrials is the number of trials of each loss of most of a fleet.
	FleetTrials int
	// Loss is part of the names of the losses that Wall measures; empty means all.
	Loss string
	// Explain has Wall print what happened where a key was away longer; zero: never.
	Explain time.Duration
	// Pauses is the injected time through which 200 ms pauses go on.
	Pauses time.Duration
	Seed   int64
}

// Run prints all measurements.
func Run(out io.Writer, opt Options) error {
	for _, f := range []func(io.Writer, Options) error{moved, sizes, cost, losses, pauses} {
		if err := f(out, opt); err != nil {
			return err
		}
	}
	return nil
}

func world(seed int64, n int, check model.GrantCheck, every time.Duration) *ownershiptest.World {
	return ownershiptest.New(worldOptions(seed, n, check, every))
}

func worldOptions(seed int64, n int, check model.GrantCheck, every time.Duration) ownershiptest.Options {
	var targets []ownership.TargetSpec
	for i := range n {
		targets = append(targets, ownership.TargetSpec{Name: fmt.Sprintf("t%02d", i), Service: "faq-viewer", DataCentre: "dc1",
			Grants: check, Isolation: model.Isolation{Keep: true}, Weight: 1})
	}
	return ownershiptest.Options{Seed: seed, Routers: routers, Targets: targets,
		Services:    []ownership.ServiceSpec{{Name: "faq-viewer", HashSlots: slots}},
		Keeper:      func(self ownership.Router) ownership.Config { return ownership.Config{Self: self, DataCentre: "dc1"} },
		DetectAfter: detect, RequestEvery: every}
}

// loss is what happens in a trial to the target and its grantor.
type loss struct {
	name string
	// strike returns whether all units are affected, not only the target's.
	strike func(w *ownershiptest.World, target string)
}

var lossList = []loss{
	{"target lost", func(w *ownershiptest.World, t string) { w.KillTarget(t, detect) }},
	{"grantor lost", func(w *ownershiptest.World, t string) { w.KillRouter(w.Grantor(t), 0) }},
	{"both lost", func(w *ownershiptest.World, t string) { w.KillRouter(w.Grantor(t), 0); w.KillTarget(t, detect) }},
	{"grantor lost, store down", func(w *ownershiptest.World, t string) {
		g := w.Grantor(t)
		w.OutageOfStore(4 * time.Second)
		w.After(time.Second, func() { w.KillRouter(g, 0) })
	}},
	{"grantor stops as planned", func(w *ownershiptest.World, t string) { w.StopRouter(w.Grantor(t), time.Second) }},
	{"target drains as planned", func(w *ownershiptest.World, t string) { w.Drain(t) }},
}

func losses(out io.Writer, opt Options) error {
	fmt.Fprintf(out, "# unavailable time of a key in ms, default settings, injected time, resolution %v, detection of a router or health loss %v\n",
		requestEvery, detect)
	var runs []func(io.Writer) error
	for _, l := range lossList {
		for _, k := range kinds {
			runs = append(runs, func(out io.Writer) error { return lossOf(out, l, k, opt.Trials, opt.Seed) })
		}
	}
	return inOrder(out, runs)
}

// inOrder runs four at a time and prints their output in order.
func inOrder(out io.Writer, runs []func(io.Writer) error) error {
	var g errgroup.Group
	g.SetLimit(4)
	texts := make([]strings.Builder, len(runs))
	for i, run := range runs {
		g.Go(func() error { return run(&texts[i]) })
	}
	err := g.Wait()
	for i := range texts {
		fmt.Fprint(out, texts[i].String())
	}
	return err
}

func lossOf(out io.Writer, l loss, k kind, trials int, seed int64) error {
	var gaps []time.Duration
	unserved := 0
	for trial := range trials {
		rng := rand.New(rand.NewSource(seed + int64(trial)))
		w := world(rng.Int63(), targetCount, k.check, requestEvery)
		w.Run(2*time.Second + time.Duration(rng.Int63n(int64(200*time.Millisecond))))
		if n := len(w.Unserved(100 * time.Millisecond)); n > 0 {
			return fmt.Errorf("%d units unserved before the loss", n)
		}
		target := fmt.Sprintf("t%02d", rng.Intn(targetCount))
		affected := owned(w, target)
		w.MeasureGaps()
		l.strike(w, target)
		w.Run(6 * time.Second)
		unserved += len(w.Unserved(time.Second))
		for _, u := range affected {
			gaps = append(gaps, w.Gap(u))
		}
		if len(w.Violations) > 0 {
			return fmt.Errorf("violations: %v", w.Violations)
		}
	}
	fmt.Fprintf(out, "loss=%q kind=%s trials=%d keys=%d p50=%.0f p99=%.0f max=%.0f unserved_after_6s=%d two_owners=0\n",
		l.name, k.name, trials, len(gaps), milli(gaps, 0.5), milli(gaps, 0.99), milli(gaps, 1), unserved)
	return nil
}

func owned(w *ownershiptest.World, target string) []routing.Unit {
	var out []routing.Unit
	for _, u := range w.Units() {
		if w.Owner(u) == target {
			out = append(out, u)
		}
	}
	return out
}

func milli(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	i := min(int(q*float64(len(values))), len(values)-1)
	return float64(values[i]) / float64(time.Millisecond)
}

// pauses pauses routers and targets for 200 ms again and again and counts moves.
func pauses(out io.Writer, opt Options) error {
	var runs []func(io.Writer) error
	for _, k := range kinds {
		runs = append(runs, func(out io.Writer) error { return pausesOf(out, k, opt.Pauses, opt.Seed) })
	}
	return inOrder(out, runs)
}

func pausesOf(out io.Writer, k kind, length time.Duration, seed int64) error {
	rng := rand.New(rand.NewSource(seed))
	w := world(seed, targetCount, k.check, 100*time.Millisecond)
	w.Run(2 * time.Second)
	before, count := w.Moves, 0
	for start := w.Now(); w.Now()-start < length; count++ {
		if rng.Intn(2) == 0 {
			w.PauseRouter(rng.Intn(routers), pause)
		} else {
			w.FreezeTarget(fmt.Sprintf("t%02d", rng.Intn(targetCount)), pause)
		}
		w.Run(time.Second + time.Duration(rng.Int63n(int64(time.Second))))
	}
	if len(w.Violations) > 0 {
		return fmt.Errorf("violations: %v", w.Violations)
	}
	fmt.Fprintf(out, "pauses kind=%s length=%v pauses_of_200ms=%d false_moves=%d two_owners=0\n", k.name, length, count, w.Moves-before)
	return nil
}
