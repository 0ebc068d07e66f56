package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	memoryTargets = 33
	mebibyte      = 1 << 20
	kibibyte      = 1 << 10
	// restTime lets what a load left behind come to rest.
	restTime = time.Second
)

// measureMemory takes a router's memory before, with and after work on every
// connection to every target. Two of the connections to each target are kept for
// grants and probes.
func measureMemory(ctx context.Context, s *settings, t *table) error {
	f, err := startFleet(ctx, s, shape{dataCentres: 1, routers: 1, targets: memoryTargets})
	if err != nil {
		return err
	}
	defer f.stop()
	paths, err := f.holdPaths(ctx)
	if err != nil {
		return err
	}
	before, err := f.routers[0].usage(commandRest)
	if err != nil {
		return err
	}
	t.add("memory: router at rest, live", "MiB", mib(before.Live)).goal("< 32 MiB")
	t.add("memory: router at rest, resident", "MiB", mib(before.Resident))
	loads, failed, err := f.hold(ctx, paths)
	defer func() {
		for _, l := range loads {
			l.close()
		}
	}()
	if err != nil {
		return err
	}
	if err := f.holdRows(t, before, loads); err != nil {
		return err
	}
	for _, target := range f.targets {
		close(target.release)
	}
	for range loads {
		if err := <-failed; err != nil {
			return err
		}
	}
	return f.releaseRows(ctx, t, before, loads)
}

// holdPaths returns one path to each target that is kept there.
func (f *fleet) holdPaths(ctx context.Context) ([]string, error) {
	keys := make(map[string]string)
	err := f.findKeys(ctx, func(r route) bool {
		keys[r.target] = r.key
		return len(keys) == len(f.targets)
	})
	var paths []string
	for _, key := range keys {
		paths = append(paths, servicePath+"/"+key+holdPath)
	}
	return paths, err
}

// hold sends so many requests to each target that all its slots are taken, and
// waits until they have arrived.
func (f *fleet) hold(ctx context.Context, paths []string) ([]*load, chan error, error) {
	var loads []*load
	failed := make(chan error, len(paths))
	for _, path := range paths {
		l, err := dialLoad(f.routers[0].Caller, nil, targetSlots, []string{path})
		if err != nil {
			return loads, failed, err
		}
		loads = append(loads, l)
		go func() { failed <- l.once() }()
		if err := f.awaitHeld(ctx, int64(len(loads)*targetSlots), failed); err != nil {
			return loads, failed, err
		}
	}
	return loads, failed, nil
}

func (f *fleet) awaitHeld(ctx context.Context, want int64, failed chan error) error {
	for {
		var held int64
		for _, t := range f.targets {
			held += t.held.Load()
		}
		if held >= want {
			return nil
		}
		select {
		case err := <-failed:
			return errors.Wrapf(err, "%d of %d requests arrived", held, want)
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d requests arrived", held, want)
		}
	}
}

func (f *fleet) holdRows(t *table, before *usageReport, loads []*load) error {
	held, err := f.routers[0].usage(commandRest)
	if err != nil {
		return err
	}
	conns := float64(len(loads) * targetSlots)
	t.add("memory: requests in flight, one on each connection", "count", conns)
	t.add("memory: in flight, live", "MiB", mib(held.Live))
	t.add("memory: in flight, resident", "MiB", mib(held.Resident))
	t.add("memory: in flight, live per request", "KiB", (float64(held.Live)-float64(before.Live))/conns/kibibyte)
	return nil
}

// releaseRows takes the memory of the connections to the targets alone: the
// requests have been answered and their callers have gone.
func (f *fleet) releaseRows(ctx context.Context, t *table, before *usageReport, loads []*load) error {
	for _, l := range loads {
		l.close()
	}
	if err := sleep(ctx, restTime); err != nil {
		return err
	}
	rest, err := f.routers[0].usage(commandRest)
	if err != nil {
		return err
	}
	conns := float64(len(loads) * targetSlots)
	t.add("memory: 130 connections to each of 33 targets at rest, live", "MiB", mib(rest.Live))
	t.add("memory: the same, resident", "MiB", mib(rest.Resident))
	t.add("memory: the same, live per connection", "KiB", (float64(rest.Live)-float64(before.Live))/conns/kibibyte)
	return nil
}

func mib(bytes uint64) float64 { return float64(bytes) / mebibyte }
