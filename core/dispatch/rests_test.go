package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

// Guards against requests that are placed at a target that rests, refused without what is left of the rest, or held though they
// can't be in time after it.
func TestRestingTargetsGetNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newService(target("a", "here"), target("b", "here"))
	s.Rest(now, keyspace.Holder{Target: "a"}, now.Add(3*time.Second))
	for i := range 8 {
		d := s.Offer(now, Request{ID: uint64(i)})
		assert.Assert(t, d.Verdict == Send && d.Target.ID == "b")
		s.Done(now, "b", Answered, time.Millisecond, 1)
	}
	s.Rest(now, keyspace.Holder{Target: "b"}, now.Add(2*time.Second))
	d := s.Offer(now, Request{ID: 10, Due: now.Add(time.Second)})
	assert.Assert(t, d.Verdict == Refuse && d.Fault == fault.QueueFull)
	assert.Assert(t, d.RetryAfter >= 2*time.Second && d.RetryAfter < 3*time.Second, "%v", d.RetryAfter)
	late := now.Add(1900 * time.Millisecond)
	d = s.Offer(late, Request{ID: 11, Due: late.Add(time.Second)})
	assert.Equal(t, d.Verdict, Wait)
	s.Rest(late, keyspace.Holder{Target: "b"}, late.Add(3*time.Second))
	decided := s.Poll(late)
	assert.Assert(t, decided[11].Verdict == Refuse, "%+v", decided)
}

// Guards against a burst at a target whose rest ends, and against a target that gets one request at a time for as long as an answer
// takes, or for good.
func TestTargetGetsOneRequestAtATimeAfterItsRest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newService(target("a", "here"))
	s.Rest(now, keyspace.Holder{Target: "a"}, now.Add(time.Second))
	now = now.Add(1500 * time.Millisecond)
	assert.Equal(t, s.Offer(now, Request{ID: 1}).Verdict, Send)
	assert.Equal(t, s.Offer(now, Request{ID: 2}).Verdict, Wait)
	s.AnswerBegun(now, "a")
	for i := range 3 {
		assert.Equal(t, s.Offer(now, Request{ID: uint64(3 + i)}).Verdict, Send)
	}
	silent := newService(target("a", "here"))
	silent.Rest(now, keyspace.Holder{Target: "a"}, now.Add(time.Second))
	now = now.Add(1500 * time.Millisecond)
	assert.Equal(t, silent.Offer(now, Request{ID: 1}).Verdict, Send)
	assert.Equal(t, silent.Offer(now, Request{ID: 2}).Verdict, Wait)
	assert.Equal(t, silent.Poll(now.Add(resumeTime))[2].Verdict, Send)
}
