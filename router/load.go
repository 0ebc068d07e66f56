package router

import (
	"math"
	"sync/atomic"
	"time"

	"tarragongw/core/request"
)

// meter returns the meter of a class.
func (u *upstream) meter(class request.Class) *loadMeter {
	if class == request.Batch {
		return &u.load[request.Batch]
	}
	return &u.load[request.Interactive]
}

// loadMeter is what an entry router knows of a target from its own requests.
type loadMeter struct {
	inFlight atomic.Int64
	// latency is the moving average in nanoseconds, as bits of a float64.
	latency atomic.Uint64
}

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.1

func (l *loadMeter) begin() { l.inFlight.Add(1) }

// end counts one attempt out; took is zero where it did not succeed, since a target
// that fails at once is not a fast one. An average that loses a concurrent update is
// good enough for a choice between two targets.
func (l *loadMeter) end(took time.Duration) {
	l.inFlight.Add(-1)
	if took <= 0 {
		return
	}
	old := math.Float64frombits(l.latency.Load())
	next := float64(took)
	if old > 0 {
		next = old + latencyWeight*(next-old)
	}
	l.latency.Store(math.Float64bits(next))
}

// mean returns the mean latency; zero where none was measured.
func (l *loadMeter) mean() time.Duration {
	return time.Duration(math.Float64frombits(l.latency.Load()))
}
