package main

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/history"
)

const (
	// observedRounds and observedTime are many short stretches: the difference that is
	// looked for is smaller than what else the machine does to one stretch.
	observedRounds = 80
	observedTime   = 100 * time.Millisecond
	// observedGoal is in words what recording may cost.
	observedGoal = "ratio >= 0.97"
	nowherePath  = "/nowhere"
)

// observedShape is one router that is the grantor of all targets.
var observedShape = shape{dataCentres: 1, routers: 1, targets: 8}

// observed is one router under one kind of load.
type observed struct {
	process *process
	load    *load
	// rates are requests a second of one core, from the processor time that the router
	// used, and full those by the clock.
	rates, full []float64
}

// measureObserved alternates between a router that records its requests and two that
// do not, with answered and with refused requests. Each refused request is kept in the
// journal by its id; answered ones are not. What the second router without records
// differs from the first is what the machine alone does to such a ratio.
func measureObserved(ctx context.Context, s *settings, t *table) error {
	var fleets []*fleet
	for _, unrecorded := range []bool{false, true, true} {
		size := observedShape
		size.unrecorded = unrecorded
		f, err := startFleet(ctx, s, size)
		if err != nil {
			return err
		}
		defer f.stop()
		fleets = append(fleets, f)
	}
	for _, kind := range []struct {
		name    string
		refused bool
	}{{"answered", false}, {"refused", true}} {
		if err := compareObserved(ctx, s, t, kind.name, kind.refused, fleets); err != nil {
			return errors.Wrap(err, kind.name)
		}
	}
	return checkObserved(ctx, fleets)
}

// checkObserved makes sure that only the first router recorded its requests.
func checkObserved(ctx context.Context, fleets []*fleet) error {
	for i, f := range fleets {
		series, err := f.operator(0).Series(ctx, partLimit)
		if err != nil {
			return err
		}
		counted := slices.ContainsFunc(series.Buckets, func(b history.Bucket) bool { return b.Latency != nil })
		if counted != (i == 0) {
			return errors.Errorf("router %s has counted requests: %t", series.Router, counted)
		}
	}
	return nil
}

func compareObserved(ctx context.Context, s *settings, t *table, name string, refused bool, fleets []*fleet) error {
	var all []*observed
	defer func() {
		for _, o := range all {
			o.load.close()
		}
	}()
	for _, f := range fleets {
		o, err := f.observe(ctx, s, refused)
		if err != nil {
			return err
		}
		all = append(all, o)
		if _, err := o.load.run(warmTime, 0); err != nil {
			return err
		}
	}
	for round := range observedRounds {
		for i := range all {
			// Each round begins with another one.
			if err := all[(round+i)%len(all)].round(); err != nil {
				return err
			}
		}
	}
	with, without, again := all[0], all[1], all[2]
	const baseline = "not recorded"
	t.add("observed, "+name+": throughput per core", "req/s", with.rates...).
		against(baseline, with.rates, without.rates).goal(observedGoal)
	t.add("observed, "+name+": rate at full load", "req/s", with.full...).
		against(baseline, with.full, without.full).goal(observedGoal)
	t.add("observed, "+name+": the same without records, per core", "req/s", again.rates...).
		against(baseline, again.rates, without.rates)
	t.add("observed, "+name+": the same without records, at full load", "req/s", again.full...).
		against(baseline, again.full, without.full)
	return nil
}

// observe connects the load to the fleet's router.
func (f *fleet) observe(ctx context.Context, s *settings, refused bool) (*observed, error) {
	paths := []string{nowherePath}
	if !refused {
		paths = nil
		err := f.findKeys(ctx, func(r route) bool {
			paths = append(paths, servicePath+"/"+r.key+"/page")
			return len(paths) == keysPerPath
		})
		if err != nil {
			return nil, err
		}
	}
	l, err := dialLoad(f.routers[0].Caller, nil, s.conns, paths)
	if err != nil {
		return nil, err
	}
	for _, c := range l.callers {
		c.refused = refused
	}
	return &observed{process: f.routers[0], load: l}, nil
}

func (o *observed) round() error {
	before, err := o.process.usage(commandUsage)
	if err != nil {
		return err
	}
	got, err := o.load.run(observedTime, 0)
	if err != nil {
		return err
	}
	after, err := o.process.usage(commandUsage)
	if err != nil {
		return err
	}
	o.full = append(o.full, got.rate())
	o.rates = append(o.rates, float64(got.requests)/(after.CPU-before.CPU).Seconds())
	return nil
}
