package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// An old leader that renews without the store and a new one that believes it has stopped
// never go together, also while the number of routers grows by up to half.
func TestBackingAndJoiningExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.IntRange(2, 40).Draw(t, "routers")
		after := before + rapid.IntRange(0, before/2).Draw(t, "more")
		old, next := newBacking(), newBacking()
		now := time.Hour
		follow, promised := false, time.Duration(0)
		for i := 1; i < after; i++ {
			name := string(rune('a' + i))
			backs := i < before && rapid.Bool().Draw(t, "backs")
			if backs {
				old.back(name, now+time.Second) // it follows no other leader until then
			}
			switch {
			case i == 1 && backs: // the next leader itself
				next.promised = now + time.Second
			case i > 1 && !backs:
				follow, promised = next.join(name, 0, after)
			}
		}
		joined := follow && promised <= now
		assert.Assert(t, !(old.backed(now, before) && joined), "%d routers, then %d", before, after)
		assert.Assert(t, !old.backed(now+time.Second, before) || before == 1)
	})
}

func TestPromisesToTheOldLeaderAreWaitedOut(t *testing.T) {
	b := newBacking()
	ok, _ := b.join("b", 5*time.Second, 4)
	assert.Assert(t, !ok)
	ok, until := b.join("c", time.Second, 4)
	assert.Assert(t, ok)
	assert.Equal(t, until, 5*time.Second)
}
