package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCoreSleepsUntilItsNextDigestAndWakesForChanges(t *testing.T) {
	cfg := DefaultConfig()
	c := New(cfg, "b", "dc", 1, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	assert.Equal(t, c.Wake(now), cfg.Tick, "not started")
	c.Step(now, Members{Local: []string{"a", "b", "c"}})
	assert.Equal(t, c.Wake(now), cfg.Tick, "not joined")
	c.Step(now, FromStore{Complete: true})
	assert.Assert(t, c.Joined())
	c.watching = false
	now = now.Add(cfg.DigestInterval)
	c.Step(now, Tick{})
	assert.Assert(t, c.Wake(now) > cfg.Tick)
	digest := now.Add(c.Wake(now))
	assert.Equal(t, len(c.Step(digest.Add(-time.Millisecond), Tick{})), 0)
	assert.Equal(t, len(c.Step(digest, Tick{})), 1)

	// The first change is sent at once; one that comes within the same tick waits for the next.
	entry := func(n uint64) FromStore {
		return FromStore{Entries: []Entry{{Key: "k", Revision: n, Class: Ownership}}}
	}
	c.Step(digest, entry(1))
	c.Step(digest.Add(time.Millisecond), entry(2))
	assert.Equal(t, c.Wake(digest.Add(time.Millisecond)), cfg.Tick)
	c.Step(digest.Add(2*cfg.Tick), Tick{})
	assert.Assert(t, c.Wake(digest.Add(2*cfg.Tick)) > cfg.Tick)
	c.Step(digest.Add(3*cfg.Tick), Members{Local: []string{"b", "c"}})
	assert.Assert(t, c.Wake(digest.Add(3*cfg.Tick)) <= cfg.RepairDelay, "a member was lost")
}
