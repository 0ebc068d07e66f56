package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
)

// servedWorld runs three routers until all targets are served, and counts the writes of
// grantor records from then on.
func servedWorld(seed int64) (w *ownershiptest.World, writes map[string]int) {
	writes = map[string]int{}
	opt := options(seed, targets(6, model.Isolation{Keep: true}, grantChecks...), ownership.OmitNone)
	opt.Trace = func(_ time.Duration, _ string, what any) {
		if cas, ok := what.(ownership.CAS); ok && ownership.IsGrantorKey(cas.Key) {
			writes[cas.Key]++
		}
	}
	w = ownershiptest.New(opt)
	w.Run(5 * time.Second)
	clear(writes)
	return w, writes
}

// A planned stop must not leave targets unserved until the router exits, with a hundred
// writes per second to the store for each of them. A router stops and hands its targets
// over. The receivers see that it is live and ranks before them; they must not hand the
// targets back to a router that is stopping, which would hand them over again.
func TestDutiesHandedOverAtStopAreNotHandedBack(t *testing.T) {
	for seed := range int64(10) {
		w, writes := servedWorld(seed)
		w.StopRouter(0, time.Hour)
		w.Run(2 * time.Second)
		for key, n := range writes {
			// The hand-over itself, and the receiver's list of its own successors.
			assert.Assert(t, n <= 2, "seed %d: %d writes of %s", seed, n, key)
		}
		for i := range 6 {
			assert.Assert(t, w.Grantor(fmt.Sprint("t", i)) != 0, "seed %d: %s is still with the router that stops", seed, fmt.Sprint("t", i))
		}
		assert.Equal(t, len(w.Violations), 0)
	}
}

// A planned stop of a whole data centre must not flood the store with writes. All routers
// stop at the same time, and each has only other stopping routers to hand its targets over
// to. These must not hand the targets back at once.
func TestRoutersThatStopTogetherDoNotPassDutiesAround(t *testing.T) {
	for seed := range int64(10) {
		w, writes := servedWorld(seed)
		for i := range 3 {
			w.StopRouter(i, time.Hour)
		}
		w.Run(2 * time.Second)
		for key, n := range writes {
			assert.Assert(t, n <= 3, "seed %d: %d writes of %s", seed, n, key)
		}
		assert.Equal(t, len(w.Violations), 0)
	}
}
