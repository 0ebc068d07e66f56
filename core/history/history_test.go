package history_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/history"
)

var start = time.Date(2030, 1, 2, 3, 4, 0, 0, time.UTC)

func smallConfig() history.Config {
	return history.Config{
		Buckets: 3, Services: 2, Classes: []string{"interactive", "batch"},
		Bounds: []time.Duration{time.Millisecond, 10 * time.Millisecond}, Causes: []string{"queue_full", "no_owner"},
	}
}

func TestBucketsHoldDifferences(t *testing.T) {
	r := history.New(smallConfig())
	assert.Assert(t, r.Due(start))
	// Counts from before the first sample belong to no bucket.
	r.Add(start, &history.Sample{Refused: []uint64{5, 0}, Services: []history.ServiceSample{{Name: "a", Moved: 9}}})
	assert.Equal(t, len(r.Since(time.Time{}).Buckets), 0)
	assert.Assert(t, !r.Due(start.Add(9*time.Second)))
	assert.Assert(t, r.Due(start.Add(10*time.Second)))
	r.Add(start.Add(10*time.Second), &history.Sample{
		Latency: [][]uint64{{1, 2, 3}, {0, 4, 0}}, Refused: []uint64{7, 1}, Failed: []uint64{0, 2},
		Services: []history.ServiceSample{{Name: "a", Moved: 11, Unavailable: 1.5, Imbalance: 1.25}},
	})
	got := r.Since(time.Time{})
	assert.DeepEqual(t, got.Buckets, []history.Bucket{{
		Start: start, Seconds: 10, Latency: [][]uint32{{1, 2, 3}, {0, 4, 0}},
		Refused:  []history.Count{{Cause: "queue_full", N: 2}, {Cause: "no_owner", N: 1}},
		Failed:   []history.Count{{Cause: "no_owner", N: 2}},
		Services: []history.ServiceBucket{{Name: "a", Moved: 2, Unavailable: 1.5, Imbalance: 1.25}},
	}})
	assert.Equal(t, got.Began, start)
	assert.Equal(t, len(r.Since(start.Add(10*time.Second)).Buckets), 0)
}

// TestRingIsBounded checks that new buckets replace the oldest, and that a reused bucket keeps
// no old counts.
func TestRingIsBounded(t *testing.T) {
	r := history.New(smallConfig())
	bytes := r.Bytes()
	for i := range 10 {
		s := &history.Sample{}
		if i == 8 {
			s.Refused = []uint64{4, 0}
		}
		if i == 9 {
			s.Refused = []uint64{4, 0}
		}
		r.Add(start.Add(time.Duration(i)*10*time.Second), s)
	}
	got := r.Since(time.Time{}).Buckets
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].Start, start.Add(60*time.Second))
	assert.Equal(t, len(got[0].Refused), 0)
	assert.DeepEqual(t, got[1].Refused, []history.Count{{Cause: "queue_full", N: 4}})
	assert.Equal(t, len(got[2].Refused), 0)
	assert.Equal(t, r.Bytes(), bytes)
}

// TestServicesBeyondTheLimitShareOneRow checks that services beyond Config.Services share one
// row, whatever their number.
func TestServicesBeyondTheLimitShareOneRow(t *testing.T) {
	r := history.New(smallConfig())
	r.Add(start, &history.Sample{})
	var s history.Sample
	for i := range 5 {
		s.Services = append(s.Services, history.ServiceSample{Name: fmt.Sprint("s", i), Moved: 1, Unavailable: 2, Imbalance: float64(i)})
	}
	r.Add(start.Add(10*time.Second), &s)
	services := r.Since(time.Time{}).Buckets[0].Services
	assert.Equal(t, len(services), 3)
	assert.DeepEqual(t, services[2], history.ServiceBucket{Name: history.Other, Moved: 3, Unavailable: 6, Imbalance: 4})
}

func TestQuantile(t *testing.T) {
	bounds := []time.Duration{time.Millisecond, 10 * time.Millisecond}
	assert.Equal(t, history.Quantile(bounds, nil, 0.5), time.Duration(0))
	assert.Equal(t, history.Quantile(bounds, []uint64{100, 0, 0}, 0.5), 500*time.Microsecond)
	assert.Equal(t, history.Quantile(bounds, []uint64{50, 50, 0}, 0.99), 9820*time.Microsecond)
	assert.Equal(t, history.Quantile(bounds, []uint64{0, 0, 7}, 0.5), 10*time.Millisecond)
}

// TestDefaultRingTakesLessThanOneMiB checks that the router's default ring takes only a small
// part of the memory that is planned for control state.
func TestDefaultRingTakesLessThanOneMiB(t *testing.T) {
	cfg := history.Config{Classes: make([]string, 2), Bounds: make([]time.Duration, 18), Causes: make([]string, 32)}
	assert.Assert(t, history.New(cfg).Bytes() < 1<<20)
}
