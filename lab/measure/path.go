package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// closedTime is the stretch at full load, pacedTime that at half load.
	closedTime = 700 * time.Millisecond
	pacedTime  = 1200 * time.Millisecond
	warmTime   = 500 * time.Millisecond
	// keysPerPath is the number of keys that requests take in turn.
	keysPerPath = 32
	subjectBare = "bare proxy"
	// halfLoad is the share of a subject's own capacity at which latency is taken.
	halfLoad = 0.5
)

// pathShape is the smallest fleet that has both paths.
var pathShape = shape{dataCentres: 1, routers: 2, targets: 8}

// subject is one way from callers to the target. Its processes are those between
// the two; none for the direct way.
type subject struct {
	name      string
	processes []*process
	load      *load

	rates, cpu, cpuHalf, p50, p99, allocs, bytes []float64
}

// measurePath alternates between the direct way, the bare reverse proxy, the
// router that is the target's grantor and one that is not.
func measurePath(ctx context.Context, s *settings, t *table) error {
	return withSubjects(ctx, s, func(subjects []*subject) error {
		if err := runRounds(s.rounds, subjects); err != nil {
			return err
		}
		report(t, subjects)
		if s.profile != "" {
			return profileAll(ctx, s.profile, subjects)
		}
		return nil
	})
}

// withSubjects starts all ways, the direct one first and the bare proxy second, and
// those of an earlier build last.
func withSubjects(ctx context.Context, s *settings, use func([]*subject) error) error {
	f, err := startFleet(ctx, s, pathShape)
	if err != nil {
		return err
	}
	defer f.stop()
	subjects, err := f.subjects(ctx, s, "")
	defer closeLoads(subjects)
	if err != nil {
		return err
	}
	bare, err := startProcess(ctx, s.procs, "", &childConfig{Kind: kindBare, Target: f.targets[0].address()})
	if err != nil {
		return err
	}
	defer bare.stop()
	baselines, err := f.baselines(s, bare)
	defer closeLoads(baselines)
	if err != nil {
		return err
	}
	subjects = append(baselines, subjects...)
	if s.before != "" {
		size := pathShape
		size.binary = s.before
		earlier, err := startFleet(ctx, s, size)
		if err != nil {
			return err
		}
		defer earlier.stop()
		others, err := earlier.subjects(ctx, s, "before, ")
		defer closeLoads(others)
		if err != nil {
			return err
		}
		subjects = append(subjects, others...)
	}
	return use(subjects)
}

func runRounds(rounds int, subjects []*subject) error {
	for _, sub := range subjects {
		if _, err := sub.load.run(warmTime, 0); err != nil {
			return errors.Wrap(err, sub.name)
		}
	}
	for round := range rounds {
		for i := range subjects {
			// Each round begins with another, so that none always comes after the same one.
			sub := subjects[(round+i)%len(subjects)]
			if err := sub.round(); err != nil {
				return errors.Wrap(err, sub.name)
			}
		}
	}
	return nil
}

func closeLoads(subjects []*subject) {
	for _, sub := range subjects {
		sub.load.close()
	}
}

// baselines connects the load to the first target, directly and by the bare proxy.
func (f *fleet) baselines(s *settings, bare *process) ([]*subject, error) {
	paths := []string{servicePath + "/key/page"}
	direct, err := dialLoad(f.targets[0].address(), nil, s.conns, paths)
	if err != nil {
		return nil, err
	}
	subjects := []*subject{{name: "direct", load: direct}}
	proxied, err := dialLoad(bare.Caller, nil, s.conns, paths)
	if err != nil {
		return subjects, err
	}
	return append(subjects, &subject{name: subjectBare, processes: []*process{bare}, load: proxied}), nil
}

