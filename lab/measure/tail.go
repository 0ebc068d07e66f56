package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// sliceTime is short, so that what else runs on the machine mostly spares a whole
	// round or hits it; a slice still has some thousand requests.
	sliceTime = 150 * time.Millisecond
	// tailRounds is the number of rounds, each of one slice for each way.
	tailRounds = 60
	// capacityRounds is how often the rate at full load is taken.
	capacityRounds = 3
	// quietShare is the part of the rounds that counts.
	quietShare = 3
)

// measureTail takes the latency at half load of each way in many short slices, and
// pools those of the third of the rounds in which the direct way's own p99 was least.
// The choice looks at the direct way alone, so that it favours no proxy.
func measureTail(ctx context.Context, s *settings, t *table) error {
	return withSubjects(ctx, s, func(subjects []*subject) error {
		rates, err := halfRates(subjects)
		if err != nil {
			return err
		}
		rounds := make([][]*result, 0, tailRounds)
		for i := range tailRounds {
			round, err := sliceRound(subjects, rates, i)
			if err != nil {
				return err
			}
			rounds = append(rounds, round)
		}
		reportTail(t, subjects, quietest(rounds))
		return nil
	})
}

// halfRates returns half of the rate that each way reaches at full load, the median of
// alternating stretches.
func halfRates(subjects []*subject) ([]float64, error) {
	reached := make([][]float64, len(subjects))
	for range capacityRounds {
		for i, sub := range subjects {
			full, err := sub.load.run(closedTime, 0)
			if err != nil {
				return nil, errors.Wrap(err, sub.name)
			}
			reached[i] = append(reached[i], full.rate())
		}
	}
	rates := make([]float64, len(subjects))
	for i := range subjects {
		rates[i] = halfLoad * median(reached[i])
	}
	return rates, nil
}

// sliceRound runs one slice for each way, beginning with another in each round.
func sliceRound(subjects []*subject, rates []float64, round int) ([]*result, error) {
	results := make([]*result, len(subjects))
	for i := range subjects {
		at := (round + i) % len(subjects)
		var err error
		if results[at], err = subjects[at].load.run(sliceTime, rates[at]); err != nil {
			return nil, errors.Wrap(err, subjects[at].name)
		}
	}
	return results, nil
}

// quietest returns the rounds in which the first way's p99 was least.
func quietest(rounds [][]*result) [][]*result {
	sorted := slices.Clone(rounds)
	slices.SortFunc(sorted, func(a, b []*result) int { return cmp.Compare(a[0].quantile(0.99), b[0].quantile(0.99)) })
	return sorted[:len(sorted)/quietShare]
}

// pool joins the latencies of one way over the rounds.
func pool(rounds [][]*result, way int) *result {
	all := &result{}
	for _, round := range rounds {
		all.requests += round[way].requests
		all.latencies = append(all.latencies, round[way].latencies...)
	}
	slices.Sort(all.latencies)
	return all
}

func reportTail(t *table, subjects []*subject, rounds [][]*result) {
	direct := pool(rounds, 0)
	t.add("direct p99 in quiet rounds", "us", direct.quantile(0.99))
	for i, sub := range subjects[1:] {
		way := pool(rounds, i+1)
		t.add(sub.name+": requests", "count", float64(way.requests))
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			r := t.add(fmt.Sprintf("%s: added p%g", sub.name, 100*q), "us", way.quantile(q)-direct.quantile(q))
			if q == 0.99 {
				r.goal("< 1000 us")
			}
		}
	}
}
