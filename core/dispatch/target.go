// Package dispatch decides to which target and when a request is sent: it assigns requests to
// the targets of a service, queues those for which there is no room by priority, and
// refuses those that can't be answered in time at once.
//
// Many routers share the few slots of each target and don't coordinate. Each estimates a
// target's work as its own requests in flight plus the other routers' work according to the
// load reports in answers. Work is counted in requests that run or are queued at the target.
// The package is deterministic: time and the random source are parameters.
package dispatch

import (
	"math"
	"time"

	"tarragongw/core/directory"
)

const (
	// othersDecayTime is the time constant with which the estimate of the other routers' work
	// returns from the last report to the mean. It is about the duration of one request, after
	// which other requests are at the target.
	othersDecayTime = 200 * time.Millisecond
	// stallFactor is after how many service times without progress a target is considered
	// slow. Hardly any request takes that long by itself.
	stallFactor = 2.5
	// maxReportAge is the largest age of a load report that is taken to come from the answer
	// that has just ended.
	maxReportAge = 20 * time.Millisecond
	// othersGain is the weight of a new report in the mean of the other routers' work.
	othersGain = 0.2
	// serviceGain is the weight of a new answer in the mean service time of a target, which
	// thus covers about the last ten answers.
	serviceGain = 0.1
	// failureGain is the weight of one outcome in the failure rate. failureHalfLife is the
	// half-life of the rate while nothing is sent, so that a target that has recovered is
	// tried again.
	failureGain     = 0.2
	failureHalfLife = 2 * time.Second
	// justStartedFactor is how much slower than the service's mean a target that has just
	// started is assumed to be.
	justStartedFactor = 2.0
	// minQueueLimit and queueLimitPerSlot bound the requests that may be queued at a target
	// beyond its slots. Targets queue only a few requests and close the connections of others.
	minQueueLimit     = 1.0
	queueLimitPerSlot = 2.0
	// queueLimitCut is the factor by which a target's queue limit is lowered when it refuses a
	// request, fails or times out; queueLimitGain is the part of a request by which each
	// answer raises the limit again.
	queueLimitCut  = 0.5
	queueLimitGain = 0.05
	// IdleConnTimeout is how long an idle connection is kept. It is shorter than the ten seconds
	// after which targets close idle connections.
	IdleConnTimeout = 8 * time.Second
	// minConnectBackoff and maxConnectBackoff bound for how long a target to which no
	// connection could be opened gets no requests. The maximum is about as long as it takes
	// to notice a broken network path anyway.
	minConnectBackoff = 200 * time.Millisecond
	maxConnectBackoff = time.Second
)

// Report is the load report of a target in one of its answers: its running and waiting
// requests and its slots.
type Report struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the target's machine at the moment, in per cent of the
	// usual time; zero if the target doesn't say.
	WorkPercent int
}

// targetState is what this router knows and estimates about one target.
type targetState struct {
	directory.Target
	// inFlight is the number of this router's requests at the target.
	inFlight int
	// conns is how many connections to the target this router is assumed to have: the most
	// requests in flight since it was last idle for IdleConnTimeout. usedAt is when a request was last
	// sent or ended.
	conns  int
	usedAt time.Time
	// othersMean is the mean of the other routers' work by all reports, and othersLast their
	// work by the last report, which came at lastReport.
	othersMean, othersLast float64
	lastReport             time.Time
	// lastWaiting is the number of waiting requests in the last report.
	lastWaiting int
	// meanServiceTime is the mean time to an answer without the wait for a slot, in seconds;
	// zero before the first answer.
	meanServiceTime float64
	// publishedServiceTime is the service time that ChangedServiceTimes last returned.
	publishedServiceTime float64
	// failureRate is the share of requests that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// queueLimit is how many requests may be queued at the target beyond its slots.
	queueLimit float64
	// connectBackoff is for how long the target gets no requests after no connection to it
	// could be opened; nextConnectAt is when that ends.
	connectBackoff time.Duration
	nextConnectAt  time.Time
	// progressAt is when a request at the target last ended, or when one was sent while none
	// was in flight. stallReported is the duration of the current stall that
	// DrainStats last returned; zero if it has not.
	progressAt    time.Time
	stallReported time.Duration
	// returnsUntil is until when the target counts as cold because it could not be reached before; asked is the rate at which
	// this router is asked for its keys, and permitAt when this router may send the next request while it is cold.
	returnsUntil time.Time
	asked        askRate
	permitAt     time.Time
	// noPermitUntil is until when there is no permit for the target, if it states a limit.
	noPermitUntil time.Time
	// restUntil is until when the target wants no requests from this router, and resuming is set from then until it has answered
	// a request again.
	restUntil time.Time
	resuming  bool
	// overloadedAt is when the target last showed a sign of overload.
	overloadedAt time.Time
}

