package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

var start = time.Unix(9000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func target(id, dc string) directory.Target {
	return directory.Target{ID: id, Service: "s", Address: id, DataCentre: dc, Slots: 2}
}

func newService(targets ...directory.Target) *Service {
	s := New("here", false, rand.New(rand.NewPCG(1, 2)))
	s.SetTargets(targets)
	return s
}

// keyed is a service whose keys one target holds.
func keyed(holder string, targets ...directory.Target) (*Service, *keyspace.Key) {
	s := New("here", true, rand.New(rand.NewPCG(1, 2)))
	s.SetTargets(targets)
	table := keyspace.New("s")
	table.Segments[0].Holder = keyspace.Holder{Target: holder}
	s.SetTable(table)
	return s, new(keyspace.Key)
}

func request(id uint64) Request {
	return Request{ID: id, Due: at(400), Deadline: at(1200)}
}

// spread offers n requests and counts where they are sent.
func spread(s *Service, n int) map[string]int {
	sent := map[string]int{}
	for i := range n {
		d := s.Offer(start, Request{ID: uint64(i), Deadline: at(10_000)})
		if d.Verdict == Send {
			sent[d.Target.ID]++
		}
	}
	return sent
}

// learn has a target answer some requests in the time.
func learn(s *Service, id string, took time.Duration) {
	for range 30 {
		s.loads[id].inFlight++
		s.Done(start, id, Answered, took, 1)
	}
}

func TestFastTargetsGetMore(t *testing.T) {
	s := newService(target("fast", "here"), target("slow", "here"))
	learn(s, "fast", 50*time.Millisecond)
	learn(s, "slow", 200*time.Millisecond)
	sent := spread(s, 5)
	assert.Assert(t, sent["fast"] > sent["slow"], "%v", sent)
}

// A body of 60 kB stays in its data centre while there is room; a short one goes where the
// answer comes first.
func TestLongBodiesStayInTheirDataCentre(t *testing.T) {
	s := newService(target("near", "here"), target("far", "there"))
	learn(s, "near", 150*time.Millisecond)
	learn(s, "far", 100*time.Millisecond)
	assert.Equal(t, s.Offer(start, Request{ID: 1, Bytes: 60_000}).Target.ID, "near")
	assert.Equal(t, s.Offer(start, Request{ID: 2, Bytes: 600}).Target.ID, "far")
}

// However long a body is, it doesn't stay where its answer comes much later.
func TestLongBodiesLeaveAFullDataCentre(t *testing.T) {
	s := newService(target("near", "here"), target("far", "there"))
	learn(s, "near", 400*time.Millisecond)
	learn(s, "far", 100*time.Millisecond)
	assert.Equal(t, s.Offer(start, Request{ID: 1, Bytes: 500_000}).Target.ID, "far")
}

// Symptom: half as many connections to targets are opened as requests sent, and what a
// router knows of a target's work is seconds old.
// Sequence: nine routers share a load of 60 requests a second to eight targets that look
// alike; each sends to all of them in turn, one request to each in a second.
// Cause: a target with a resting connection is worth no more than one without.
func TestRouterStaysWithFewTargetsAtLowLoad(t *testing.T) {
	var targets []directory.Target
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		targets = append(targets, target(id, "here"))
	}
	s := newService(targets...)
	used := map[string]bool{}
	for i := range 60 {
		now := at(i * 150)
		d := s.Offer(now, Request{ID: uint64(i), Deadline: now.Add(time.Second)})
		assert.Equal(t, d.Verdict, Send)
		used[d.Target.ID] = true
		s.Done(now.Add(100*time.Millisecond), d.Target.ID, Answered, 100*time.Millisecond, d.Turns)
	}
	assert.Assert(t, len(used) <= 2, "%v", used)
	// More at once than its slots goes on to others.
	assert.Assert(t, len(spread(s, 8)) >= 4)
}

// Symptom: some targets of a service break connections off while others have room.
// Sequence: many routers send to the one that was idle when they last heard of it.
// Cause: the others' work is not reckoned with.
func TestReportsOfOthersWorkCount(t *testing.T) {
	s := newService(target("a", "here"), target("b", "here"))
	s.Report(start, "a", Report{Running: 2, Waiting: 4, Slots: 2})
	assert.Equal(t, spread(s, 2)["b"], 2)
	assert.Assert(t, s.loads["a"].othersNow(at(0)) > s.loads["a"].othersNow(at(5000))-1e-9)
}

