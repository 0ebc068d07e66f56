package dispatch

import (
	"math"
	"time"
)

// TargetStats are the statistics of a target over a number of answers.
type TargetStats struct {
	Target string
	// Answers is the number of answers, and Mean their mean service time, the wait for a slot
	// not included.
	Answers int
	Mean    time.Duration
	// Waiting is the largest number of waiting requests that the target reported, and Failed
	// the number of requests that it refused for lack of room or that failed.
	Waiting, Failed int
	// Stalled is for how long no request at the target has ended; zero if it is not stalled.
	Stalled time.Duration
}

// stallGain is the weight in a target's mean service time of a stall that a router reports. It
// equals that of a few answers: if other routers still get answers at the usual speed, a request
// or two were lost and their answers outweigh the stall; otherwise the target has become slow.
const stallGain = 0.1

// overloadedFor is for how long a target counts as overloaded after the last sign of it.
const overloadedFor = 500 * time.Millisecond

// serviceTimeChange is the share by which a target's mean service time must have changed to be
// published again; single requests differ from each other by more than that.
const serviceTimeChange = 0.15

// sharedGain is the weight of an answer that another router reports in a target's mean service
// time, which then covers about the last thirty answers of all routers.
const sharedGain = 0.03

// recoveryGain replaces sharedGain for answers that took less than half of the mean.
const recoveryGain = 0.15

// recordServiceTime adds an answer's service time to the pending statistics. Only services with
// divided keys need them, because the service times decide which target holds which keys.
func (s *Service) recordServiceTime(id string, sample float64) {
	if !s.byKey {
		return
	}
	stats := s.pendingStatsOf(id)
	stats.Answers++
	stats.Mean += (time.Duration(sample*float64(time.Second)) - stats.Mean) / time.Duration(stats.Answers)
}

func (s *Service) pendingStatsOf(id string) *TargetStats {
	stats := s.pendingStats[id]
	if stats == nil {
		stats = &TargetStats{Target: id}
		s.pendingStats[id] = stats
	}
	return stats
}

// recordOverload records a sign of overload for DrainStats and Overloaded: at least as many
// waiting requests as slots, or a failed request.
func (s *Service) recordOverload(now time.Time, t *targetState, waiting, failed int) {
	if !s.byKey || waiting < t.Slots && failed == 0 {
		return
	}
	t.overloadedAt = now
	stats := s.pendingStatsOf(t.ID)
	stats.Waiting = max(stats.Waiting, waiting)
	stats.Failed += failed
}

// Overloaded reports whether a target was overloaded recently: it had at least as many waiting
// requests as slots, or refused or failed requests. If other routers report their answers by
// MergeStats, these count too.
func (s *Service) Overloaded(now time.Time, id string) bool {
	t := s.targetByID[id]
	return t != nil && !t.overloadedAt.IsZero() && now.Sub(t.overloadedAt) < overloadedFor
}

// DrainStats returns the statistics of targets since the last call, for the router that
// assigns the keys.
//
// Routers together notice sooner that a target is slower than the others: one of nine routers
// gets an answer from it every two seconds, and knows after twenty seconds what all of them
// together know after two.
func (s *Service) DrainStats(now time.Time) []TargetStats {
	s.recordStalls(now)
	var all []TargetStats
	for id, stats := range s.pendingStats {
		all = append(all, *stats)
		delete(s.pendingStats, id)
	}
	return all
}

// answerGain returns the weight of another router's answers with the mean service time in seconds.
// Fast answers have a larger weight: a target that was slow has few keys left and gets few
// requests, and these must suffice to show that it is fast again.
func (t *targetState) answerGain(mean float64) float64 {
	if mean < t.meanServiceTime/2 {
		return recoveryGain
	}
	return sharedGain
}

// recordStalls adds stalls of targets to the pending statistics; a stall is reported again whenever
// its duration has doubled.
func (s *Service) recordStalls(now time.Time) {
	if !s.byKey {
		return
	}
	for _, t := range s.targetList {
		if t.inFlight == 0 {
			continue
		}
		usual := math.Max(t.meanServiceTime, s.overallServiceTime)
		stall := time.Duration(t.stall(now, usual*t.actualServiceMultiple(now, 1)) * float64(time.Second))
		if stall > 0 && stall >= 2*t.stallReported {
			t.stallReported = stall
			s.pendingStatsOf(t.ID).Stalled = stall
		}
	}
}

// MergeStats merges statistics that another router has drained.
func (s *Service) MergeStats(now time.Time, all []TargetStats) {
	for _, stats := range all {
		t := s.targetByID[stats.Target]
		if t == nil {
			continue
		}
		if stats.Answers > 0 && stats.Mean > 0 {
			s.workTimes.add(stats.Mean.Seconds(), stats.Answers)
			t.updateServiceTime(stats.Answers, stats.Mean.Seconds(), s.overallServiceTime, t.answerGain(stats.Mean.Seconds()))
		}
		if stats.Stalled.Seconds() > math.Max(t.meanServiceTime, s.overallServiceTime) {
			t.updateServiceTime(1, stats.Stalled.Seconds(), s.overallServiceTime, stallGain)
		}
		if stats.Failed > 0 || stats.Waiting >= t.Slots && stats.Waiting > 0 {
			t.overloadedAt = now
		}
	}
}

// ChangedServiceTimes returns the mean service times that have changed by at least
// serviceTimeChange since they were last returned.
func (s *Service) ChangedServiceTimes() []TargetStats {
	var all []TargetStats
	for _, t := range s.targetList {
		if t.meanServiceTime == 0 || t.publishedServiceTime != 0 && math.Abs(t.meanServiceTime-t.publishedServiceTime) < serviceTimeChange*t.publishedServiceTime {
			continue
		}
		t.publishedServiceTime = t.meanServiceTime
		all = append(all, TargetStats{Target: t.ID, Mean: time.Duration(t.meanServiceTime * float64(time.Second))})
	}
	return all
}

// SetServiceTimes replaces mean service times by those that the leader has merged from all routers.
func (s *Service) SetServiceTimes(all []TargetStats) {
	for _, stats := range all {
		if t := s.targetByID[stats.Target]; t != nil && stats.Mean > 0 {
			t.meanServiceTime = stats.Mean.Seconds()
		}
	}
}