// subjects connects the load to the first router: with keys whose grantor it is,
// and with keys that it forwards to the second.
func (f *fleet) subjects(ctx context.Context, s *settings, prefix string) ([]*subject, error) {
	var here, there []string
	err := f.findKeys(ctx, func(r route) bool {
		paths := &there
		if r.grantor == f.names[0] {
			paths = &here
		}
		if len(*paths) < keysPerPath {
			*paths = append(*paths, servicePath+"/"+r.key+"/page")
		}
		return len(here) == keysPerPath && len(there) == keysPerPath
	})
	if err != nil {
		return nil, err
	}
	secure, err := f.callerTLS()
	if err != nil {
		return nil, err
	}
	local, err := dialLoad(f.routers[0].Caller, secure, s.conns, here)
	if err != nil {
		return nil, err
	}
	subjects := []*subject{{name: prefix + "router", processes: f.routers[:1], load: local}}
	remote, err := dialLoad(f.routers[0].Caller, secure, s.conns, there)
	if err != nil {
		return subjects, err
	}
	return append(subjects, &subject{name: prefix + "forwarded", processes: f.routers, load: remote}), nil
}

// round takes capacity and cost at full load, then latency and cost at half of it.
func (s *subject) round() error {
	before, err := sumUsage(s.processes, commandUsage)
	if err != nil {
		return err
	}
	full, err := s.load.run(closedTime, 0)
	if err != nil {
		return err
	}
	between, err := sumUsage(s.processes, commandUsage)
	if err != nil {
		return err
	}
	half, err := s.load.run(pacedTime, full.rate()*halfLoad)
	if err != nil {
		return err
	}
	after, err := sumUsage(s.processes, commandUsage)
	if err != nil {
		return err
	}
	n := float64(full.requests)
	s.rates = append(s.rates, full.rate())
	s.cpu = append(s.cpu, (between.CPU-before.CPU).Seconds()*1e6/n)
	s.allocs = append(s.allocs, float64(between.Mallocs-before.Mallocs)/n)
	s.bytes = append(s.bytes, float64(between.Alloced-before.Alloced)/n)
	s.cpuHalf = append(s.cpuHalf, (after.CPU-between.CPU).Seconds()*1e6/float64(half.requests))
	s.p50 = append(s.p50, half.quantile(0.50))
	s.p99 = append(s.p99, half.quantile(0.99))
	return nil
}

func report(t *table, subjects []*subject) {
	direct, bare := subjects[0], subjects[1]
	t.add("direct p50", "us", direct.p50...)
	t.add("direct p99", "us", direct.p99...)
	for _, s := range subjects[1:] {
		own := s != bare
		addRow(t, s, own, "throughput per core", "req/s", perCore(s.cpu), perCore(bare.cpu), "ratio >= 1.0")
		addRow(t, s, own, "cpu per request, full load", "us", s.cpu, bare.cpu, "")
		addRow(t, s, own, "cpu per request, half load", "us", s.cpuHalf, bare.cpuHalf, "")
		addRow(t, s, own, "added p50 at half load", "us", minus(s.p50, direct.p50), minus(bare.p50, direct.p50), "")
		addRow(t, s, own, "added p99 at half load", "us", minus(s.p99, direct.p99), minus(bare.p99, direct.p99), "< 1000 us")
		addRow(t, s, own, "allocations per request", "count", s.allocs, bare.allocs, "")
		addRow(t, s, own, "bytes allocated per request", "B", s.bytes, bare.bytes, "")
		addRow(t, s, own, "rate at full load", "req/s", s.rates, bare.rates, "")
	}
}

// addRow adds the row of one subject; own ones are held against the bare proxy.
func addRow(t *table, s *subject, own bool, name, unit string, values, base []float64, goal string) {
	r := t.add(fmt.Sprintf("%s: %s", s.name, name), unit, values...)
	if own {
		r.against(subjectBare, values, base).goal(goal)
	}
}

// perCore turns microseconds of processor time per request into requests per
// second of one core.
func perCore(cpu []float64) []float64 {
	rates := make([]float64, len(cpu))
	for i := range cpu {
		rates[i] = 1e6 / cpu[i]
	}
	return rates
}

func minus(a, b []float64) []float64 {
	d := make([]float64, len(a))
	for i := range a {
		d[i] = a[i] - b[i]
	}
	return d
}
