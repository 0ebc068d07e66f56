package dispatch

import (
	"math"
	"time"
)

// TargetStats is what a number of answers tell of how long a target takes for a request, its wait
// not counted.
type TargetStats struct {
	Target string
	// Answers is how many the mean rests on.
	Answers int
	Mean    time.Duration
	// Waiting is the most requests that the target said wait for its slots, and Failed counts
	// those that it turned away or broke off.
	Waiting, Failed int
	// Stalled is for how long work at the target has made no progress; zero where it has.
	Stalled time.Duration
}

// stallGain is the weight of a stall that a router reports in the mean service time of a
// target. It is some answers' worth: a target that answers others at its usual speed has a
// request or two that got lost, one that doesn't has become slow.
const stallGain = 0.1

// pressedFor is for how long a target counts as pressed after the last sign of it.
const pressedFor = 500 * time.Millisecond

// serviceTimeChange is by which part a target's service time must have changed to be published again;
// the time of one request differs from the next by more than that.
const serviceTimeChange = 0.15

// sharedGain is the weight of a new answer in the mean service time of a target where the
// answers of all routers count; it remembers about the last thirty.
const sharedGain = 0.03

// recoveryGain is that of an answer which took less than half of the mean.
const recoveryGain = 0.15

// note remembers an answer's service time for DrainServiceTimes, where the speeds decide who holds
// which keys.
func (s *Service) note(id string, sample float64) {
	if !s.byKey {
		return
	}
	p := s.serviceTimeOf(id)
	p.Answers++
	p.Mean += (time.Duration(sample*float64(time.Second)) - p.Mean) / time.Duration(p.Answers)
}

func (s *Service) serviceTimeOf(id string) *TargetStats {
	p := s.serviceTimes[id]
	if p == nil {
		p = &TargetStats{Target: id}
		s.serviceTimes[id] = p
	}
	return p
}

// notePressed remembers a sign that a target has too much to do, for DrainServiceTimes and Pressed.
func (s *Service) notePressed(now time.Time, l *Load, waiting, failed int) {
	if !s.byKey || waiting < l.Slots && failed == 0 {
		return
	}
	l.pressedAt = now
	p := s.serviceTimeOf(l.ID)
	p.Waiting = max(p.Waiting, waiting)
	p.Failed += failed
}

// Pressed reports whether a target had requests waiting for all of its slots, or turned some
// away, of late; by the answers of all routers where they report them.
func (s *Service) Pressed(now time.Time, id string) bool {
	l := s.loads[id]
	return l != nil && !l.pressedAt.IsZero() && now.Sub(l.pressedAt) < pressedFor
}

// DrainServiceTimes returns what answers showed since the last call.
//
// It answers a target that is half as fast as the others, or turns slow: one router of
// nine gets an answer of it every two seconds, and knows after twenty seconds what all of
// them together know after two.
func (s *Service) DrainServiceTimes(now time.Time) []TargetStats {
	s.noteStalls(now)
	var all []TargetStats
	for id, p := range s.serviceTimes {
		all = append(all, *p)
		delete(s.serviceTimes, id)
	}
	return all
}

// answerGain is the weight of another router's answers that took so long on average, in
// seconds. A target that was slow and has few keys left gets few requests; that it is fast
// again must show by those.
func (l *Load) answerGain(mean float64) float64 {
	if mean < l.service/2 {
		return recoveryGain
	}
	return sharedGain
}

// noteStalls remembers work that makes no progress, once for each time its stall has doubled.
func (s *Service) noteStalls(now time.Time) {
	if !s.byKey {
		return
	}
	for _, l := range s.order {
		if l.inFlight == 0 {
			continue
		}
		usual := math.Max(l.service, s.mean)
		stall := time.Duration(l.stall(now, usual*l.stayed(now, 1)) * float64(time.Second))
		if stall > 0 && stall >= 2*l.stallReported {
			l.stallReported = stall
			s.serviceTimeOf(l.ID).Stalled = stall
		}
	}
}

// LearnServiceTimes takes in what another router learned from answers.
func (s *Service) LearnServiceTimes(now time.Time, serviceTimes []TargetStats) {
	for _, p := range serviceTimes {
		l := s.loads[p.Target]
		if l == nil {
			continue
		}
		if p.Answers > 0 && p.Mean > 0 {
			l.learn(p.Answers, p.Mean.Seconds(), s.mean, l.answerGain(p.Mean.Seconds()))
		}
		if p.Stalled.Seconds() > math.Max(l.service, s.mean) {
			l.learn(1, p.Stalled.Seconds(), s.mean, stallGain)
		}
		if p.Failed > 0 || p.Waiting >= l.Slots && p.Waiting > 0 {
			l.pressedAt = now
		}
	}
}

// ChangedServiceTimes returns the service times that have changed since they were last returned.
func (s *Service) ChangedServiceTimes() []TargetStats {
	var all []TargetStats
	for _, l := range s.order {
		if l.service == 0 || l.published != 0 && math.Abs(l.service-l.published) < serviceTimeChange*l.published {
			continue
		}
		l.published = l.service
		all = append(all, TargetStats{Target: l.ID, Mean: time.Duration(l.service * float64(time.Second))})
	}
	return all
}

// SetServiceTimes puts in force what all routers together know.
func (s *Service) SetServiceTimes(serviceTimes []TargetStats) {
	for _, p := range serviceTimes {
		if l := s.loads[p.Target]; l != nil && p.Mean > 0 {
			l.service = p.Mean.Seconds()
		}
	}
}
