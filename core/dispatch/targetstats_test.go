package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"

	"tarragongw/core/directory"
)

// recordAnswers records a number of answers of a target, each after the given time.
func recordAnswers(s *Service, id string, answers int, took time.Duration) {
	for range answers {
		s.targetByID[id].inFlight++
		s.Done(start, id, Answered, took, 1)
	}
}

// Guards against a leader that assigns keys by its own answers alone: with nine routers, to each
// of which a slow and a fast target answer once in two seconds, it has two answers of each after
// four seconds. The slow target kept as many keys as the fast one for twenty seconds, and most
// requests for them were late.
func TestRoutersTogetherMeasureWhichTargetIsSlow(t *testing.T) {
	const slow, fast = 420 * time.Millisecond, 180 * time.Millisecond
	leader, _ := newKeyedService("slow", target("slow", "here"), target("fast", "here"))
	recordAnswers(leader, "slow", 2, slow)
	recordAnswers(leader, "fast", 2, fast)
	alone := leader.ServiceTime("slow") / leader.ServiceTime("fast")
	assert.Assert(t, alone < 1.5, "%v", alone)
	for range 8 {
		follower, _ := newKeyedService("slow", target("slow", "here"), target("fast", "here"))
		recordAnswers(follower, "slow", 2, slow)
		recordAnswers(follower, "fast", 2, fast)
		leader.MergeStats(start, follower.DrainStats(start))
	}
	together := leader.ServiceTime("slow") / leader.ServiceTime("fast")
	assert.Assert(t, together > 1.6, "%v of %v", together, slow.Seconds()/fast.Seconds())

	newcomer, _ := newKeyedService("slow", target("slow", "here"), target("fast", "here"))
	newcomer.SetServiceTimes(leader.ChangedServiceTimes())
	assert.Assert(t, newcomer.ServiceTime("slow") > 1.6*newcomer.ServiceTime("fast"))
	assert.Equal(t, len(leader.ChangedServiceTimes()), 0, "an unchanged service time was returned again")
	assert.Equal(t, len(newcomer.DrainStats(start)), 0, "service times from the leader were returned as answers")
}

// The statistics of removed targets are dropped, so that they don't accumulate when many targets
// come and go.
func TestStatsOfRemovedTargetsAreDropped(t *testing.T) {
	s, _ := newKeyedService("a", target("a", "here"), target("b", "here"))
	recordAnswers(s, "a", 1, time.Second)
	recordAnswers(s, "b", 1, time.Second)
	s.SetTargets([]directory.Target{target("b", "here")})
	serviceTimes := s.DrainStats(start)
	assert.Equal(t, len(serviceTimes), 1)
	assert.Equal(t, serviceTimes[0].Target, "b")
}

// Guards against a target that keeps its keys although a third of its requests time out: its queue
// takes longer than the requests' deadlines, and without time-outs in the service time only answers
// count, so that its service time stays as assumed at first.
func TestTargetThatAnswersNothingInTimeCountsAsSlow(t *testing.T) {
	s, _ := newKeyedService("a", target("a", "here"), target("b", "here"))
	for range 5 {
		s.targetByID["a"].inFlight++
		s.Done(start, "a", TimedOut, 1300*time.Millisecond, 1)
	}
	assert.Assert(t, s.ServiceTime("a") > 3*initialService, "%v", s.ServiceTime("a"))
	recordAnswers(s, "b", 20, 200*time.Millisecond)
	before := s.ServiceTime("b")
	s.targetByID["b"].inFlight++
	s.Done(start, "b", TimedOut, 20*time.Millisecond, 1)
	assert.Equal(t, s.ServiceTime("b"), before, "a time-out after a short time changed the service time")
}

// Guards against a target that is taken for slow as long as other routers fill its queue.
func TestWaitBehindOtherRoutersIsNotServiceTime(t *testing.T) {
	const service = 200 * time.Millisecond
	s, _ := newKeyedService("busy", target("busy", "here"))
	for i := range 60 {
		now := at(1000 * i)
		d := s.Offer(now, Request{ID: uint64(i), Key: new(keyspace.Key)})
		assert.Equal(t, d.Verdict, Send)
		s.Report(now.Add(3*service), "busy", Report{Running: 2, Waiting: 4, Slots: 2})
		s.Done(now.Add(3*service), "busy", Answered, 3*service, d.ServiceMultiple)
	}
	assert.Assert(t, s.ServiceTime("busy") < 1.3*service.Seconds(), "%v", s.ServiceTime("busy"))
}

// Guards against a target that becomes many times slower and keeps its keys until its first late
// answer, and against one that is fast again but still counts as slow.
func TestSlowTargetIsNoticedBeforeItsFirstLateAnswer(t *testing.T) {
	const usual = 400 * time.Millisecond
	leader, _ := newKeyedService("a", target("a", "here"), target("b", "here"))
	for _, id := range []string{"a", "b"} {
		recordAnswers(leader, id, 40, usual)
	}
	before := leader.ServiceTime("a")
	var routers []*Service
	for i := range 20 {
		r, key := newKeyedService("a", target("a", "here"), target("b", "here"))
		recordAnswers(r, "a", 40, usual)
		r.DrainStats(start)
		assert.Equal(t, r.Offer(at(50*i), Request{ID: 1, Key: key}).Verdict, Send)
		routers = append(routers, r)
	}
	for now := 200; now <= 3000; now += 200 {
		for _, r := range routers {
			leader.MergeStats(at(now), r.DrainStats(at(now)))
		}
	}
	assert.Assert(t, leader.ServiceTime("a") > 2*before, "%v of %v", leader.ServiceTime("a"), before)
	assert.Assert(t, leader.ServiceTime("b") < 1.1*before)
	for range 12 {
		leader.MergeStats(at(9000), []TargetStats{{Target: "a", Answers: 1, Mean: usual}})
	}
	assert.Assert(t, leader.ServiceTime("a") < 2*before, "%v of %v", leader.ServiceTime("a"), before)
}
