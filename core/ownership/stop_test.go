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

// servedWorld runs three routers with the targets until each is served, and counts the
// writes of grantor records from then on.
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

// Symptom: each planned stop makes targets unserved for as long as the router takes to
// end, and the store sees a hundred writes a second for each of them.
// Sequence: a router stops and hands its targets over; their heirs see that it is live
// and ranks before them, and hand them back; it is stopping and hands them over again.
// Cause: a router that leaves counts as one to hand duties back to.
func TestWhatALeavingRouterHandedOverStaysAway(t *testing.T) {
	for seed := range int64(10) {
		w, writes := servedWorld(seed)
		w.StopRouter(0, time.Hour)
		w.Run(2 * time.Second)
		for key, n := range writes {
			// The hand-over itself, and the heir's word on its own successors.
			assert.Assert(t, n <= 2, "seed %d: %d writes of %s", seed, n, key)
		}
		for i := range 6 {
			assert.Assert(t, w.Grantor(fmt.Sprint("t", i)) != 0, "seed %d: %s is still with the router that stops", seed, fmt.Sprint("t", i))
		}
		assert.Equal(t, len(w.Violations), 0)
	}
}

// Symptom: a data centre that is shut down as planned floods the store.
// Sequence: all its routers stop at the same time, and each has only others that stop
// to hand its targets over to.
// Cause: what one stopping router gives another is given back at once.
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
