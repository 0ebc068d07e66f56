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
	randomSeeds     = flag.Int("restore-seeds", 2, "number of drawn sequences of restores")
	firstRandomSeed = flag.Uint64("restore-first-seed", 1, "seed of the first drawn sequence of restores")
)

// drawnEvents is how many events a drawn sequence has.
const randomEvents = 8

// Some sequence of restores, moves and lost routers leaves a key with two holders or with none.
func TestDrawnRestores(t *testing.T) {
	for i := range *randomSeeds {
		seed := *firstRandomSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testRandomRestores(t, seed) })
	}
}

func testRandomRestores(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	holders := f.watchForTwoHolders()
	for i := range randomEvents {
		f.randomEvent(random, i)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	f.waitUntilAllServed()
	before := f.highestToken(100)
	f.moveKey(100)
	f.waitUntilAllServed()
	assert.Assert(t, f.highestToken(100) > before)
	holders.end(t)
}

func (f *fleet) randomEvent(random *rand.Rand, nth int) {
	switch random.IntN(6) {
	case 0:
		f.store.Snapshot()
	case 1, 2:
		restore := platformtest.Restored{RewriteAfter: time.Duration(random.IntN(500)) * time.Millisecond, KeepLeases: random.IntN(2) == 0}
		f.t.Logf("restore, %+v", restore)
		f.store.Restore(restore)
	case 3:
		f.t.Log("a target leaves and returns")
		f.leaveAndReturn(random)
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

// leaveAndReturn has a holder's keys begin to move, and the target return.
func (f *fleet) leaveAndReturn(random *rand.Rand) {
	holder := f.holder(100)
	if holder == "" || strings.Contains(holder, "+") {
		return
	}
	f.targets[holder].Drain(f.store)
	time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	f.targets[holder].Return(f.store)
	waittest.Until(f.t, "somebody leads", func() bool { return f.leader() != nil })
}
