package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// firstSeeds returns the seeds of n simulations.
func firstSeeds(n uint64) (seeds []uint64) {
	for seed := range n {
		seeds = append(seeds, seed)
	}
	return seeds
}

// assertOneHolder runs simulations beside which set adds to the faults. No key may have two holders, and once all faults are over
// and a while has passed, each key must have one.
func assertOneHolder(t *testing.T, seeds []uint64, while time.Duration, set func(sim *simulation)) {
	t.Helper()
	for _, seed := range seeds {
		sim := newSimulation(seed*0x9e3779b97f4a7c15+1, "")
		set(sim)
		assert.Equal(t, findTwoHolders(sim), "", "seed %#x", seed)
		sim.heal()
		sim.lossless = true // four lost renewals in a row would be chance, not a fault
		sim.run(sim.now+while, false)
		for k := 0; k < 1<<16; k += 1009 {
			assert.Equal(t, sim.countHolders(keyspace.Key(k)), 1, "key %d, seed %#x", k, seed)
		}
	}
}

// assertMutantFound checks that simulations with a broken rule find two holders.
func assertMutantFound(t *testing.T, mutant string, set func(sim *simulation)) {
	t.Helper()
	for seed := range uint64(400) {
		sim := newSimulation(seed, mutant)
		set(sim)
		if findTwoHolders(sim) != "" {
			return
		}
	}
	t.Fatal("two holders were not found")
}

// Whatever is lost, late or cut off, no key has two holders; and once all faults are over,
// each key has exactly one.
func TestNoKeyHasTwoHolders(t *testing.T) {
	seeds := append([]uint64{0xdd}, firstSeeds(40)...) // 0xdd: keys assigned again while their holder's renewal waited on a full link
	assertOneHolder(t, seeds, 4*time.Second, func(*simulation) {})
}

// Guards against keys with two holders while data centres are evacuated and taken back, beside all other faults.
func TestNoKeyHasTwoHoldersAcrossEvacuations(t *testing.T) {
	assertOneHolder(t, firstSeeds(40), 4*time.Second, func(sim *simulation) { sim.evacuations = true })
}

// Guards against keys with two holders while targets state limits and no longer do, beside all other faults.
func TestNoKeyHasTwoHoldersBesideLimits(t *testing.T) {
	assertOneHolder(t, firstSeeds(40), 4*time.Second, func(sim *simulation) { sim.limits = true })
}

// Guards against keys with two holders because a former leader's order reaches a holder that has started again, unseen by the store,
// since it released the keys or took them from the next leader.
func TestNoKeyHasTwoHoldersWhereTargetsRestartUnseen(t *testing.T) {
	assertOneHolder(t, firstSeeds(60), 4*time.Second, func(sim *simulation) { sim.restartsAtOrders = true })
}

// The same across restores of the store.
func TestNoKeyHasTwoHoldersWhereTargetsRestartUnseenAcrossRestores(t *testing.T) {
	assertOneHolder(t, firstSeeds(60), 13*time.Second, func(sim *simulation) { sim.restartsAtOrders, sim.restores = true, true })
}

// Where releases count while a former leader may still send orders, the simulation finds two holders.
func TestSimulationFindsReleasesThatCountTooSoon(t *testing.T) {
	assertMutantFound(t, "count every release", func(sim *simulation) { sim.restartsAtOrders = true })
}

// Guards against keys with two holders while the TTL of grants follows the work, beside all other faults.
func TestNoKeyHasTwoHoldersWhereGrantsGrowLonger(t *testing.T) {
	assertOneHolder(t, firstSeeds(40), 6*time.Second, func(sim *simulation) { sim.longRuns = true })
}

// Without the longest TTL in the table, the simulation finds two holders.
func TestSimulationFindsGrantsThatWereNotDeclared(t *testing.T) {
	assertMutantFound(t, "ignore declared grants", func(sim *simulation) { sim.longRuns = true })
}

// Guards against a restored store that has a key granted to the holder that an older table
// names, or a token issued again.
func TestNoKeyHasTwoHoldersAcrossRestores(t *testing.T) {
	// Delayed releases of the time before arrive within 13 s.
	assertOneHolder(t, firstSeeds(60), 13*time.Second, func(sim *simulation) { sim.restores = true })
}

// Without the wait for grants that the older table doesn't name, the simulation finds two
// holders.
func TestSimulationFindsMutantAcrossRestores(t *testing.T) {
	assertMutantFound(t, "trust restored table", func(sim *simulation) { sim.restores = true })
}

// Guards against keys that are not held for half a second although their holder is running and
// answers. A renewal is lost; the retry, whose TTL is shortened to end no later than the grant
// before it, is answered; the next full renewal must not wait for the usual interval.
func TestHolderKeepsKeysWhenOneOrderIsLost(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed, "")
		assert.Equal(t, findTwoHolders(sim), "")
		sim.heal()
		sim.spacedLosses = true
		sim.run(sim.now+4*time.Second, false)
		for range 40 {
			sim.run(sim.now+100*time.Millisecond, false)
			for k := 0; k < 1<<16; k += 1009 {
				assert.Assert(t, sim.countHolders(keyspace.Key(k)) == 1, "key %d at %v, seed %d", k, sim.now, seed)
			}
		}
	}
}

// Each mutant breaks one rule that the assignment rests on. A simulation that doesn't find it
// would not find that fault in the code either.
func TestSimulationFindsMutants(t *testing.T) {
	for _, m := range []struct {
		mutant string
		// firstSeed is slightly below the first seed that finds the mutant.
		firstSeed uint64
	}{{"ignore old grants", 0}, {"no wait for old leader", 0}, {"ignore late arrival", 1000}, {"ignore long grants", 0}, {"forget grants at a restart", 0}} {
		t.Run(m.mutant, func(t *testing.T) {
			const runs = 400
			for seed := range uint64(runs) {
				if findTwoHolders(newSimulation(m.firstSeed+seed, m.mutant)) != "" {
					return
				}
			}
			t.Fatalf("%s was not found in %d runs", m.mutant, runs)
		})
	}
}
