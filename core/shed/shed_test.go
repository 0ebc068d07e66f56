package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const tick = 20 * time.Millisecond

// runProbes runs probes with the given delays, each sent one tick after the last arrived,
// and returns the shares after the last one.
func runProbes(c *Controller, offered Offered, delays ...time.Duration) (s Shares) {
	at := c.sent.Add(c.lastDelay)
	for _, delay := range delays {
		at = at.Add(tick)
		c.Sent(at)
		at = at.Add(delay)
		s = c.Arrived(at, offered)
	}
	return s
}

// Guards against requests that are refused although the router is not overloaded: the
// process repeatedly gets no processor time for a moment. A single late probe must not
// count as a queue, and refusals must end soon after their cause.
func TestPausesDoNotCauseLastingRefusals(t *testing.T) {
	const pause = 300 * time.Millisecond
	c := New(0)
	for range 5 {
		assert.Equal(t, runProbes(c, Offered{}, 0, 0, pause, 0), Shares{})
	}
	runProbes(c, Offered{}, pause, pause)
	assert.Assert(t, c.Admitted() < 1)
	runProbes(c, Offered{}, 0, 0)
	assert.Equal(t, c.Admitted(), 1.0)
}

func TestRanksAreRefusedInOrder(t *testing.T) {
	for _, c := range []struct {
		refused float64
		offered Offered
		want    Shares
	}{
		{0.05, Offered{10, 30, 60}, Shares{0.5, 0, 0}},
		{0.25, Offered{10, 30, 60}, Shares{1, 0.5, 0}},
		{0.70, Offered{10, 30, 60}, Shares{1, 1, 0.5}},
		{0.50, Offered{0, 0, 100}, Shares{1, 1, 0.5}},
		{0.50, Offered{}, Shares{0.5, 0.5, 0.5}},
		{0, Offered{10, 30, 60}, Shares{}},
	} {
		got := divide(c.refused, c.offered)
		for rank := range got {
			assert.Assert(t, got[rank]-c.want[rank] < 1e-9 && c.want[rank]-got[rank] < 1e-9, "%v: %v", c, got)
		}
	}
	refused := 0
	for n := range uint64(1000) {
		if Refuse(n, 0.3) {
			refused++
		}
	}
	assert.Equal(t, refused, 300)
}

// Guards against refusing all work for seconds because of one burst, and against a
// RetryAfter that does not grow with the overload.
func TestAdmissionFollowsLoad(t *testing.T) {
	c := New(0)
	runProbes(c, Offered{}, 15*time.Millisecond, 30*time.Millisecond)
	first := c.Admitted()
	assert.Assert(t, first < 1 && first >= minFactor)
	runProbes(c, Offered{}, 20*time.Millisecond)
	assert.Assert(t, c.Admitted() >= first, "the queue shrinks")
	assert.Assert(t, RetryAfter(first) > RetryAfter(1))
	assert.Equal(t, RetryAfter(0), maxRetryAfter)
}
