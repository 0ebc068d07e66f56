package main

import (
	"slices"
	"time"

	"tarragongw/core/history"
	"tarragongw/operator"
)

// point holds the measurements of all routers that answered for one time interval.
type point struct {
	start time.Time
	// routers is the number of routers with data for the interval.
	routers int
	// latency counts answered requests by class and histogram bound.
	latency map[string][]uint64
	// refused, failed, moved are sums over routers, by cause or service.
	refused, failed, moved map[string]float64
	// unavailable, in unit-seconds, and imbalance are the highest values that any router
	// reported, by service. Each router measures all units, so a sum would count each
	// unit once for each router.
	unavailable, imbalance map[string]float64
}

// timeline holds the measurements of all routers in intervals of equal length.
type timeline struct {
	step   time.Duration
	bounds []time.Duration
	points []*point
}

// mergeSeries merges the routers' buckets that have the same start time.
func mergeSeries(answers []routerAnswer[routerReport], since time.Time) *timeline {
	t := &timeline{}
	byStart := make(map[int64]*point)
	for i := range answers {
		series := answers[i].Answer.Series
		if series == nil {
			continue
		}
		if t.step == 0 {
			t.step, t.bounds = series.Step, series.Bounds
		}
		for j := range series.Buckets {
			b := &series.Buckets[j]
			start := b.Start.Truncate(t.step)
			if start.Before(since) {
				continue
			}
			p := byStart[start.Unix()]
			if p == nil {
				p = newPoint(start)
				byStart[start.Unix()] = p
				t.points = append(t.points, p)
			}
			p.add(series, b, t.bounds)
		}
	}
	slices.SortFunc(t.points, func(a, b *point) int { return a.start.Compare(b.start) })
	return t
}

func newPoint(start time.Time) *point {
	return &point{
		start: start, latency: make(map[string][]uint64),
		refused: make(map[string]float64), failed: make(map[string]float64), moved: make(map[string]float64),
		unavailable: make(map[string]float64), imbalance: make(map[string]float64),
	}
}

// add adds a router's bucket. Latencies that were counted with other histogram bounds,
// as a router of another version may do, can't be added up and are left out.
func (p *point) add(series *operator.Series, b *history.Bucket, bounds []time.Duration) {
	p.routers++
	if slices.Equal(series.Bounds, bounds) {
		p.addLatency(series.Classes, b.Latency)
	}
	for _, c := range b.Refused {
		p.refused[c.Cause] += float64(c.N)
	}
	for _, c := range b.Failed {
		p.failed[c.Cause] += float64(c.N)
	}
	for _, s := range b.Services {
		p.moved[s.Name] += float64(s.Moved)
		p.unavailable[s.Name] = max(p.unavailable[s.Name], s.Unavailable)
		p.imbalance[s.Name] = max(p.imbalance[s.Name], s.Imbalance)
	}
}

func (p *point) addLatency(classes []string, counts [][]uint32) {
	for i, row := range counts {
		if i >= len(classes) {
			return
		}
		sum := p.latency[classes[i]]
		if sum == nil {
			sum = make([]uint64, len(row))
			p.latency[classes[i]] = sum
		}
		for j := range min(len(row), len(sum)) {
			sum[j] += uint64(row[j])
		}
	}
}

// total sums the values over all points.
func (t *timeline) total(of func(*point) map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for _, p := range t.points {
		for name, value := range of(p) {
			out[name] += value
		}
	}
	return out
}

// latency sums the counts of each class over all points.
func (t *timeline) latency() map[string][]uint64 {
	out := make(map[string][]uint64)
	for _, p := range t.points {
		for class, counts := range p.latency {
			if out[class] == nil {
				out[class] = make([]uint64, len(counts))
			}
			for i, n := range counts {
				out[class][i] += n
			}
		}
	}
	return out
}