// A target that breaks off when it is full gets less at a time, and more again later.
func TestDepthFollowsRefusals(t *testing.T) {
	s := newService(target("a", "here"))
	l := s.loads["a"]
	before := l.depth
	l.inFlight = 2
	s.Done(start, "a", Shed, 0, 1)
	s.Done(start, "a", Shed, 0, 1)
	assert.Assert(t, l.depth < before/2+minDepth)
	learn(s, "a", 100*time.Millisecond)
	assert.Assert(t, l.depth > before/2)
}

// Symptom: requests are kept for seconds and refused in the end.
// Sequence: one key's holder is asked for more than it can do, through many routers.
// Cause: the wait is reckoned from the target's queue alone, not from the router's own.
func TestWhatCanNotBeInTimeIsRefusedAtOnce(t *testing.T) {
	s, key := keyed("a", target("a", "here"))
	learn(s, "a", 200*time.Millisecond)
	s.Report(start, "a", Report{Running: 2, Waiting: 4, Slots: 2})
	var sent, waiting, refused int
	for i := range 40 {
		r := request(uint64(i))
		r.Key = key
		switch d := s.Offer(start, r); d.Verdict {
		case Send:
			sent++
		case Wait:
			waiting++
		default:
			refused++
			assert.Equal(t, d.Fault, fault.QueueFull)
			assert.Assert(t, d.RetryAfter >= minRetryAfter)
		}
	}
	assert.Assert(t, sent >= 1 && waiting >= 1, "%d sent, %d wait", sent, waiting)
	assert.Assert(t, waiting <= 4, "%d wait for a target that takes a second for each", waiting)
	assert.Equal(t, sent+waiting+refused, 40)
}

// Urgent requests go first, then those that can still be in time, then the oldest.
func TestOrderOfThoseThatWait(t *testing.T) {
	q := queue{}
	add := func(id uint64, rank, since, due int) {
		q.add(&Request{ID: id, Rank: rank, since: at(since), Due: at(due)})
	}
	add(1, 1, 0, 50)
	add(2, 1, 20, 500)
	add(3, 1, 10, 500)
	add(4, 0, 30, 60)
	var order []uint64
	for _, r := range q.ordered(at(100)) {
		order = append(order, r.ID)
	}
	assert.DeepEqual(t, order, []uint64{4, 3, 2, 1})
}

// Requests that wait get their place when work ends.
func TestPlacesThatComeFreeAreGivenOut(t *testing.T) {
	s, key := keyed("a", target("a", "here"))
	learn(s, "a", 50*time.Millisecond)
	var waiting []uint64
	for i := uint64(1); len(waiting) < 2; i++ {
		r := request(i)
		r.Key = key
		if s.Offer(start, r).Verdict == Wait {
			waiting = append(waiting, i)
		}
	}
	assert.Equal(t, len(s.Poll(at(1))), 0)
	s.Done(at(50), "a", Answered, 50*time.Millisecond, 1)
	decided := s.Poll(at(50))
	assert.Equal(t, decided[waiting[0]].Verdict, Send)
	assert.Assert(t, s.Cancel(waiting[1]))
	assert.Assert(t, !s.Cancel(waiting[0]))
}

// Keys that are being handed over are waited for, those of a lost holder are not.
func TestMovingAndLostKeys(t *testing.T) {
	s, key := keyed("a", target("a", "here"))
	s.table.Segments[0].Moving = true
	r := request(1)
	r.Key = key
	assert.Equal(t, s.Offer(start, r).Verdict, Wait)
	decided := s.Poll(start.Add(movePatience + time.Millisecond))
	assert.Equal(t, decided[1].Fault, fault.Moving)
	s.table.Segments[0].Lost = true
	r.ID = 2
	d := s.Offer(start, r)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.RetryAfter, lapseRetryAfter)
}

