package admission

import "time"

// estimateGain is the weight of a new sample in the moving averages.
const estimateGain = 0.1

// estimate keeps a moving mean and mean deviation of service times, in seconds, as
// RFC 6298 does for round-trip times.
type estimate struct {
	mean, deviation float64
	samples         int
}

func newEstimate(initial time.Duration) estimate {
	return estimate{mean: initial.Seconds()}
}

func (e *estimate) add(sample time.Duration) {
	s := max(sample.Seconds(), 0)
	if e.samples == 0 {
		e.mean, e.deviation, e.samples = s, s/2, 1
		return
	}
	e.samples++
	diff := s - e.mean
	e.mean += estimateGain * diff
	if diff < 0 {
		diff = -diff
	}
	e.deviation += estimateGain * (diff - e.deviation)
}

// addAtLeast adds a truncated sample: the true service time is at least sample. Without
// it a target that has become slow would keep its old, short estimate, because nothing
// finishes any more, and the queue would accept work that cannot meet its deadline.
func (e *estimate) addAtLeast(sample time.Duration) {
	if sample.Seconds() > e.mean {
		e.add(sample)
	}
}

// upper is a service time that few items exceed, in seconds.
func (e *estimate) upper() float64 { return e.mean + 2*e.deviation }