func newTargetState(target directory.Target) *targetState {
	t := &targetState{Target: target}
	t.queueLimit = t.maxQueueLimit()
	return t
}

func (t *targetState) slots() float64 { return math.Max(float64(t.Slots), 1) }

func (t *targetState) maxQueueLimit() float64 {
	return math.Max(queueLimitPerSlot*t.slots(), minQueueLimit)
}

// othersWork returns the expected work of other routers at the target.
func (t *targetState) othersWork(now time.Time) float64 {
	if t.lastReport.IsZero() {
		return t.othersMean
	}
	weight := math.Exp(-now.Sub(t.lastReport).Seconds() / othersDecayTime.Seconds())
	return t.othersMean + (t.othersLast-t.othersMean)*weight
}

// totalWork returns the expected work of all routers at the target.
func (t *targetState) totalWork(now time.Time) float64 {
	return float64(t.inFlight) + t.othersWork(now)
}

// recordSend records that a request is sent.
func (t *targetState) recordSend(now time.Time) {
	if t.hasNoConns(now) {
		t.conns = 0
	}
	t.usedAt = now
	if t.inFlight == 0 {
		t.progressAt, t.stallReported = now, 0
	}
	t.inFlight++
	t.conns = max(t.conns, t.inFlight)
}

// recordEnd records that a request has ended.
func (t *targetState) recordEnd(now time.Time) {
	t.inFlight = max(t.inFlight-1, 0)
	t.usedAt = now
	t.progressAt, t.stallReported = now, 0
}

// stall returns for how many seconds none of this router's requests at the target has ended,
// if that is longer than stallFactor times the service time, and otherwise zero.
//
// With it a target that becomes many times slower is noticed before its first late answer,
// which comes only after most of the time for which the target is slow.
func (t *targetState) stall(now time.Time, service float64) float64 {
	if t.inFlight == 0 {
		return 0
	}
	if stall := now.Sub(t.progressAt).Seconds(); stall > stallFactor*service {
		return stall
	}
	return 0
}

// hasNoConns reports whether all connections to the target have been closed as idle.
func (t *targetState) hasNoConns(now time.Time) bool {
	return t.inFlight == 0 && now.Sub(t.usedAt) >= IdleConnTimeout
}

// needsNewConn reports whether a request that is sent now needs a new connection.
func (t *targetState) needsNewConn(now time.Time) bool {
	return t.hasNoConns(now) || t.inFlight >= t.conns
}

// hasRoom reports whether one more request may be sent. A router that has none in flight
// may always send one; otherwise it would get no report that the other routers' work has ended.
func (t *targetState) hasRoom(now time.Time) bool {
	return t.inFlight == 0 || !t.resumes(now) && t.totalWork(now) < t.slots()+t.queueLimit
}

// queuedAhead returns the number of requests that have to end before a new one gets a slot.
func (t *targetState) queuedAhead(now time.Time) float64 {
	return math.Max(t.totalWork(now)+1-t.slots(), 0)
}

// serviceTime returns how long the target takes for a request, in seconds; mean is the
// service's, which is used for a target without an answer.
func (t *targetState) serviceTime(now time.Time, mean float64) float64 {
	service := t.meanServiceTime
	if service == 0 {
		service = mean
	}
	if now.Before(t.ColdUntil) {
		service = math.Max(service, mean*justStartedFactor)
	}
	return math.Max(service, t.stall(now, service))
}

// wait returns how long a new request would wait for a slot, in seconds.
func (t *targetState) wait(now time.Time, mean float64) float64 {
	return t.queuedAhead(now) / t.slots() * t.serviceTime(now, mean)
}

// timeAtTarget returns how long a request that is sent now would stay at the target, waiting
// and running, in seconds.
func (t *targetState) timeAtTarget(now time.Time, mean float64) float64 {
	return t.wait(now, mean) + t.serviceTime(now, mean)
}

// expectedLatency returns the expected time to the answer of a new request in seconds. It takes
// failures into account: at a target where half of the requests fail, a request needs two
// attempts on average.
func (t *targetState) expectedLatency(now time.Time, mean float64) float64 {
	failureRate := math.Min(t.currentFailureRate(now), maxFailureRate)
	return t.timeAtTarget(now, mean) / (1 - failureRate)
}

