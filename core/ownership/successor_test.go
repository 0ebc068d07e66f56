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

// pairWorld returns a world with two routers and two targets that have the given checks.
func pairWorld(check model.GrantCheck) *ownershiptest.World {
	opt := options(11, targets(2, model.Isolation{Keep: true}, check), ownership.OmitNone)
	opt.Routers = 2
	opt.Keeper = func(self ownership.Router) ownership.Config {
		return ownership.Config{Self: self, DataCentre: "dc1"}
	}
	return ownershiptest.New(opt)
}

// forEachGrantCheck runs events on two routers, as a subtest for each kind of target
// checks, after two undisturbed seconds. grantor is the grantor of t0 at that time.
func forEachGrantCheck(t *testing.T, events func(t *testing.T, w *ownershiptest.World, grantor int)) {
	for _, check := range grantChecks {
		t.Run(fmt.Sprintf("%+v", check), func(t *testing.T) {
			w := pairWorld(check)
			w.Run(2 * time.Second)
			events(t, w, w.Grantor("t0"))
		})
	}
}

// assertServed fails if a unit was unserved for that long or a guarantee was violated.
func assertServed(t *testing.T, w *ownershiptest.World, unserved time.Duration) {
	t.Helper()
	assert.Equal(t, len(w.Unserved(unserved)), 0, "%v", w.Reports)
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
}

// A target must not stay without a grantor (reported as unprovable) although the only other
// router of the data centre is alive. A grantor receives no heartbeats of its successor,
// and is lost together with the target before it receives any again. Missing heartbeats,
// which can be the grantor's own fault, must not remove the recorded right of the successor
// to take over.
func TestSilentSuccessorStaysOnRecord(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		// Only the grantor receives no heartbeats of the successor; the successor does not
		// claim.
		w.DropHeartbeats(grantor, time.Second)
		w.Run(600 * ms)
		w.KillRouter(grantor, 0)
		w.KillTarget("t0", 280*ms)
		w.Run(3 * time.Second)
		assertServed(t, w, time.Second)
	})
}

// The same at the start of a system. A router claims a target before it has seen the
// others, then sees them, and is lost. A newly seen router is recorded only after it has
// been live for a while, but a record without a successor must get one at once.
func TestFirstSuccessorIsNamedAtOnce(t *testing.T) {
	for _, check := range grantChecks {
		w := pairWorld(check)
		w.CutLink(0, 1, 500*ms)
		w.Run(550 * ms)
		w.KillRouter(w.Grantor("t0"), 0)
		w.KillTarget("t0", 280*ms)
		w.Run(3 * time.Second)
		assertServed(t, w, time.Second)
	}
}

// A data centre's last router must not stop serving when the store is unreachable, because
// no other router is left that could take over. The other router is lost for good, and long
// after that the store goes down. A lost router must not stay in the record forever.
func TestLostSuccessorLeavesTheRecordInTheEnd(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		w.KillRouter(1-grantor, 0)
		w.Run(ownership.DefaultHoldSuccessor + time.Second)
		w.OutageOfStore(3 * time.Second)
		w.Run(2 * time.Second)
		assertServed(t, w, 500*ms)
	})
}

// A router that starts must not take targets from a live grantor. A router restarts and
// knows the store's records before the first heartbeat of the others arrives. A router that
// it has not seen yet must not count as lost.
func TestStartingRouterTakesNothingFromUnseenGrantors(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		w.KillRouter(1-grantor, 500*ms)
		w.Run(490 * ms)
		w.DropHeartbeats(1-grantor, 200*ms)
		before := len(w.Reports)
		w.Run(400 * ms)
		assert.Equal(t, w.Grantor("t0"), grantor)
		assert.Equal(t, len(w.Reports), before, "%v", w.Reports[before:])
	})
}