// A target that can't be reached is left alone, a little longer each time, until it answers.
func TestUnreachableTargetIsLeftAlone(t *testing.T) {
	s, key := keyed("a", target("a", "here"))
	r := request(1)
	r.Key = key
	assert.Equal(t, s.Offer(start, r).Verdict, Send)
	s.Done(start, "a", Unreached, 0, 1)
	r.ID = 2
	assert.Equal(t, s.Offer(start, r).Verdict, Refuse)
	assert.Equal(t, s.Offer(start.Add(minUnreached), r).Verdict, Send)
	s.Done(start.Add(minUnreached), "a", Unreached, 0, 1)
	assert.Equal(t, s.Offer(start.Add(2*minUnreached), r).Verdict, Refuse)
	s.Done(start.Add(3*minUnreached), "a", Answered, time.Millisecond, 1)
	assert.Equal(t, s.Offer(start.Add(3*minUnreached), r).Verdict, Send)
}

// Targets that fail are passed by, and tried again once that is some seconds ago.
func TestFailingTargetsArePassedByForAWhile(t *testing.T) {
	s := newService(target("good", "here"), target("bad", "here"))
	learn(s, "good", 100*time.Millisecond)
	learn(s, "bad", 100*time.Millisecond)
	for range 10 {
		s.loads["bad"].inFlight++
		s.Done(start, "bad", Failed, time.Millisecond, 1)
	}
	assert.Equal(t, spread(s, 2)["good"], 2)
	assert.Assert(t, s.loads["bad"].failingNow(at(10_000)) < 0.05)
}

// A new life of a target is not judged by the one before.
func TestNewLifeBeginsAnew(t *testing.T) {
	s := newService(target("a", "here"))
	s.loads["a"].inFlight = 2
	again := target("a", "here")
	again.Born = 7
	s.SetTargets([]directory.Target{again})
	assert.Equal(t, s.loads["a"].inFlight, 0)
}

// Symptom: one key is hot, and all of its answers are late although its holder is never idle.
// Sequence: the holder's queue is kept full, so that each request waits longer than its
// objective.
// Cause: places in the queue are given to requests that will be late.
func TestHotKeyIsAnsweredInTimeNotInFull(t *testing.T) {
	const service, perSecond = 100 * time.Millisecond, 60
	s, key := keyed("a", target("a", "here"))
	learn(s, "a", service)
	type work struct {
		sent, ends time.Time
		turns      float64
	}
	var running []work
	inTime, late := 0, 0
	for i := range 5 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for len(running) > 0 && !running[0].ends.After(now) {
			done := running[0]
			running = running[1:]
			s.Done(now, "a", Answered, done.ends.Sub(done.sent), done.turns)
		}
		r := Request{ID: uint64(i), Key: key, Due: now.Add(220 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond)}
		d := s.Offer(now, r)
		if d.Verdict != Send {
			s.Cancel(r.ID)
			continue
		}
		begins := now
		if n := len(running); n >= 2 && running[n-2].ends.After(now) {
			begins = running[n-2].ends
		}
		ends := begins.Add(service)
		running = append(running, work{now, ends, d.Turns})
		if ends.After(r.Due) {
			late++
		} else {
			inTime++
		}
	}
	assert.Assert(t, late <= inTime/20, "%d in time, %d late", inTime, late)
	assert.Assert(t, inTime >= 5*20*9/10, "%d in time; the target can do 100", inTime)
}

// Symptom: a target gets two fifths of a service's keys for ten seconds and refuses most.
// Sequence: its first answer is a short one; from then on it is always full.
// Cause: its speed is known by the answers that did not wait alone.
func TestSpeedOfAFullTargetIsLearnt(t *testing.T) {
	s := newService(target("a", "here"))
	s.loads["a"].inFlight = 1
	s.Done(start, "a", Answered, 10*time.Millisecond, 1)
	assert.Assert(t, s.ServiceTime("a") > 0.1, "one answer says little")
	for range 50 {
		s.loads["a"].inFlight = 1
		s.Done(start, "a", Answered, 600*time.Millisecond, 3)
	}
	assert.Assert(t, s.ServiceTime("a") > 0.19 && s.ServiceTime("a") < 0.21, "%v", s.ServiceTime("a"))
}
