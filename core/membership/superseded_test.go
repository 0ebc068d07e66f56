package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A router that hears of a newer instance of its name, by a claim or from the transport,
// must keep its incarnation: ownership would otherwise act under another incarnation than
// membership.
func TestSupersededRouterIsIsolatedAndKeepsItsIncarnation(t *testing.T) {
	newer := inDoto("a")
	newer.Incarnation = 7
	claim := Received{From: inDoto("b"), Message: Message{Kind: Push, Updates: []Update{{Member: newer, State: Lost}}}}
	for _, event := range []Event{claim, NewerInstance{Incarnation: 7}} {
		c := New(DefaultConfig(), inDoto("a"), rand.New(rand.NewPCG(1, 1)))
		c.Step(epoch, NewerInstance{Incarnation: inDoto("a").Incarnation})
		assert.Assert(t, !slices.Contains(c.Step(epoch, Tick{}), Action(IsolationChanged{On: true, Cause: CauseSuperseded})))
		c.Step(epoch, event)
		after := c.Step(epoch.Add(10*time.Millisecond), Tick{})
		assert.Assert(t, slices.ContainsFunc(after, func(a Action) bool {
			return a == Action(IsolationChanged{On: true, Cause: CauseSuperseded})
		}))
		assert.Equal(t, c.View().Self(), inDoto("a"))
	}
}