// A router must not write to the store as fast as it can. The store refuses a change of a
// list of successors; the refused write must not be repeated in the next step.
func TestRefusedListOfSuccessorsIsNotRepeatedAtOnce(t *testing.T) {
	opt := options(11, targets(1, model.Isolation{Keep: true}, grantChecks[0]), ownership.OmitNone)
	opt.Routers = 2
	writes := 0
	opt.Trace = func(_ time.Duration, _ string, what any) {
		if _, ok := what.(ownership.CAS); ok {
			writes++
		}
	}
	w := ownershiptest.New(opt)
	w.CutLink(0, 1, 2*time.Second)
	w.Run(1990 * ms)
	w.RefuseWrites(time.Second)
	writes = 0
	w.Run(800 * ms)
	assert.Assert(t, writes <= 2*800/80, "%d writes in 800 ms", writes)
}

// The service of keys must not be interrupted repeatedly while two routers reach the store
// and the targets, but not each other. The connections between them drop all messages for
// some seconds; each takes the other one for lost, and they must not take each other's
// duties again and again.
func TestPartitionedRoutersTakeADutyOverOnce(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		before := len(w.Reports)
		w.CutLink(0, 1, 5*time.Second)
		w.Run(5 * time.Second)
		taken := map[string]int{}
		for _, r := range w.Reports[before:] {
			if r.Kind == ownership.TookOver {
				taken[r.Target]++
			}
		}
		assert.Assert(t, taken["t0"] <= 1 && taken["t1"] <= 1, "%v", taken)
		w.Run(time.Second)
		assertServed(t, w, 500*ms)
	})
}

// Targets must not stay unserved for good after the store was unreachable for a moment. The
// first successor is lost, and the store does not answer for a second before that successor
// is removed from the record. The grantor must not ask the lost router for promises,
// because it could no longer prove that this router does not act without the store.
func TestLostSuccessorIsNotAskedForPromises(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		w.KillRouter(1-grantor, 0)
		w.Run(time.Second)
		w.OutageOfStore(time.Second)
		w.Run(2 * time.Second)
		assertServed(t, w, 500*ms)
	})
}

// A target must not stay without a grantor although a router of the data centre is alive. A
// router takes a duty over from a live grantor whose heartbeats do not arrive, and is lost
// itself before they arrive again. The record of the router that took over must name a
// successor.
func TestSupersededGrantorTakesOverAgain(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		w.DropHeartbeats(1-grantor, 2*time.Second)
		w.Run(900 * ms)
		assert.Equal(t, w.Grantor("t0"), 1-grantor)
		w.KillRouter(1-grantor, 0)
		w.KillTarget("t0", 280*ms)
		w.Run(3 * time.Second)
		assertServed(t, w, time.Second)
	})
}

// Targets must not stay unserved for good after the store was unreachable for a moment. The
// store goes down and the first successor is lost at the same time; the grantor asks it for
// promises before it detects the loss; the store returns. A router that never gave a
// promise must not count as one that may act without the store.
func TestSuccessorThatNeverPromisedHasNoRight(t *testing.T) {
	forEachGrantCheck(t, func(t *testing.T, w *ownershiptest.World, grantor int) {
		w.KillRouter(1-grantor, 0)
		w.OutageOfStore(time.Second)
		w.Run(3 * time.Second)
		assertServed(t, w, 500*ms)
	})
}

// Grantors must not report the store as unreachable while it answers. The routers of a busy
// machine are paused repeatedly for a moment, including those that read for the others;
// later the store is really unreachable. The first request for a promise must not raise the
// alarm by itself, because it may have another reason.
func TestOnlyAStoreThatDoesNotAnswerIsReported(t *testing.T) {
	w := lossWorld(t, 3, model.GrantCheck{ChecksTokens: true, Expires: true})
	alarms := func() (n int) {
		for _, r := range w.Reports {
			if r.Kind == ownership.PromisesOnly {
				n++
			}
		}
		return n
	}
	for i := range 60 {
		w.PauseRouter(i%3, 120*ms)
		w.PauseRouter((i+i/3)%3, 200*ms)
		w.Run(500 * ms)
	}
	assert.Equal(t, alarms(), 0, "%v", w.Reports)
	w.OutageOfStore(2 * time.Second)
	w.Run(time.Second)
	assert.Equal(t, alarms(), 12, "%v", w.Reports)
}
