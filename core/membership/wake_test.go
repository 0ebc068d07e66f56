package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleRouterSkipsMostTicks(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 1, 6, "a")
	ticks := 0
	n := f.nodes["a-000"]
	for range 300 {
		f.net.Run(10 * time.Millisecond)
		if n.nextTick.IsZero() || n.core.health.lastTick.Equal(f.net.Now()) {
			ticks++
		}
		last := n.core.health.lastTick
		assert.Assert(t, f.net.Now().Sub(last) <= 60*time.Millisecond, "no tick for %s", f.net.Now().Sub(last))
	}
	assert.Assert(t, ticks < 100, "%d ticks in 3 s", ticks)
}

// A router waits until the time that Wake returned and is suspended meanwhile. The
// suspension must be detected by how late the tick is, not by the whole gap between ticks,
// or it would declare others lost or be taken for suspended when it is not.
func TestSuspensionBetweenTicksIsDetected(t *testing.T) {
	for late, want := range map[time.Duration]bool{40 * time.Millisecond: false, 50 * time.Millisecond: true} {
		f := newFleet(t, DefaultConfig(), losslessNet(), 1, 6, "a")
		c := f.nodes["a-000"].core
		now := f.net.Now()
		c.Step(now, Tick{})
		now = now.Add(c.Wake(now))
		c.Step(now.Add(late), Tick{})
		assert.Equal(t, !c.canJudge(), want, "late by %s", late)
	}
}