// maxFailureRate bounds the failure rate in expectedLatency, which would be infinite for a target
// where all requests fail.
const maxFailureRate = 0.95

func (t *targetState) currentFailureRate(now time.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-now.Sub(t.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// recordOutcome updates the failure rate with the outcome of a request: zero for a success, one
// for a failure.
func (t *targetState) recordOutcome(now time.Time, failure float64) {
	t.failureRate = t.currentFailureRate(now)*(1-failureGain) + failure*failureGain
	t.failureRateAt = now
}

// recordReport records a load report. It has to be called while the answered request still
// counts as in flight, because the report includes this router's requests.
func (t *targetState) recordReport(now time.Time, r Report) {
	others := math.Max(float64(r.Running+r.Waiting-t.inFlight), 0)
	if t.lastReport.IsZero() {
		t.othersMean = others
	}
	t.othersMean += (others - t.othersMean) * othersGain
	t.othersLast, t.lastReport, t.lastWaiting = others, now, r.Waiting
}

// actualServiceMultiple returns how many service times an answered request has stayed at the
// target: the expected number, or more if the load report in its answer shows a longer queue.
//
// Without it, the wait in a queue that other routers fill would be taken for service time,
// and a busy target would seem to be slow.
func (t *targetState) actualServiceMultiple(now time.Time, expected float64) float64 {
	if now.Sub(t.lastReport) > maxReportAge {
		return expected
	}
	return math.Max(expected, 1+float64(t.lastWaiting)/t.slots())
}

// serviceMultiple returns how many service times a new request is expected to stay at the target.
func (t *targetState) serviceMultiple(now time.Time) float64 { return 1 + t.queuedAhead(now)/t.slots() }

// recordAnswer records the service time of an answer, in seconds. Answers of requests that waited
// for a slot count too: otherwise the mean of a target that is always full would rest on the few
// that did not wait, or on its first answer alone.
func (t *targetState) recordAnswer(sample, mean float64) {
	t.queueLimit = math.Min(t.queueLimit+queueLimitGain, t.maxQueueLimit())
	t.connectBackoff, t.nextConnectAt = 0, time.Time{}
	t.updateServiceTime(1, sample, mean, serviceGain)
}

// updateServiceTime updates the target's mean service time with the mean of a number of answers,
// sample, in seconds. mean is the service's, with which a target without an answer starts.
func (t *targetState) updateServiceTime(answers int, sample, mean, gain float64) {
	if t.meanServiceTime == 0 {
		t.meanServiceTime = mean
	}
	t.meanServiceTime += (sample - t.meanServiceTime) * (1 - math.Pow(1-gain, float64(answers)))
}

// recordTimeout records that a request had no answer in time, which gives a lower bound of the
// service time. It reports whether the bound changed the mean.
//
// Without it a target that is so slow, or so full, that no request ends in time would be taken to
// be as fast as the others and keep its keys: 14 of 40 requests to such a target timed out in the
// six seconds after a restart of all routers.
func (t *targetState) recordTimeout(lowerBound, mean float64) bool {
	if lowerBound <= math.Max(t.meanServiceTime, mean) {
		return false
	}
	t.updateServiceTime(1, lowerBound, mean, serviceGain)
	return true
}

// inConnectBackoff reports whether the target gets no requests because no connection to it could
// be opened.
func (t *targetState) inConnectBackoff(now time.Time) bool { return now.Before(t.nextConnectAt) }

// recordUnreachable records that no connection to the target could be opened, and starts the
// backoff. Without it each request would wait in vain for a connection; with it only one per
// backoff does.
func (t *targetState) recordUnreachable(now time.Time) {
	if t.inConnectBackoff(now) {
		return // this attempt was already in progress when another one started the backoff
	}
	t.connectBackoff = min(max(2*t.connectBackoff, minConnectBackoff), maxConnectBackoff)
	t.nextConnectAt = now.Add(t.connectBackoff)
	if t.connectBackoff == maxConnectBackoff {
		t.returnsUntil = t.nextConnectAt.Add(returnedFor)
	}
}

// cutQueueLimit lowers the queue limit after a request was refused, failed or timed out.
func (t *targetState) cutQueueLimit() {
	t.queueLimit = math.Max(t.queueLimit*queueLimitCut, minQueueLimit)
}
