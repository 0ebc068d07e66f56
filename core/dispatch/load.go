// Package dispatch decides where and when a request is sent: it places work on the
// targets of a service, lets what finds no room wait in order of worth, and refuses at
// once what can't be answered in time.
//
// Many routers share a few slots at each target and don't talk to each other, so each
// reckons with its own work in flight and with what answers tell of the others' work.
// The package is deterministic: time and the random source are parameters.
package dispatch

import (
	"math"
	"time"

	"tarragongw/core/directory"
)

const (
	// othersMemory is the time constant with which a report of the others' work gives way
	// to its mean: about the time that one request is at work, after which the report says
	// nothing of who is there now.
	othersMemory = 200 * time.Millisecond
	// stallFactor is how many service times work must have made no progress for to tell of the
	// target's speed: hardly a request takes that long by itself.
	stallFactor = 2.5
	// reportFresh is how old the report of an answer is at most when its end is noted.
	reportFresh = 20 * time.Millisecond
	// othersGain is the weight of a new report in the mean of the others' work.
	othersGain = 0.2
	// serviceGain is the weight of a new answer in the mean service time of a target; it
	// remembers about the last ten.
	serviceGain = 0.1
	// failureGain is the weight of one outcome in the share of failures, and
	// failureHalfLife is how fast the share is forgotten where nothing is sent, so that a
	// target that has recovered is tried again.
	failureGain     = 0.2
	failureHalfLife = 2 * time.Second
	// coldFactor is how much slower a target that has just started is taken to be.
	coldFactor = 2.0
	// minDepth and depthPerSlot bound the work that may wait at a target beyond its slots;
	// targets queue only a few requests and break connections off beyond that.
	minDepth     = 1.0
	depthPerSlot = 2.0
	// depthCut and depthGain lower the depth by a part when a target refuses or breaks
	// off, and raise it by a part of a request with each answer.
	depthCut  = 0.5
	depthGain = 0.05
	// RestTime is how long a connection without work is kept; targets close theirs after
	// ten seconds.
	RestTime = 8 * time.Second
	// minUnreached and maxUnreached bound for how long a target that can't be reached is
	// left alone; the second is about what a broken way takes to be found anyway.
	minUnreached = 200 * time.Millisecond
	maxUnreached = time.Second
)

// Report is what an answer tells of its target's work.
type Report struct {
	Running, Waiting, Slots int
}

// Load is what this router believes of one target.
type Load struct {
	directory.Target
	// inFlight is this router's own work at the target.
	inFlight int
	// conns is how many connections to the target this router is taken to have, the most work
	// in flight since it was at rest for RestTime; usedAt is when work last came or ended.
	conns  int
	usedAt time.Time
	// others is the mean of the other routers' work; lastOthers is what the last report
	// said of it, at lastReport.
	others, lastOthers float64
	lastReport         time.Time
	// lastWaiting is how many requests waited there by the last report.
	lastWaiting int
	// service is the mean time of an answer without its wait, in seconds; zero before the
	// first.
	service float64
	// published is the service time that ChangedServiceTimes returned last.
	published float64
	// failing is the share of work that failed, as of failedAt.
	failing  float64
	failedAt time.Time
	// depth is how much work may wait at the target.
	depth float64
	// unreached is for how long the target is left alone after a connection to it could
	// not be opened, until triedAgain.
	unreached  time.Duration
	triedAgain time.Time
	// progressAt is when work at the target last ended, or began where there was none, and
	// stallReported the stall that DrainServiceTimes returned last of the present one.
	progressAt    time.Time
	stallReported time.Duration
	// pressedAt is when the target last showed that it has too much to do.
	pressedAt time.Time
}

func newLoad(t directory.Target) *Load {
	l := &Load{Target: t}
	l.depth = l.maxDepth()
	return l
}

func (l *Load) slots() float64 { return math.Max(float64(l.Slots), 1) }

func (l *Load) maxDepth() float64 { return math.Max(depthPerSlot*l.slots(), minDepth) }

// othersNow is the work of other routers that is to be expected at the target.
func (l *Load) othersNow(now time.Time) float64 {
	if l.lastReport.IsZero() {
		return l.others
	}
	fresh := math.Exp(-now.Sub(l.lastReport).Seconds() / othersMemory.Seconds())
	return l.others + (l.lastOthers-l.others)*fresh
}

// work is all that is to be expected at the target.
func (l *Load) work(now time.Time) float64 { return float64(l.inFlight) + l.othersNow(now) }

// send notes that work is sent.
func (l *Load) send(now time.Time) {
	if l.cold(now) {
		l.conns = 0
	}
	l.usedAt = now
	if l.inFlight == 0 {
		l.progressAt, l.stallReported = now, 0
	}
	l.inFlight++
	l.conns = max(l.conns, l.inFlight)
}

// end notes that work has ended.
func (l *Load) end(now time.Time) {
	l.inFlight = max(l.inFlight-1, 0)
	l.usedAt = now
	l.progressAt, l.stallReported = now, 0
}

// stall is how long this router's work at the target has made no progress, where that is
// longer than stallFactor times the service time, in seconds; else zero.
//
// It answers targets that turn many times slower: their first late answer comes after most
// of the time for which they are slow.
func (l *Load) stall(now time.Time, service float64) float64 {
	if l.inFlight == 0 {
		return 0
	}
	if stall := now.Sub(l.progressAt).Seconds(); stall > stallFactor*service {
		return stall
	}
	return 0
}

