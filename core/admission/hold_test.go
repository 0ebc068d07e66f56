package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more requests than slots at a target after a takeover: the old grantor
// died with requests in flight, and the new one must not count only its own.
func TestInheritedSlotsAreKeptUntilKnownToBeFree(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := New(Config{Slots: 3})
	g.Inherit(now, now.Add(time.Second), 3)
	for id := range ID(3) {
		assert.Equal(t, g.Offer(now, Item{ID: id + 1}).Verdict, Queue)
	}
	assert.Equal(t, g.Stats(now).Held, 3)
	started := g.Inherit(now, now.Add(time.Second), 2).Start
	assert.DeepEqual(t, started, []ID{1})
	assert.Equal(t, g.NextWake(), now.Add(time.Second), "the wake-up must remain while items wait")
	started = g.Expire(now.Add(time.Second)).Start
	assert.DeepEqual(t, started, []ID{2, 3})
	assert.Equal(t, g.Stats(now.Add(time.Second)).Held, 0)
	assert.Assert(t, g.NextWake().IsZero())
}
