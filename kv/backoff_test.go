package kv

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWaitStaysWithinItsBound(t *testing.T) {
	b := Backoff{Base: time.Second, Cap: 5 * time.Second}
	bounds := []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second}
	for failures, bound := range bounds {
		assert.Equal(t, b.Wait(failures, 0), time.Duration(0))
		assert.Equal(t, b.Wait(failures, 0.5), bound/2)
	}
	assert.Equal(t, b.Wait(1<<30, 0.5), b.Cap/2)
}

// returns simulates routers that all meet an outage at once, and returns the
// greatest number of them that calls within one window once the store is back.
func returns(routers int, outage, window time.Duration, random func() float64) int {
	start := time.Unix(0, 0)
	back := start.Add(outage)
	calls := make(map[int]int)
	for range routers {
		g := gate{backoff: Backoff{Base: 50 * time.Millisecond, Cap: 5 * time.Second}, probe: true}
		now := start
		for now.Before(back) {
			g.failed(now, now, random())
			now = g.until.Add(time.Millisecond)
		}
		calls[int(now.Sub(back)/window)]++
	}
	most := 0
	for _, n := range calls {
		most = max(most, n)
	}
	return most
}

// Symptom: the store comes back, fails again at once, and so on.
// Sequence: an outage hits all routers at one moment; their equal waits end at
// one moment too.
// Cause: backoff without a random part.
func TestRoutersReturnSpreadOut(t *testing.T) {
	const routers = 1000
	const window = 100 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	equal := returns(routers, time.Minute, window, func() float64 { return 0.999 })
	spread := returns(routers, time.Minute, window, random.Float64)
	assert.Equal(t, equal, routers)
	// Waits reach 5 s, which is 50 windows. Perfectly even they would hold 20 routers
	// each; the remainders of waits crowd towards the first windows, by at most double.
	assert.Assert(t, spread <= 60, "%d of %d routers within %v", spread, routers, window)
}

func TestFailuresOfOneMomentCountOnce(t *testing.T) {
	g := gate{backoff: Backoff{Base: time.Second, Cap: time.Hour}}
	started := time.Unix(0, 0)
	for i := range 100 {
		g.failed(started.Add(time.Duration(i+1)*time.Millisecond), started, 0.5)
	}
	assert.Equal(t, g.failures, 1)
	g.succeeded(started)
	assert.Equal(t, g.failures, 1)
	g.succeeded(started.Add(time.Second))
	assert.Equal(t, g.failures, 0)
}

func TestAbandonedProbeMakesRoomForTheNext(t *testing.T) {
	g := gate{backoff: Backoff{Base: time.Second, Cap: time.Second}, probe: true}
	now := time.Unix(0, 0)
	g.failed(now, now, 0.5)
	now = now.Add(time.Second)
	assert.Assert(t, g.admit(now))
	assert.Assert(t, !g.admit(now))
	g.abandoned(now)
	assert.Assert(t, g.admit(now))
}
