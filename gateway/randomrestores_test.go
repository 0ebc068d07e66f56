package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

var (
	randomSeeds     = flag.Int("restore-seeds", 2, "number of random sequences of restores")
	firstRandomSeed = flag.Uint64("restore-first-seed", 1, "seed of the first random sequence of restores")
)

// randomEvents is the number of events in a random sequence.
const randomEvents = 8

// Guards against sequences of restores, moves and lost routers that leave a key with two holders or none.
func TestRandomRestores(t *testing.T) {
	for i := range *randomSeeds {
		seed := *firstRandomSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomRestores(t, seed) })
	}
}

func runRandomRestores(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	doubleHolders := f.watchDoubleHolders()
	for i := range randomEvents {
		f.triggerRandomEvent(random, i)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	f.waitUntilAllServed()
	before := f.highestToken(100)
	f.moveKey(100)
	f.waitUntilAllServed()
	assert.Assert(t, f.highestToken(100) > before)
	doubleHolders.assertNone(t)
}

func (f *fleet) triggerRandomEvent(random *rand.Rand, nth int) {
	switch random.IntN(6) {
	case 0:
		f.store.Snapshot()
	case 1, 2:
		restore := platformtest.RestoreOptions{RewriteAfter: time.Duration(random.IntN(500)) * time.Millisecond, KeepLeases: random.IntN(2) == 0}
		f.t.Logf("restore, %+v", restore)
		f.store.Restore(restore)
	case 3:
		f.t.Log("a target drains")
		f.drainHolder(random)
	case 4:
		f.t.Log("the leader is lost, and a router starts")
		if lost := f.leader(); lost != nil {
			abandon(lost)
			f.start(fmt.Sprintf("drawn-%d", nth))
		}
	case 5:
		f.t.Log("a router starts")
		f.start(fmt.Sprintf("drawn-%d", nth))
	}
}

// drainHolder drains the target that holds key 100, unless it would be the last but one, and goes on while its keys may
// be moving.
func (f *fleet) drainHolder(random *rand.Rand) {
	holder := f.holder(100)
	if holder == "" || strings.Contains(holder, "+") {
		return
	}
	staying := 0
	for _, target := range f.targets {
		if !target.Drains() {
			staying++
		}
	}
	if staying <= 2 {
		return
	}
	f.targets[holder].Drain(f.store)
	time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	waittest.Until(f.t, "a router leads", func() bool { return f.leader() != nil })
}
