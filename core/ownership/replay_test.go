package ownership_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
)

// digestOf runs a history with faults and returns a digest of every router's events and
// actions, including the bytes of the records and the contents of the orders.
func digestOf(seed int64) (uint64, int) {
	h, n := fnv.New64a(), 0
	opt := options(seed, targets(3, model.Isolation{Keep: true}, grantChecks...), ownership.OmitNone)
	opt.ReplyLoss = 0.05
	opt.Trace = func(at time.Duration, router string, what any) {
		if _, gate := what.(ownership.SetGate); gate {
			return
		}
		n++
		fmt.Fprintf(h, "%v %s %T %+v\n", at, router, what, what)
	}
	w := ownershiptest.New(opt)
	w.Run(time.Second)
	w.KillRouter(1, 700*ms)
	w.FreezeTarget("t0", 900*ms)
	w.Run(time.Second)
	w.OutageOfStore(800 * ms)
	w.Run(3 * time.Second)
	return h.Sum64(), n
}

// The same events must lead to the same actions, byte for byte.
func TestReplayIsIdentical(t *testing.T) {
	for seed := range int64(5) {
		first, n := digestOf(seed)
		second, _ := digestOf(seed)
		assert.Equal(t, first, second)
		assert.Assert(t, n > 1000)
	}
}
