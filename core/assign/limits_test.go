package assign

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against a key that is asked for far more than its holder can do, and of whose
// requests too many are sent there, or hardly any.
func TestHotKeyIsLimitedToWhatItsHolderCanDo(t *testing.T) {
	c := newLoadSim(t, 5)
	const hotFraction, hotKey = 0.4, 30000
	for range 12 {
		c.runRound(0, 0, 0)
	}
	always := func(string) bool { return true }
	never := func(string) bool { return false }
	assert.Equal(t, len(c.a.Limits(c.now, c.serviceTime, always, 1)), 0)
	c.runRound(hotFraction, hotKey, 1)
	c.runRound(hotFraction, hotKey, 1)
	assert.Equal(t, len(c.a.Limits(c.now, c.serviceTime, never, 1)), 0, "its holder has room, whatever it is taken to be able to do")
	limits := c.a.Limits(c.now, c.serviceTime, always, 1)
	assert.Equal(t, len(limits), 1)
	assert.Equal(t, limits[0].Key, keyspace.Key(hotKey))
	admitted, capacity := limits[0].Admit*hotFraction*requestRate, 4/meanTime
	assert.Assert(t, admitted > 0.4*capacity && admitted < 2*capacity, "%v of %v", admitted, capacity)
	for range 60 {
		c.runRound(hotFraction, hotKey, 1)
		limits = c.a.Limits(c.now, c.serviceTime, never, 1)
	}
	assert.Equal(t, len(limits), 0, "its holder can do more than it was taken to")
	c.a.Limits(c.now, c.serviceTime, always, 1)
	for range 12 {
		c.runRound(0, 0, 0)
		limits = c.a.Limits(c.now, c.serviceTime, always, 1)
	}
	assert.Equal(t, len(limits), 0, "it is hot no more")
}
