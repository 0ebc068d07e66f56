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

// newKeyedService returns a service whose keys are all held by one target, and a key.
func newKeyedService(holder string, targets ...directory.Target) (*Service, *keyspace.Key) {
	s := New("here", true, rand.New(rand.NewPCG(1, 2)))
	s.SetTargets(targets)
	table := keyspace.New("s")
	table.Segments[0].Holder = keyspace.Holder{Target: holder}
	s.SetTable(table)
	return s, new(keyspace.Key)
}

func newRequest(id uint64) Request {
	return Request{ID: id, Due: at(400), Deadline: at(1200)}
}

// countSends offers n requests and returns how many are sent to each target.
func countSends(s *Service, n int) map[string]int {
	sent := map[string]int{}
	for i := range n {
		d := s.Offer(start, Request{ID: uint64(i), Deadline: at(10_000)})
		if d.Verdict == Send {
			sent[d.Target.ID]++
		}
	}
	return sent
}

// recordManyAnswers records enough answers of a target to determine its mean service time.
func recordManyAnswers(s *Service, id string, took time.Duration) {
	for range 30 {
		s.targetByID[id].inFlight++
		s.Done(start, id, Answered, took, 1)
	}
}

func TestFastTargetsGetMore(t *testing.T) {
	s := newService(target("fast", "here"), target("slow", "here"))
	recordManyAnswers(s, "fast", 50*time.Millisecond)
	recordManyAnswers(s, "slow", 200*time.Millisecond)
	sent := countSends(s, 5)
	assert.Assert(t, sent["fast"] > sent["slow"], "%v", sent)
}

// A request with a body of 60 kB stays in its data centre while there is room; one with a short
// body is sent to the target whose answer is expected first.
func TestLongBodiesStayInTheirDataCentre(t *testing.T) {
	s := newService(target("near", "here"), target("far", "there"))
	recordManyAnswers(s, "near", 150*time.Millisecond)
	recordManyAnswers(s, "far", 100*time.Millisecond)
	assert.Equal(t, s.Offer(start, Request{ID: 1, Bytes: 60_000}).Target.ID, "near")
	assert.Equal(t, s.Offer(start, Request{ID: 2, Bytes: 600}).Target.ID, "far")
}

// Even a request with a very long body leaves its data centre if its answer would come much later
// there.
func TestLongBodiesLeaveASlowDataCentre(t *testing.T) {
	s := newService(target("near", "here"), target("far", "there"))
	recordManyAnswers(s, "near", 400*time.Millisecond)
	recordManyAnswers(s, "far", 100*time.Millisecond)
	assert.Equal(t, s.Offer(start, Request{ID: 1, Bytes: 500_000}).Target.ID, "far")
}

// Guards against a choice of targets without regard to idle connections: nine routers that sent
// 60 requests a second to eight equal targets used all of them in turn, opened a connection for
// every second request, and had load reports that were seconds old.
func TestRouterUsesFewTargetsAtLowLoad(t *testing.T) {
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
		s.Done(now.Add(100*time.Millisecond), d.Target.ID, Answered, 100*time.Millisecond, d.ServiceMultiple)
	}
	assert.Assert(t, len(used) <= 2, "%v", used)
	// More simultaneous requests than these targets have slots are spread over others.
	assert.Assert(t, len(countSends(s, 8)) >= 4)
}

// Guards against routers that ignore each other's work: they all send to the target that was idle
// at its last report, and it closes connections while other targets have room.
func TestWorkOfOtherRoutersCounts(t *testing.T) {
	s := newService(target("a", "here"), target("b", "here"))
	s.Report(start, "a", Report{Running: 2, Waiting: 4, Slots: 2})
	assert.Equal(t, countSends(s, 2)["b"], 2)
	assert.Assert(t, s.targetByID["a"].othersWork(at(0)) > s.targetByID["a"].othersWork(at(5000))-1e-9)
}

