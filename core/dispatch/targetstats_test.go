package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"

	"tarragongw/core/directory"
)

// served has a router get answers of the target, each after the time.
func served(s *Service, id string, answers int, took time.Duration) {
	for range answers {
		s.loads[id].inFlight++
		s.Done(start, id, Answered, took, 1)
	}
}

// Symptom: a target that is slower than the others keeps as many keys for twenty seconds,
// and most requests for them are late.
// Sequence: nine routers share the load of a slow and a fast target, which each answer a
// router once in two seconds; the one that divides the keys looks after four seconds.
// Cause: it knows of its own two answers alone.
func TestRoutersTogetherLearnWhichTargetIsSlow(t *testing.T) {
	const slow, fast = 420 * time.Millisecond, 180 * time.Millisecond
	leader, _ := keyed("slow", target("slow", "here"), target("fast", "here"))
	served(leader, "slow", 2, slow)
	served(leader, "fast", 2, fast)
	alone := leader.ServiceTime("slow") / leader.ServiceTime("fast")
	assert.Assert(t, alone < 1.5, "%v", alone)
	for range 8 {
		follower, _ := keyed("slow", target("slow", "here"), target("fast", "here"))
		served(follower, "slow", 2, slow)
		served(follower, "fast", 2, fast)
		leader.LearnServiceTimes(start, follower.DrainServiceTimes(start))
	}
	together := leader.ServiceTime("slow") / leader.ServiceTime("fast")
	assert.Assert(t, together > 1.6, "%v of %v", together, slow.Seconds()/fast.Seconds())

	newcomer, _ := keyed("slow", target("slow", "here"), target("fast", "here"))
	newcomer.SetServiceTimes(leader.ChangedServiceTimes())
	assert.Assert(t, newcomer.ServiceTime("slow") > 1.6*newcomer.ServiceTime("fast"))
	assert.Equal(t, len(leader.ChangedServiceTimes()), 0, "what has not changed is not told again")
	assert.Equal(t, len(newcomer.DrainServiceTimes(start)), 0, "what was heard is not reported as an answer")
}

// What answers of targets that are gone told is not kept, however many come and go.
func TestPacesOfGoneTargetsAreForgotten(t *testing.T) {
	s, _ := keyed("a", target("a", "here"), target("b", "here"))
	served(s, "a", 1, time.Second)
	served(s, "b", 1, time.Second)
	s.SetTargets([]directory.Target{target("b", "here")})
	serviceTimes := s.DrainServiceTimes(start)
	assert.Equal(t, len(serviceTimes), 1)
	assert.Equal(t, serviceTimes[0].Target, "b")
}

// Symptom: a target of which a third of the requests end without an answer keeps its keys.
// Sequence: its queue is longer than the time that requests have, so that none is answered.
// Cause: only answers tell of its speed; it stays what was assumed of it.
func TestTargetThatAnswersNothingInTimeCountsAsSlow(t *testing.T) {
	s, _ := keyed("a", target("a", "here"), target("b", "here"))
	for range 5 {
		s.loads["a"].inFlight++
		s.Done(start, "a", TimedOut, 1300*time.Millisecond, 1)
	}
	assert.Assert(t, s.ServiceTime("a") > 3*initialService, "%v", s.ServiceTime("a"))
	served(s, "b", 20, 200*time.Millisecond)
	before := s.ServiceTime("b")
	s.loads["b"].inFlight++
	s.Done(start, "b", TimedOut, 20*time.Millisecond, 1)
	assert.Equal(t, s.ServiceTime("b"), before, "a request with little time left says nothing")
}

// Guards against a target that is taken to be slow for as long as others fill its queue.
func TestWaitInAQueueOfOthersIsNotTakenForServiceTime(t *testing.T) {
	const service = 200 * time.Millisecond
	s, _ := keyed("busy", target("busy", "here"))
	for i := range 60 {
		now := at(1000 * i)
		d := s.Offer(now, Request{ID: uint64(i), Key: new(keyspace.Key)})
		assert.Equal(t, d.Verdict, Send)
		s.Report(now.Add(3*service), "busy", Report{Running: 2, Waiting: 4, Slots: 2})
		s.Done(now.Add(3*service), "busy", Answered, 3*service, d.Turns)
	}
	assert.Assert(t, s.ServiceTime("busy") < 1.3*service.Seconds(), "%v", s.ServiceTime("busy"))
}

// Guards against a target that turns many times slower and keeps its keys until the first of
// its late answers, and against one that is fast again and isn't given any.
func TestTargetThatTurnsSlowShowsBeforeItsFirstLateAnswer(t *testing.T) {
	const usual = 400 * time.Millisecond
	leader, _ := keyed("a", target("a", "here"), target("b", "here"))
	for _, id := range []string{"a", "b"} {
		served(leader, id, 40, usual)
	}
	before := leader.ServiceTime("a")
	var routers []*Service
	for i := range 20 {
		r, key := keyed("a", target("a", "here"), target("b", "here"))
		served(r, "a", 40, usual)
		r.DrainServiceTimes(start)
		assert.Equal(t, r.Offer(at(50*i), Request{ID: 1, Key: key}).Verdict, Send)
		routers = append(routers, r)
	}
	for now := 200; now <= 3000; now += 200 {
		for _, r := range routers {
			leader.LearnServiceTimes(at(now), r.DrainServiceTimes(at(now)))
		}
	}
	assert.Assert(t, leader.ServiceTime("a") > 2*before, "%v of %v", leader.ServiceTime("a"), before)
	assert.Assert(t, leader.ServiceTime("b") < 1.1*before)
	for range 12 {
		leader.LearnServiceTimes(at(9000), []TargetStats{{Target: "a", Answers: 1, Mean: usual}})
	}
	assert.Assert(t, leader.ServiceTime("a") < 2*before, "%v of %v", leader.ServiceTime("a"), before)
}
