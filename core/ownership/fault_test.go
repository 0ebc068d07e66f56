package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
	"tarragongw/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261202") }

const ms = time.Millisecond

var grantChecks = []model.GrantCheck{{ChecksTokens: true, Expires: true}, {Expires: true}, {}, {ChecksTokens: true}}

func targets(n int, isolation model.Isolation, checks ...model.GrantCheck) []ownership.TargetSpec {
	var out []ownership.TargetSpec
	for i := range n {
		out = append(out, ownership.TargetSpec{Name: fmt.Sprintf("t%d", i), Service: "faq", DataCentre: "dc1",
			Grants: checks[i%len(checks)], Isolation: isolation, Weight: 1})
	}
	return out
}

func options(seed int64, targets []ownership.TargetSpec, rule ownership.Omitted) ownershiptest.Options {
	return ownershiptest.Options{Seed: seed, Routers: 3, Targets: targets,
		Services: []ownership.ServiceSpec{{Name: "faq", HashSlots: 6, Ranges: []ownership.RangeSpec{{Name: "stall"}}}},
		Keeper: func(self ownership.Router) ownership.Config {
			return ownership.Config{Self: self, DataCentre: "dc1", HandBackAfter: 1500 * ms}.Without(rule)
		},
		DetectAfter: 280 * ms, RequestEvery: 15 * ms}
}

// fault is one generated fault, or an operator's request.
type fault struct {
	kind     int
	at       time.Duration
	a, b     int
	duration time.Duration
}

const faultKinds = 13

func generatedFault(t *rapid.T) fault {
	return fault{kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
		at: time.Duration(rapid.IntRange(500, 6000).Draw(t, "at")) * ms,
		a:  rapid.IntRange(0, 2).Draw(t, "a"), b: rapid.IntRange(0, 2).Draw(t, "b"),
		duration: time.Duration(rapid.IntRange(20, 1500).Draw(t, "long")) * ms}
}

func (f fault) run(w *ownershiptest.World) {
	target := fmt.Sprintf("t%d", f.a)
	switch f.kind {
	case 0:
		w.PauseRouter(f.a, f.duration)
	case 1:
		w.KillRouter(f.a, f.duration)
	case 2:
		w.FreezeTarget(target, f.duration)
	case 3:
		w.OutageOfStore(f.duration)
	case 4:
		w.CutStore(f.a, f.duration)
	case 5:
		if f.a != f.b {
			w.CutLink(f.a, f.b, f.duration)
		}
	case 6, 7:
		for _, u := range w.Units() {
			if w.Owner(u) == target {
				w.RequestMoves(ownership.Move{Unit: u, From: target, To: fmt.Sprintf("t%d", f.b)})
			}
		}
	case 8:
		w.PauseRouter(w.Grantor(target), f.duration)
	case 9:
		w.IsolateRouter(w.Grantor(target), f.duration)
	case 10:
		isolateGrantorWithStore(w, w.Grantor(target), f.duration)
	case 11, 12:
		moveAfterHandOver(w, target, fmt.Sprintf("t%d", f.b), func(former int) {
			if f.kind == 12 {
				w.PauseRouter(former, f.duration)
			}
		})
	}
}

// handOverWait is for how long moveAfterHandOver waits for another grantor.
const handOverWait = 3 * time.Second

// moveAfterHandOver waits until the target has another grantor, and then requests moves of its units
// and calls then with the former one.
func moveAfterHandOver(w *ownershiptest.World, target, to string, then func(former int)) {
	former, end := w.Grantor(target), w.Now()+handOverWait
	var look func()
	look = func() {
		switch {
		case w.Grantor(target) == former && w.Now() < end:
			w.After(5*ms, look)
		case w.Grantor(target) != former:
			then(former)
			for _, u := range w.Units() {
				if w.Owner(u) == target {
					w.RequestMoves(ownership.Move{Unit: u, From: target, To: to})
				}
			}
		}
	}
	look()
}

// isolateGrantorWithStore cuts all routers off from the store, then cuts the grantor off
// from the other routers and restores the store for the grantor alone.
func isolateGrantorWithStore(w *ownershiptest.World, grantor int, duration time.Duration) {
	for i := range 3 {
		d := 400 * ms
		if i != grantor {
			d += duration
		}
		w.CutStore(i, d)
	}
	w.After(350*ms, func() { w.CutPeers(grantor, duration) })
}

// runHistory runs faults in a world and returns the world after they have ended.
func runHistory(seed int64, specs []ownership.TargetSpec, rule ownership.Omitted, faults []fault) *ownershiptest.World {
	opt := options(seed, specs, rule)
	opt.ReplyLoss, opt.SlowShare = 0.03, 0.05
	w := ownershiptest.New(opt)
	start := w.Now()
	for at := time.Duration(0); at < 9000*ms; at += 5 * ms {
		for _, f := range faults {
			if start+f.at >= w.Now() && start+f.at < w.Now()+5*ms && (f.kind < 8 || w.Grantor(fmt.Sprintf("t%d", f.a)) >= 0) {
				f.run(w)
			}
		}
		w.Run(5 * ms)
	}
	return w
}

func generatedHistory(t *rapid.T, rule ownership.Omitted) *ownershiptest.World {
	isolation := model.Isolation{Keep: rapid.Bool().Draw(t, "keep"), YieldAfter: 600 * ms}
	first := rapid.IntRange(0, len(grantChecks)-1).Draw(t, "kinds")
	checks := append(append([]model.GrantCheck(nil), grantChecks[first:]...), grantChecks[:first]...)
	faults := rapid.SliceOfN(rapid.Custom(generatedFault), 2, 8).Draw(t, "faults")
	return runHistory(rapid.Int64().Draw(t, "seed"), targets(3, isolation, checks...), rule, faults)
}

// No unit may run at two targets or stay unserved, no target that does not check terms may
// be ordered by two routers, and no acknowledged assignment may be missing. The faults are
// generated: pauses, losses, restarts, cuts, outages and lost replies while units move. A
// failure means that a rule of the protocol is missing.
func TestHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := generatedHistory(t, ownership.OmitNone)
		if len(w.Violations) > 0 {
			t.Fatalf("%v", w.Violations)
		}
		w.Run(6 * time.Second)
		assert.Equal(t, len(w.Unserved(time.Second)), 0, "unserved: %v; reports %v", w.Unserved(time.Second), w.Reports)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	})
}
