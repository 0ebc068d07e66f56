package dispatch

import (
	"math"
	"time"
)

const (
	// workTimeBase is the upper bound of the first bucket, and workTimeStep the ratio of the bounds of two buckets.
	workTimeBase = 10 * time.Millisecond
	workTimeStep = 1.1
	// workTimeBuckets reach to about 20 s.
	workTimeBuckets = 80
	// workTimeMemory is the number of runs after which earlier ones count half.
	workTimeMemory = 4000
	// minWorkTimes is the least number of runs from which a quantile is taken.
	minWorkTimes = 200
)

// workTimes are how long runs take, of all targets of a service.
type workTimes struct {
	counts [workTimeBuckets]float64
	total  float64
}

func (w *workTimes) add(seconds float64, runs int) {
	bucket := math.Ceil(math.Log(math.Max(seconds/workTimeBase.Seconds(), 1)) / math.Log(workTimeStep))
	w.counts[min(int(bucket), workTimeBuckets-1)] += float64(runs)
	w.total += float64(runs)
	if w.total > workTimeMemory {
		for i := range w.counts {
			w.counts[i] /= 2
		}
		w.total /= 2
	}
}

// quantile returns the time within which a share of the runs ends; zero if too few are known.
func (w *workTimes) quantile(share float64) time.Duration {
	if w.total < minWorkTimes {
		return 0
	}
	sum := 0.0
	for i, n := range w.counts {
		if sum += n; sum >= share*w.total {
			return time.Duration(float64(workTimeBase) * math.Pow(workTimeStep, float64(i)))
		}
	}
	return time.Duration(float64(workTimeBase) * math.Pow(workTimeStep, workTimeBuckets))
}

// WorkTime returns the time within which a share of the runs ends, as far as this router has seen or was told; zero if it
// knows too few.
func (s *Service) WorkTime(share float64) time.Duration { return s.workTimes.quantile(share) }
