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

func newLimitedService(byKey bool, targets []directory.Target) *Service {
	s := New("here", byKey, rand.New(rand.NewPCG(1, 1)))
	s.SetTargets(targets)
	if byKey {
		s.SetTable(evenTable(targets))
	}
	s.SetTargetLimits(map[keyspace.Holder]float64{targets[0].Holder(): 3.5})
	return s
}

// Guards against requests that queue for the holder of their key until their deadline although there is no permit for it.
func TestRequestsForKeysOfALimitedHolderAreRefusedAtOnceWithoutAPermit(t *testing.T) {
	targets := []directory.Target{{ID: "a", Slots: 4, DataCentre: "here"}, {ID: "b", Slots: 4, DataCentre: "here"}}
	s := newLimitedService(true, targets)
	first, last := keyspace.Key(0), keyspace.Key(keyspace.LastKey)
	request := Request{ID: 1, Key: &first, Deadline: start.Add(5 * time.Second)}
	assert.Equal(t, s.Offer(start, request).Verdict, Send)
	s.Done(start, "a", Abandoned, 0, 1)
	s.AwaitPermit(start, targets[0].Holder(), 800*time.Millisecond)
	d := s.Offer(start, request)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.Fault, fault.QueueFull)
	assert.Assert(t, d.RetryAfter >= 800*time.Millisecond && d.RetryAfter <= 1200*time.Millisecond, "%v", d.RetryAfter)
	assert.Equal(t, s.Offer(start, Request{ID: 2, Key: &last}).Verdict, Send, "keys of other holders are served")
	assert.Equal(t, s.Offer(start.Add(800*time.Millisecond), request).Verdict, Send)
}

// Guards against a limited target that gets requests while others have room, or none once they have no room.
func TestLimitedTargetsAreUsedOnceOthersHaveNoRoom(t *testing.T) {
	targets := []directory.Target{{ID: "a", Slots: 1, DataCentre: "here"}, {ID: "b", Slots: 1, DataCentre: "here"}}
	s := newLimitedService(false, targets)
	var sent []string
	for i := range 6 {
		if d := s.Offer(start, Request{ID: uint64(i)}); d.Verdict == Send {
			sent = append(sent, d.Target.ID)
		}
	}
	assert.DeepEqual(t, sent[:3], []string{"b", "b", "b"})
	assert.Equal(t, sent[3], "a")
	s.AwaitPermit(start, targets[0].Holder(), time.Second)
	assert.Equal(t, s.Offer(start, Request{ID: 9}).Verdict, Wait)
}

// Guards against requests that wait for a key's handover for most of a second, to be refused for want of a permit of the next holder.
func TestRequestsForMovingKeysOfLimitedTargetsWaitOnlyBriefly(t *testing.T) {
	targets := []directory.Target{{ID: "a", Slots: 4, DataCentre: "here"}, {ID: "b", Slots: 4, DataCentre: "here"}}
	s := newLimitedService(true, targets)
	s.table.Segments[0].Moving = true
	key := keyspace.Key(0)
	assert.Equal(t, s.Offer(start, Request{ID: 1, Key: &key}).Verdict, Wait)
	assert.Equal(t, len(s.Poll(at(400))), 0, "the other target states no limit")
	s.SetTargetLimits(map[keyspace.Holder]float64{targets[0].Holder(): 3.5, targets[1].Holder(): 3.5})
	s.AwaitPermit(start, targets[1].Holder(), 2*time.Second)
	assert.Equal(t, s.Offer(at(100), Request{ID: 2, Key: &key}).Verdict, Wait)
	decided := s.Poll(at(300))
	for id := uint64(1); id <= 2; id++ {
		assert.Assert(t, decided[id].Verdict == Refuse && decided[id].Fault == fault.Moving, "%d: %+v", id, decided[id])
		assert.Assert(t, decided[id].RetryAfter >= 1700*time.Millisecond, "%v", decided[id].RetryAfter)
	}
}