// A target that refuses requests gets fewer at a time, and more again when it has answered some.
func TestQueueLimitFollowsRefusalsAndAnswers(t *testing.T) {
	s := newService(target("a", "here"))
	l := s.targetByID["a"]
	before := l.queueLimit
	l.inFlight = 2
	s.Done(start, "a", Shed, 0, 1)
	s.Done(start, "a", Shed, 0, 1)
	assert.Assert(t, l.queueLimit < before/2+minQueueLimit)
	recordManyAnswers(s, "a", 100*time.Millisecond)
	assert.Assert(t, l.queueLimit > before/2)
}

// Guards against requests that are queued for seconds and then refused: many routers have more
// requests for a key than its holder can serve, and the expected wait is computed from the
// target's queue alone, without the router's own.
func TestRequestsThatCannotBeInTimeAreRefusedAtOnce(t *testing.T) {
	s, key := newKeyedService("a", target("a", "here"))
	recordManyAnswers(s, "a", 200*time.Millisecond)
	s.Report(start, "a", Report{Running: 2, Waiting: 4, Slots: 2})
	var sent, waiting, refused int
	for i := range 40 {
		r := newRequest(uint64(i))
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
	assert.Assert(t, waiting <= 4, "%d wait for a target at which each takes a second", waiting)
	assert.Equal(t, sent+waiting+refused, 40)
}

// Urgent requests go first, then those that are not late, then the oldest.
func TestQueueOrder(t *testing.T) {
	q := queue{}
	add := func(id uint64, rank, arrivedAt, due int) {
		q.add(&Request{ID: id, Priority: rank, arrivedAt: at(arrivedAt), Due: at(due)})
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

// A queued request is sent when another one ends.
func TestFreePlacesGoToQueuedRequests(t *testing.T) {
	s, key := newKeyedService("a", target("a", "here"))
	recordManyAnswers(s, "a", 50*time.Millisecond)
	var waiting []uint64
	for i := uint64(1); len(waiting) < 2; i++ {
		r := newRequest(i)
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

// A request for a key that is moving is queued; one for a key of a lost holder is refused.
func TestRequestsForMovingKeysWaitAndForLostOnesDoNot(t *testing.T) {
	s, key := newKeyedService("a", target("a", "here"))
	s.table.Segments[0].Moving = true
	r := newRequest(1)
	r.Key = key
	assert.Equal(t, s.Offer(start, r).Verdict, Wait)
	decided := s.Poll(start.Add(maxHandoverWait + time.Millisecond))
	assert.Equal(t, decided[1].Fault, fault.Moving)
	s.table.Segments[0].HolderUnreachable = true
	r.ID = 2
	d := s.Offer(start, r)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.RetryAfter, grantExpiryRetryAfter)
}

// A target to which no connection can be opened gets no requests for a while, longer each time,
// until it answers.
func TestUnreachableTargetIsTriedWithBackoff(t *testing.T) {
	s, key := newKeyedService("a", target("a", "here"))
	r := newRequest(1)
	r.Key = key
	assert.Equal(t, s.Offer(start, r).Verdict, Send)
	s.Done(start, "a", Unreachable, 0, 1)
	r.ID = 2
	assert.Equal(t, s.Offer(start, r).Verdict, Refuse)
	assert.Equal(t, s.Offer(start.Add(minConnectBackoff), r).Verdict, Send)
	s.Done(start.Add(minConnectBackoff), "a", Unreachable, 0, 1)
	assert.Equal(t, s.Offer(start.Add(2*minConnectBackoff), r).Verdict, Refuse)
	s.Done(start.Add(3*minConnectBackoff), "a", Answered, time.Millisecond, 1)
	assert.Equal(t, s.Offer(start.Add(3*minConnectBackoff), r).Verdict, Send)
}

// Targets that fail are avoided, and tried again after some seconds.
func TestFailingTargetsAreAvoidedForAWhile(t *testing.T) {
	s := newService(target("good", "here"), target("bad", "here"))
	recordManyAnswers(s, "good", 100*time.Millisecond)
	recordManyAnswers(s, "bad", 100*time.Millisecond)
	for range 10 {
		s.targetByID["bad"].inFlight++
		s.Done(start, "bad", Failed, time.Millisecond, 1)
	}
	assert.Equal(t, countSends(s, 2)["good"], 2)
	assert.Assert(t, s.targetByID["bad"].currentFailureRate(at(10_000)) < 0.05)
}

// A target that has restarted is not judged by its previous instance.
func TestNewInstanceStartsWithNewState(t *testing.T) {
	s := newService(target("a", "here"))
	s.targetByID["a"].inFlight = 2
	restarted := target("a", "here")
	restarted.StartUnixMilli = 7
	s.SetTargets([]directory.Target{restarted})
	assert.Equal(t, s.targetByID["a"].inFlight, 0)
}

// Guards against a hot key of which all answers are late although its holder is never idle: if
// requests that will be late get places in the holder's queue, the queue stays full, and each
// request waits longer than its objective.
func TestHotKeyGetsFewerAnswersButInTime(t *testing.T) {
	const service, perSecond = 100 * time.Millisecond, 60
	s, key := newKeyedService("a", target("a", "here"))
	recordManyAnswers(s, "a", service)
	type sentRequest struct {
		sentAt, endsAt time.Time
		turns          float64
	}
	var sent []sentRequest
	inTime, late := 0, 0
	for i := range 5 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for len(sent) > 0 && !sent[0].endsAt.After(now) {
			done := sent[0]
			sent = sent[1:]
			s.Done(now, "a", Answered, done.endsAt.Sub(done.sentAt), done.turns)
		}
		r := Request{ID: uint64(i), Key: key, Due: now.Add(220 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond)}
		d := s.Offer(now, r)
		if d.Verdict != Send {
			s.Cancel(r.ID)
			continue
		}
		startsAt := now
		if n := len(sent); n >= 2 && sent[n-2].endsAt.After(now) {
			startsAt = sent[n-2].endsAt
		}
		endsAt := startsAt.Add(service)
		sent = append(sent, sentRequest{now, endsAt, d.ServiceMultiple})
		if endsAt.After(r.Due) {
			late++
		} else {
			inTime++
		}
	}
	assert.Assert(t, late <= inTime/20, "%d in time, %d late", inTime, late)
	assert.Assert(t, inTime >= 5*20*9/10, "%d in time; the target can answer 100", inTime)
}

// Guards against a service time that rests only on answers that did not wait for a slot: a target
// whose first request was short and that was full from then on got two fifths of the service's
// keys for ten seconds and refused most requests.
func TestServiceTimeOfAFullTargetIsMeasured(t *testing.T) {
	s := newService(target("a", "here"))
	s.targetByID["a"].inFlight = 1
	s.Done(start, "a", Answered, 10*time.Millisecond, 1)
	assert.Assert(t, s.ServiceTime("a") > 0.1, "one short answer changed the mean too much")
	for range 50 {
		s.targetByID["a"].inFlight = 1
		s.Done(start, "a", Answered, 600*time.Millisecond, 3)
	}
	assert.Assert(t, s.ServiceTime("a") > 0.19 && s.ServiceTime("a") < 0.21, "%v", s.ServiceTime("a"))
}

// Guards against requests for the keys of a target that has left, where the keys have not been moved.
func TestHolderThatHasLeftGetsNothing(t *testing.T) {
	leaving := target("old", "here")
	leaving.Draining, leaving.LeavingAfter = true, at(0)
	s, key := newKeyedService("old", leaving, target("new", "here"))
	s.LimitLeaving(2 * time.Second)
	r := newRequest(1)
	r.Key, r.Deadline = key, at(9000)
	assert.Equal(t, s.Offer(at(1900), r).Verdict, Send)
	d := s.Offer(at(2000), r)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.Fault, fault.NoOwner)
	assert.Assert(t, d.RetryAfter > 0)
}
