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

// busiestWindow simulates routers that all see an outage start at the same time, and returns
// the largest number of them that call within one window after the store has recovered.
func busiestWindow(routers int, outage, window time.Duration, random func() float64) int {
	start := time.Unix(0, 0)
	recovered := start.Add(outage)
	calls := make(map[int]int)
	for range routers {
		g := backoffGate{backoff: Backoff{Base: 50 * time.Millisecond, Cap: 5 * time.Second}, singleProbe: true}
		now := start
		for now.Before(recovered) {
			g.failed(now, now, random())
			now = g.retryAt.Add(time.Millisecond)
		}
		calls[int(now.Sub(recovered)/window)]++
	}
	most := 0
	for _, n := range calls {
		most = max(most, n)
	}
	return most
}

// Guards against a store that recovers and is overloaded again at once: an outage starts for
// all routers at the same time, and without jitter their equal waits also end at the same time.
func TestRoutersReturnSpreadOut(t *testing.T) {
	const routers = 1000
	const window = 100 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	equal := busiestWindow(routers, time.Minute, window, func() float64 { return 0.999 })
	spread := busiestWindow(routers, time.Minute, window, random.Float64)
	assert.Equal(t, equal, routers)
	// Waits are up to 5 s, which is 50 windows. With an even distribution each window would
	// have 20 routers. The ends of the waits are denser in the first windows, by a factor of
	// at most two.
	assert.Assert(t, spread <= 60, "%d of %d routers within %v", spread, routers, window)
}

func TestConcurrentFailuresCountOnce(t *testing.T) {
	g := backoffGate{backoff: Backoff{Base: time.Second, Cap: time.Hour}}
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

func TestAbandonedProbeAllowsTheNext(t *testing.T) {
	g := backoffGate{backoff: Backoff{Base: time.Second, Cap: time.Second}, singleProbe: true}
	now := time.Unix(0, 0)
	g.failed(now, now, 0.5)
	now = now.Add(time.Second)
	assert.Assert(t, g.admit(now))
	assert.Assert(t, !g.admit(now))
	g.abandoned(now)
	assert.Assert(t, g.admit(now))
}
