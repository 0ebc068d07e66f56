package assign

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against a hot key whose demand is far above its holder's capacity, and of which too
// many requests, or hardly any, are admitted.
func TestHotKeyIsLimitedToItsHoldersCapacity(t *testing.T) {
	sim := newLoadSim(t, 5)
	const hotFraction, hotKey = 0.4, 30000
	for range 12 {
		sim.runRound(0, 0, 0)
	}
	always := func(string) bool { return true }
	never := func(string) bool { return false }
	assert.Equal(t, len(sim.assigner.Limits(sim.now, sim.serviceTime, always, 1)), 0)
	sim.runRound(hotFraction, hotKey, 1)
	sim.runRound(hotFraction, hotKey, 1)
	assert.Equal(t, len(sim.assigner.Limits(sim.now, sim.serviceTime, never, 1)), 0, "a key is limited only while its holder is overloaded")
	limits := sim.assigner.Limits(sim.now, sim.serviceTime, always, 1)
	assert.Equal(t, len(limits), 1)
	assert.Equal(t, limits[0].Key, keyspace.Key(hotKey))
	admitted, capacity := limits[0].Admit*hotFraction*requestRate, 4/meanTime
	assert.Assert(t, admitted > 0.4*capacity && admitted < 2*capacity, "%v of %v", admitted, capacity)
	for range 60 {
		sim.runRound(hotFraction, hotKey, 1)
		limits = sim.assigner.Limits(sim.now, sim.serviceTime, never, 1)
	}
	assert.Equal(t, len(limits), 0, "the limit rises and ends while the holder is not overloaded")
	sim.assigner.Limits(sim.now, sim.serviceTime, always, 1)
	for range 12 {
		sim.runRound(0, 0, 0)
		limits = sim.assigner.Limits(sim.now, sim.serviceTime, always, 1)
	}
	assert.Equal(t, len(limits), 0, "the key is no longer hot")
}
