package health

import (
	"math"
	"time"
)

const (
	// buckets of bucketLength each make up the window of the success rate.
	buckets      = 10
	bucketLength = time.Second
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.1
	// reportPenaltyStep is how much one bad report lowers the weight, and minReportTrust
	// the factor that always remains: false reports cost a target at most half its weight.
	reportPenaltyStep = 0.1
	minReportTrust    = 0.5
	// suspectWeight is the weight of a suspect target.
	suspectWeight = 0.5
	// busyLoad is the reported load from which a report counts as bad.
	busyLoad = 0.95
)

type bucket struct {
	start      time.Time
	ok, failed int
}

// target holds all evidence about one target.
type target struct {
	name  string
	state State
	cause string
	// since is when the state began; until is the end of an ejection.
	since, until time.Time
	// ejection is the length of the next ejection.
	ejection time.Duration
	draining bool

	window [buckets]bucket
	// consecutiveFailures is the number of failures since the last successful request.
	// Stalls of old connections are not included.
	consecutiveFailures int
	// stalls is the number of stalls of old connections since the last success.
	stalls int
	// connectFailures is the number of failures of fresh connections and probes since the
	// last answer.
	connectFailures int
	lastSuccess     time.Time
	// doubtSince is when the first failure or stall after the last answer occurred; zero if
	// there was none.
	doubtSince time.Time

	latency        float64
	latencySamples int

	// reportPenalty is the share of the weight taken away by reports, at the time
	// reportPenaltyAt.
	reportPenalty   float64
	reportPenaltyAt time.Time
}

func (t *target) record(now time.Time, r Result) {
	switch {
	case r.Signal == OK:
		t.succeeded(now, r)
	case r.Signal == Shed:
		t.recordAnswer(now)
	case r.Signal == Stalled && !r.Fresh:
		// A device between router and target may have lost the state of this one connection
		// while new ones work. Counted as a failure, the stall could eject a healthy
		// target; instead it requests a probe on a fresh connection, which decides.
		t.stalls++
		t.doubt(now)
	default:
		t.failed(now, r)
	}
}

func (t *target) succeeded(now time.Time, r Result) {
	t.bucket(now).ok++
	t.consecutiveFailures = 0
	t.stalls = 0
	t.recordAnswer(now)
	t.latencySamples++
	if t.latencySamples == 1 {
		t.latency = r.Latency.Seconds()
		return
	}
	t.latency += latencyGain * (r.Latency.Seconds() - t.latency)
}

// recordAnswer records that the target answered.
func (t *target) recordAnswer(now time.Time) {
	t.connectFailures = 0
	t.lastSuccess = now
	t.doubtSince = time.Time{}
}

func (t *target) failed(now time.Time, r Result) {
	t.bucket(now).failed++
	t.consecutiveFailures++
	if r.Fresh || r.Signal == ConnectFailed {
		t.connectFailures++
	}
	t.doubt(now)
}

// probe records the result of a probe on a fresh connection. A successful probe does not
// count as a successful request: a target that answers probes and fails requests keeps the
// state that its requests gave it.
func (t *target) probe(now time.Time, ok bool) {
	if ok {
		t.stalls = 0
		t.recordAnswer(now)
		return
	}
	t.connectFailures++
	t.doubt(now)
}

// doubt records the beginning of a suspected failure.
func (t *target) doubt(now time.Time) {
	if t.doubtSince.IsZero() {
		t.doubtSince = now
	}
}

func (t *target) bucket(now time.Time) *bucket {
	start := now.Truncate(bucketLength)
	index := int(uint64(start.Unix()) % buckets)
	b := &t.window[index]
	if !b.start.Equal(start) {
		*b = bucket{start: start}
	}
	return b
}

// rate returns the success rate and the number of results within the window.
func (t *target) rate(now time.Time) (rate float64, samples int) {
	ok := 0
	for _, b := range t.window {
		if now.Sub(b.start) < buckets*bucketLength {
			ok += b.ok
			samples += b.ok + b.failed
		}
	}
	if samples == 0 {
		return 1, 0
	}
	return float64(ok) / float64(samples), samples
}

func (t *target) report(now time.Time, r Report, halfLife time.Duration) {
	t.reportPenalty = t.currentPenalty(now, halfLife)
	t.reportPenaltyAt = now
	if !r.Healthy || r.Load >= busyLoad {
		t.reportPenalty = min(t.reportPenalty+reportPenaltyStep, 1-minReportTrust)
	}
}

// currentPenalty returns the share of the weight that reports still take away.
func (t *target) currentPenalty(now time.Time, halfLife time.Duration) float64 {
	if t.reportPenalty == 0 {
		return 0
	}
	age := now.Sub(t.reportPenaltyAt).Seconds() / halfLife.Seconds()
	return t.reportPenalty * math.Exp2(-max(age, 0))
}

// clear resets the evidence when a slow start begins.
func (t *target) clear() {
	t.window = [buckets]bucket{}
	t.consecutiveFailures, t.stalls, t.connectFailures = 0, 0, 0
	t.doubtSince = time.Time{}
	t.latencySamples, t.latency = 0, 0
}
