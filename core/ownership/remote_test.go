package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
)

// dataCentres are the data centres of these tests; each has two routers and two targets.
var dataCentres = []string{"dc1", "dc2", "dc3"}

const (
	yieldSoon = 1500 * ms
	yieldLate = 4 * time.Second
	// cutOffAfter is how long no heartbeats of a data centre arrive before it counts as cut
	// off.
	cutOffAfter = 300 * ms
)

func dataCentreTargets(yield time.Duration, checks ...model.GrantCheck) []ownership.TargetSpec {
	out := targets(2*len(dataCentres), model.Isolation{Keep: yield == 0, YieldAfter: yield}, checks...)
	for i := range out {
		out[i].DataCentre = dataCentres[i%len(dataCentres)]
	}
	return out
}

func dataCentreOptions(seed int64, specs []ownership.TargetSpec, rule ownership.Omitted) ownershiptest.Options {
	opt := options(seed, specs, rule)
	opt.RequestEvery = 30 * ms
	opt.Routers, opt.DataCentres, opt.CutOff = 2*len(dataCentres), dataCentres, cutOffAfter
	opt.Keeper = func(self ownership.Router) ownership.Config {
		dc := dataCentres[int(self.Name[1]-'0')%len(dataCentres)]
		return ownership.Config{Self: self, DataCentre: dc, HandBackAfter: 1500 * ms}.Without(rule)
	}
	return opt
}

// dataCentreFault generates one fault of a data centre or a router.
func dataCentreFault(t *rapid.T) func(w *ownershiptest.World, specs []ownership.TargetSpec) {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	dc := rapid.SampledFrom(dataCentres).Draw(t, "dc")
	i := rapid.IntRange(0, 2*len(dataCentres)-1).Draw(t, "router")
	duration := time.Duration(rapid.IntRange(100, 5000).Draw(t, "long")) * ms
	return func(w *ownershiptest.World, specs []ownership.TargetSpec) {
		switch kind {
		case 0, 1:
			w.CutDataCentre(dc, duration)
		case 2, 3:
			w.CutDataCentre(dc, duration)
			w.CutStoreFromDataCentre(dc, duration*2/3)
		case 4:
			w.CutStoreFromDataCentre(dc, duration)
		case 5:
			w.DropHeartbeatsFromOthers(dc, duration)
		case 6:
			w.KillRouter(i, duration)
		case 7:
			w.PauseRouter(i, duration/2)
		case 8:
			w.OutageOfStore(duration / 2)
		case 9:
			yields := append([]ownership.TargetSpec(nil), specs...)
			for n := range yields {
				yields[n].Isolation = model.Isolation{YieldAfter: yieldLate}
			}
			w.Configure(yields, i)
			w.After(duration, func() { w.Configure(specs, i) })
		}
	}
}

// runDataCentreHistory runs generated faults and returns the world after they have ended.
func runDataCentreHistory(t *rapid.T, rule ownership.Omitted) *ownershiptest.World {
	first := rapid.IntRange(0, len(grantChecks)-1).Draw(t, "kinds")
	specs := dataCentreTargets(yieldSoon, append(append([]model.GrantCheck(nil), grantChecks[first:]...), grantChecks[:first]...)...)
	opt := dataCentreOptions(rapid.Int64().Draw(t, "seed"), specs, rule)
	opt.ReplyLoss, opt.SlowShare = 0.02, 0.05
	w := ownershiptest.New(opt)
	for range rapid.IntRange(1, 5).Draw(t, "faults") {
		run := dataCentreFault(t)
		w.After(time.Duration(rapid.IntRange(800, 7000).Draw(t, "at"))*ms, func() { run(w, specs) })
	}
	w.Run(11 * time.Second)
	return w
}

// No unit may run at targets of two data centres, or stay unserved after the network has
// recovered. The faults are generated: data centres are cut off from the store, from each
// other or from both, or receive no heartbeats while their own arrive; routers are lost and
// restart, or have an older configuration for a while; the store fails. A failure means
// that a rule of the takeover is missing.
func TestHoldsAcrossDataCentres(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := runDataCentreHistory(t, ownership.OmitNone)
		if len(w.Violations) > 0 {
			t.Fatalf("%v", w.Violations)
		}
		w.Run(6 * time.Second)
		assert.Equal(t, len(w.Unserved(time.Second)), 0, "unserved: %v; reports %v", w.Unserved(time.Second), w.Reports)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	})
}

// cutDuration is how long dc1 is cut off in the cases below.
const cutDuration = 9 * time.Second

