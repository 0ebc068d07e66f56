package main

import (
	"context"
	"fmt"
	"time"

	"tarragongw/kv"
)

const (
	// settleTime passes after the routes are known, controlTime is what is measured.
	settleTime  = 4 * time.Second
	controlTime = 10 * time.Second
)

// controlTurns is how often each size is measured where an earlier build takes part.
const controlTurns = 2

// point is what one size of fleet costs at rest; each slice has a value per router.
type point struct {
	cpu, moved, switches, live, resident []float64
	// calls are the store calls per second and router, by kind.
	calls map[kv.CallKind]float64
}

// add takes in the routers of another run of the same size.
func (p *point) add(o *point) {
	p.cpu, p.moved = append(p.cpu, o.cpu...), append(p.moved, o.moved...)
	p.switches = append(p.switches, o.switches...)
	p.live, p.resident = append(p.live, o.live...), append(p.resident, o.resident...)
	p.calls = o.calls
}

// measureControl takes what routers without work use, in three data centres with
// 33 targets, and the slope over the number of routers. With an earlier build the two
// take turns.
func measureControl(ctx context.Context, s *settings, t *table) error {
	sizes, err := s.sizesOr(3, 6, 12)
	if err != nil {
		return err
	}
	points := make([]*point, 0, len(sizes))
	for _, n := range sizes {
		now, before, err := controlPoints(ctx, s, n)
		if err != nil {
			return err
		}
		if now == nil {
			continue
		}
		points = append(points, now)
		name := fmt.Sprintf("control, %d routers", n)
		if before == nil {
			addControl(t, name, now)
			continue
		}
		addControl(t, name+", before", before)
		addControl(t, name, now)
		t.add(name+": processor, ratio to before", "1", median(now.cpu)/median(before.cpu))
		t.add(name+": bytes, ratio to before", "1", median(now.moved)/median(before.moved))
		t.add(name+": changes of threads, ratio to before", "1", median(now.switches)/median(before.switches))
	}
	if len(points) > 1 {
		slopes(t, sizes, points)
	}
	return nil
}

// controlPoints measures this build, and the earlier one where there is one. They are
// nil where a profile is taken instead, which costs more than what is measured.
func controlPoints(ctx context.Context, s *settings, routers int) (now, before *point, err error) {
	size := shape{dataCentres: 3, routers: routers, targets: memoryTargets}
	if s.before == "" || s.profile != "" {
		now, err = restingPoint(ctx, s, size)
		return now, nil, err
	}
	now, before = &point{}, &point{}
	for range controlTurns {
		for _, turn := range []struct {
			binary string
			sum    *point
		}{{s.before, before}, {"", now}} {
			size.binary = turn.binary
			p, err := restingPoint(ctx, s, size)
			if err != nil {
				return nil, nil, err
			}
			turn.sum.add(p)
		}
	}
	return now, before, nil
}

func addControl(t *table, name string, p *point) {
	t.add(name+": processor of a router", "% of a core", p.cpu...).goal("< 1.2 %")
	t.add(name+": bytes moved by a router", "B/s", p.moved...).goal("< 11 KB/s")
	t.add(name+": changes of threads of a router", "1/s", p.switches...)
	t.add(name+": memory, live", "MiB", p.live...).goal("< 32 MiB")
	t.add(name+": memory, resident", "MiB", p.resident...)
	for _, kind := range kv.CallKinds() {
		if p.calls[kind] == 0 {
			continue
		}
		t.add(name+": store calls of a router, "+string(kind), "1/s", p.calls[kind])
	}
}

// restingPoint takes what the routers of a fleet of the shape use without work.
func restingPoint(ctx context.Context, s *settings, size shape) (*point, error) {
	routers := size.routers
	f, err := startFleet(ctx, s, size)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	before, err := f.each(commandUsage)
	if err != nil {
		return nil, err
	}
	if s.profile != "" {
		return nil, f.profileRest(ctx, s.profile, routers)
	}
	began, calls := time.Now(), f.platform.Calls()
	if err := sleep(ctx, controlTime); err != nil {
		return nil, err
	}
	callsAfter, took := f.platform.Calls(), time.Since(began).Seconds()
	after, err := f.each(commandUsage)
	if err != nil {
		return nil, err
	}
	rest, err := f.each(commandRest)
	if err != nil {
		return nil, err
	}
	p := &point{calls: make(map[kv.CallKind]float64)}
	for i := range f.routers {
		p.switches = append(p.switches, float64(after[i].switches-before[i].switches)/took)
		p.cpu = append(p.cpu, 100*(after[i].CPU-before[i].CPU).Seconds()/took)
		p.moved = append(p.moved, float64(after[i].Moved-before[i].Moved)/took)
		p.live = append(p.live, mib(rest[i].Live))
		p.resident = append(p.resident, mib(rest[i].Resident))
	}
	for kind, n := range callsAfter {
		p.calls[kind] = float64(n-calls[kind]) / took / float64(routers)
	}
	return p, nil
}

// each returns the use of each router.
func (f *fleet) each(command string) ([]*usageReport, error) {
	var all []*usageReport
	for _, p := range f.routers {
		u, err := p.usage(command)
		if err != nil {
			return nil, err
		}
		u.switches = p.switches()
		all = append(all, u)
	}
	return all, nil
}

// slopes adds least-squares slopes of a router's median over the number of routers.
func slopes(t *table, sizes []int, points []*point) {
	measures := []struct {
		name, unit string
		of         func(*point) float64
	}{
		{"processor of a router", "% of a core per router", func(p *point) float64 { return median(p.cpu) }},
		{"bytes moved by a router", "B/s per router", func(p *point) float64 { return median(p.moved) }},
		{"memory, live", "MiB per router", func(p *point) float64 { return median(p.live) }},
		{"store calls of a router, all kinds", "1/s per router", func(p *point) float64 { return p.allCalls() }},
	}
	for _, m := range measures {
		var x, y []float64
		for i, p := range points {
			x, y = append(x, float64(sizes[i])), append(y, m.of(p))
		}
		t.add("control, slope over routers: "+m.name, m.unit, slope(x, y))
	}
}

func (p *point) allCalls() float64 {
	var sum float64
	for _, kind := range kv.CallKinds() {
		sum += p.calls[kind]
	}
	return sum
}

// slope is that of the least-squares line.
func slope(x, y []float64) float64 {
	var meanX, meanY, above, below float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(y))
	}
	for i := range x {
		above += (x[i] - meanX) * (y[i] - meanY)
		below += (x[i] - meanX) * (x[i] - meanX)
	}
	return above / below
}
