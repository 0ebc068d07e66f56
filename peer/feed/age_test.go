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
	assert.Equal(t, age(350*ms, 360*ms, 300*ms), 50*ms)
	assert.Equal(t, age(600*ms, 1110*ms, 600*ms), 500*ms, "held up for half a second")
	assert.Equal(t, age(1200*ms, 1205*ms, 1200*ms), 0*ms, "faster than all before")
	assert.Equal(t, age(1300*ms, 1310*ms, 1300*ms), 5*ms)
	_, known := e.age(time.Second, &feedpb.Update{})
	assert.Assert(t, !known, "a leader that doesn't say")
}
