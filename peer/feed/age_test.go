package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/peer/feedpb"
)

// Guards against an update that was held up on its way and passes for news.
func TestDelayOfAnUpdateAddsToTheAgeOfItsConfiguration(t *testing.T) {
	const clockOffset = 7 * time.Hour // the leader's clock is ahead
	e := &ageEstimator{began: 90 * time.Millisecond}
	age := func(sent, arrived, confirmed time.Duration) time.Duration {
		t.Helper()
		age, known := e.age(arrived, &feedpb.Update{
			SentMs: uint64((sent + clockOffset).Milliseconds()), ConfigConfirmedMs: uint64((confirmed + clockOffset).Milliseconds()),
		})
		assert.Assert(t, known)
		return age
	}
	const ms = time.Millisecond
	assert.Equal(t, age(100*ms, 110*ms, 50*ms), 70*ms, "the first may have been on its way since the connection began")
	assert.Equal(t, age(350*ms, 360*ms, 300*ms), 70*ms, "as the first may have been, so may all")
	assert.Equal(t, age(600*ms, 1110*ms, 600*ms), 520*ms, "held up for half a second")
	assert.Equal(t, age(1200*ms, 1205*ms, 1200*ms), 15*ms, "faster than all before")
	assert.Equal(t, age(1300*ms, 1310*ms, 1300*ms), 20*ms)
	assert.Equal(t, age(1400*ms, 1380*ms, 1400*ms), 0*ms, "the clocks have drifted")
	assert.Equal(t, age(1500*ms, 1510*ms, 1500*ms), 30*ms)
	_, known := e.age(time.Second, &feedpb.Update{})
	assert.Assert(t, !known, "a leader that doesn't say")
}

// Guards against updates that pass for news although all of a connection were held up, as by a process that is stopped
// right after it has connected.
func TestDelayOfAllUpdatesAddsToTheirAge(t *testing.T) {
	const ms = time.Millisecond
	e := &ageEstimator{began: 1000 * ms}
	for i, sent := range []time.Duration{1100 * ms, 1350 * ms, 1600 * ms} {
		age, known := e.age(2400*ms, &feedpb.Update{SentMs: uint64(sent.Milliseconds()), ConfigConfirmedMs: uint64(sent.Milliseconds())})
		assert.Assert(t, known)
		assert.Assert(t, age >= 2400*ms-sent, "update %d counts as %v old and is %v old", i, age, 2400*ms-sent)
	}
}

// Guards against a feed that counts as outdated for as long as it lasts because its first update was slow.
func TestFollowerConnectsAgainAfterASlowFirstUpdate(t *testing.T) {
	const ms = time.Millisecond
	for first, want := range map[time.Duration]error{maxStartDelay + 20*ms: errSlowStart, maxStartDelay: nil} {
		e := &ageEstimator{began: 1000 * ms}
		for i := range startUpdates {
			assert.NilError(t, e.errIfUncertain())
			sent, took := 1000*ms+first+time.Duration(i)*HeartbeatEvery, 5*ms
			if i == 0 {
				sent, took = 1000*ms+first, 0
			}
			e.age(sent+took, &feedpb.Update{SentMs: uint64(sent.Milliseconds()), ConfigConfirmedMs: 1})
		}
		assert.Equal(t, e.errIfUncertain(), want)
	}
}