// cutOffCases are ways in which dc1 is unreachable. Each case names the rule without which
// it shows two owners, orders that are under way for too long, or duties taken in turn.
var cutOffCases = []struct {
	name  string
	fault func(w *ownershiptest.World)
	// comesBack means that at the end the grantors of dc1's targets are in dc1.
	comesBack bool
	without   ownership.Omitted
}{
	{"lost", func(w *ownershiptest.World) { w.LoseDataCentre("dc1") }, false, ownership.OmitNone},
	{"targets in reach", func(w *ownershiptest.World) { w.CutDataCentre("dc1", cutDuration); w.PartitionTargets("dc1", 0) }, true, ownership.OmitNone},
	{"targets in reach, but far", func(w *ownershiptest.World) {
		w.CutDataCentre("dc1", cutDuration)
		w.PartitionTargets("dc1", 0)
		w.AddedLatency = 60 * ms
	}, true, ownership.OmitOrderBoundCheck},
	{"reaches the store", func(w *ownershiptest.World) { w.CutDataCentre("dc1", cutDuration) }, true, ownership.OmitClaimBack},
	{"cut off from both", cutFromBoth, true, ownership.OmitYieldWait},
	{"claimant lost", func(w *ownershiptest.World) {
		cutFromBoth(w)
		w.After(cutOffAfter+300*ms, func() { w.KillRouter(w.Grantor("t0"), cutDuration) })
	}, true, ownership.OmitUnproved},
	{"older configuration there", func(w *ownershiptest.World) {
		w.Configure(dataCentreTargets(yieldLate, w.GrantCheck("t0")), 0, 3)
		w.After(cutOffAfter, func() { cutFromBoth(w) })
		w.After(cutDuration, func() { w.Configure(dataCentreTargets(yieldSoon, w.GrantCheck("t0")), 0, 3) })
	}, true, ownership.OmitRecordedYield},
}

func cutFromBoth(w *ownershiptest.World) {
	w.CutDataCentre("dc1", cutDuration)
	w.CutStoreFromDataCentre("dc1", cutDuration)
}

// runCutOffCase runs one case until shortly before the cut ends.
func runCutOffCase(row int, check model.GrantCheck, rule ownership.Omitted) *ownershiptest.World {
	w := ownershiptest.New(dataCentreOptions(1, dataCentreTargets(yieldSoon, check), rule))
	w.Run(2 * time.Second)
	cutOffCases[row].fault(w)
	w.Run(cutDuration - 100*ms)
	return w
}

// claimedOnce reports whether dc1's two targets were not claimed repeatedly: there are at
// most three claims.
func claimedOnce(w *ownershiptest.World) bool { return w.CountReports(ownership.ClaimedElsewhere) <= 3 }

// The keys of a data centre that is lost, or that is cut off and whose services yield, must
// not stay unserved or have two owners, and data centres must not take them from each other
// in turn. dc1 is lost for good, or is cut off from the others, with and without the store,
// and returns. It fails if no other data centre may hold dc1's duties, if a data centre
// that lost a duty claims it back while it has no connection to the new holder, or if a
// wait is too short.
func TestAnotherDataCentreTakesOver(t *testing.T) {
	for i, row := range cutOffCases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			var found []string
			for _, check := range grantChecks {
				w := runCutOffCase(i, check, ownership.OmitNone)
				assert.Equal(t, len(w.Unserved(500*ms)), 0, "%+v: unserved %v; %v", check, w.Unserved(500*ms), w.Reports)
				assert.Assert(t, w.CountReports(ownership.ClaimedElsewhere) > 0 && claimedOnce(w), "%+v: %v", check, w.Reports)
				w.Run(5 * time.Second)
				assert.Equal(t, len(w.Unserved(500*ms)), 0, "%+v: unserved %v", check, w.Unserved(500*ms))
				assert.Equal(t, len(w.Violations), 0, "%+v: %v", check, w.Violations)
				assert.Equal(t, dataCentres[w.Grantor("t0")%len(dataCentres)] == "dc1", row.comesBack, "%+v", check)
				if len(found) > 0 || row.without == ownership.OmitNone {
					continue
				}
				withoutRule := runCutOffCase(i, check, row.without)
				if found = append(found, withoutRule.Violations...); !claimedOnce(withoutRule) {
					found = append(found, "taken in turn")
				}
			}
			assert.Equal(t, len(found) > 0, row.without != ownership.OmitNone, "the rule's absence shows: %v", found)
		})
	}
}

// Data centres must not take duties from each other several times a second. dc1 and dc2
// have no connection to each other for 6 s, both are connected to dc3, and all reach the
// store. Each of them has a majority and would claim what the other has just claimed.
func TestPartitionedDataCentresDoNotTakeDutiesInTurn(t *testing.T) {
	claims := func(rule ownership.Omitted) int {
		w := ownershiptest.New(dataCentreOptions(1, dataCentreTargets(yieldSoon, grantChecks...), rule))
		w.Run(2 * time.Second)
		for _, pair := range [][2]int{{0, 1}, {0, 4}, {3, 1}, {3, 4}} {
			w.CutLink(pair[0], pair[1], 6*time.Second)
		}
		w.Run(6 * time.Second)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		return w.CountReports(ownership.ClaimedElsewhere)
	}
	// Four targets, each claimed at most every 1.5 s by either side.
	most := 4 * 6000 / 1500
	got, without := claims(ownership.OmitNone), claims(ownership.OmitJustChanged)
	assert.Assert(t, got <= most && without > most, "%d claims, %d without the rule", got, without)
}

// A unit's record must not be written a hundred times a second. A target is lost, and a
// unit of another target is requested to move to it. The unit goes back to the target that
// it was to leave, and this must end the move.
func TestMoveThatGoesBackEnds(t *testing.T) {
	w := ownershiptest.New(options(1, targets(2, model.Isolation{Keep: true}, grantChecks[0]), ownership.OmitNone))
	w.Run(time.Second)
	w.KillTarget("t1", 0)
	w.Run(3 * time.Second)
	before := w.Moves
	for _, u := range w.Units() {
		w.RequestMoves(ownership.Move{Unit: u, From: "t0", To: "t1"})
	}
	w.Run(2 * time.Second)
	assert.Assert(t, w.Moves > before && w.Moves <= before+len(w.Units()), "%d moves of %d units", w.Moves-before, len(w.Units()))
}