// cold reports whether no connection to the target is left.
func (l *Load) cold(now time.Time) bool { return l.inFlight == 0 && now.Sub(l.usedAt) >= RestTime }

// opens reports whether work that is sent now needs a new connection.
func (l *Load) opens(now time.Time) bool { return l.cold(now) || l.inFlight >= l.conns }

// hasRoom reports whether one more request may be sent. A router that has none in flight
// may always send one: it would else never learn that the others' work has ended.
func (l *Load) hasRoom(now time.Time) bool {
	return l.inFlight == 0 || l.work(now) < l.slots()+l.depth
}

// waiting is the number of requests that a new one would wait for.
func (l *Load) waiting(now time.Time) float64 {
	return math.Max(l.work(now)+1-l.slots(), 0)
}

// serviceTime is how long the target takes for a request, by the service's mean where it
// isn't known; in seconds.
func (l *Load) serviceTime(now time.Time, mean float64) float64 {
	t := l.service
	if t == 0 {
		t = mean
	}
	if now.Before(l.ColdUntil) {
		t = math.Max(t, mean*coldFactor)
	}
	return math.Max(t, l.stall(now, t))
}

// wait is how long a new request would wait for a slot, in seconds.
func (l *Load) wait(now time.Time, mean float64) float64 {
	return l.waiting(now) / l.slots() * l.serviceTime(now, mean)
}

// stay is how long a request that is sent to the target now stays there, in seconds.
func (l *Load) stay(now time.Time, mean float64) float64 {
	return l.wait(now, mean) + l.serviceTime(now, mean)
}

// expected is the time to a new request's answer in seconds, failures taken into
// account: a target that fails half of its work costs each request a second try.
func (l *Load) expected(now time.Time, mean float64) float64 {
	failing := math.Min(l.failingNow(now), maxFailing)
	return l.stay(now, mean) / (1 - failing)
}

// maxFailing keeps a target that fails all work from being compared with infinity.
const maxFailing = 0.95

func (l *Load) failingNow(now time.Time) float64 {
	if l.failing == 0 {
		return 0
	}
	return l.failing * math.Exp2(-now.Sub(l.failedAt).Seconds()/failureHalfLife.Seconds())
}

// outcome notes whether work failed.
func (l *Load) outcome(now time.Time, failure float64) {
	l.failing = l.failingNow(now)*(1-failureGain) + failure*failureGain
	l.failedAt = now
}

// report notes what an answer tells, while this router's own work is counted in it.
func (l *Load) report(now time.Time, r Report) {
	others := math.Max(float64(r.Running+r.Waiting-l.inFlight), 0)
	if l.lastReport.IsZero() {
		l.others = others
	}
	l.others += (others - l.others) * othersGain
	l.lastOthers, l.lastReport, l.lastWaiting = others, now, r.Waiting
}

// stayed is how many service times an answered request has stayed at the target, which were
// expected to be so many. The answer itself tells how many wait there now.
//
// It answers a target whose queue is filled by other routers: taken for its service time, the
// wait of each request makes it look slow for as long as it is busy.
func (l *Load) stayed(now time.Time, expected float64) float64 {
	if now.Sub(l.lastReport) > reportFresh {
		return expected
	}
	return math.Max(expected, 1+float64(l.lastWaiting)/l.slots())
}

// turns is how many service times a new request stays at the target.
func (l *Load) turns(now time.Time) float64 { return 1 + l.waiting(now)/l.slots() }

// answered notes an answer's service time in seconds. Answers that waited count as well: a
// target that is always full would else be known by the few that did not, or by its first
// alone.
func (l *Load) answered(sample, mean float64) {
	l.depth = math.Min(l.depth+depthGain, l.maxDepth())
	l.unreached, l.triedAgain = 0, time.Time{}
	l.learn(1, sample, mean, serviceGain)
}

// learn takes in the mean service time of so many answers, in seconds. mean is the
// service's, from which a target without an answer begins.
func (l *Load) learn(answers int, sample, mean, gain float64) {
	if l.service == 0 {
		l.service = mean
	}
	l.service += (sample - l.service) * (1 - math.Pow(1-gain, float64(answers)))
}

// overran notes that a request had no answer in time, which says the least service time that
// an answer would have had. Without it a target that is so slow, or so full, that nothing
// ends in time is taken to be as fast as the others, and keeps its keys: 14 of 40 requests
// to one ended so in six seconds after a restart of all routers.
func (l *Load) overran(least, mean float64) bool {
	if least <= math.Max(l.service, mean) {
		return false
	}
	l.learn(1, least, mean, serviceGain)
	return true
}

// away reports whether the target is left alone, because it can't be reached.
func (l *Load) away(now time.Time) bool { return now.Before(l.triedAgain) }

// unreachable notes that no connection to the target could be opened. Each request would
// else wait for one in vain; now one in a while does.
func (l *Load) unreachable(now time.Time) {
	if l.away(now) {
		return // it was under way when another found out
	}
	l.unreached = min(max(2*l.unreached, minUnreached), maxUnreached)
	l.triedAgain = now.Add(l.unreached)
}

// full notes that the target had no room.
func (l *Load) full() { l.depth = math.Max(l.depth*depthCut, minDepth) }
