package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
)

// disturbance is for how long a target on a shared machine is three times slower.
const disturbance = 400 * time.Millisecond

// measuredSim is a loadSim whose service times are those that a leader measures from the answers of many
// routers, one answer a report, of work that is spread wide.
type measuredSim struct {
	*loadSim
	measured *dispatch.Service
	// disturbed is the share of time in which a target is disturbed; periods has the present one of each.
	disturbed float64
	periods   map[string]disturbancePeriod
}

type disturbancePeriod struct {
	until  time.Time
	factor float64
}

// newMeasuredSim has targets with the given speeds in turn, as factors of the mean time.
func newMeasuredSim(t *testing.T, disturbed float64, speeds ...float64) *measuredSim {
	sim := &measuredSim{loadSim: newLoadSim(t, 4), disturbed: disturbed, periods: map[string]disturbancePeriod{}}
	for i := range largeFleet {
		sim.serviceTimes[fmt.Sprintf("t%03d", i)] = meanTime * speeds[i%len(speeds)] / (1 + 2*disturbed)
	}
	sim.restartRouters()
	sim.onRequest = sim.answer
	return sim
}

// restartRouters makes the leader forget all answers.
func (sim *measuredSim) restartRouters() {
	sim.measured = dispatch.New("here", true, rand.New(rand.NewPCG(4, 2)))
	var targets []directory.Target
	for id := range sim.serviceTimes {
		targets = append(targets, directory.Target{ID: id, Service: "s", Slots: 4})
	}
	sim.measured.SetTargets(targets)
	sim.believed = sim.measured.ServiceTime
}

// answer records an answer of a target: log-normal work, of which a few requests take seven times as long.
func (sim *measuredSim) answer(target string) {
	const spread, tail, tailFactor = 0.8, 0.03, 7
	period := sim.periods[target]
	if sim.now.After(period.until) {
		period = disturbancePeriod{sim.now.Add(disturbance), 1}
		if sim.random.Float64() < sim.disturbed {
			period.factor = 3
		}
		sim.periods[target] = period
	}
	took := sim.serviceTimes[target] * period.factor * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2) / (1 + tail*(tailFactor-1))
	if sim.random.Float64() < tail {
		took *= tailFactor
	}
	sim.measured.MergeStats(sim.now, []dispatch.TargetStats{{Target: target, Answers: 1, Mean: time.Duration(took * float64(time.Second))}})
}

// run has requests arrive for some seconds, as runRound does, and returns the share of the keys that moved.
func (sim *measuredSim) run(seconds int, hotFraction float64, hotKeys int) float64 {
	before := sim.movedKeys
	for range 4 * seconds {
		sim.runRound(hotFraction, 30000, hotKeys)
	}
	return float64(sim.movedKeys-before) / (1 << 16)
}

// Guards against keys that follow the chance in single answers, while slow targets stay overloaded.
func TestSpeedsOfHalfToOneAndAHalfAreFilledByCapacity(t *testing.T) {
	for disturbed, speeds := range map[float64][]float64{0: {0.68, 0.68, 1.64}, 0.2: {0.5, 1, 1.5}} {
		sim := newMeasuredSim(t, disturbed, speeds...)
		settling := sim.run(20, 0, 0)
		moved := sim.run(12, 0, 0)
		assert.Assert(t, settling < 0.25 && moved < 0.02, "%v, %v: %v of the keys moved, and then %v", speeds, disturbed, settling, moved)
		assert.Assert(t, sim.maxUtilisation(0, 0, 0) < 0.9, "%v, %v: %v", speeds, disturbed, sim.maxUtilisation(0, 0, 0))
	}
}

// Guards against a set of popular keys that stays with one target, because each of them has more load than
// any other target has to spare.
func TestHotSetsOf60And200KeysAreSpread(t *testing.T) {
	for _, hotKeys := range []int{60, 200} {
		sim := newMeasuredSim(t, 0, 1)
		sim.believed = sim.serviceTime
		sim.run(4, 0, 0)
		before := sim.maxUtilisation(0.4, 30000, hotKeys)
		moved := sim.run(5, 0.4, hotKeys)
		after := sim.maxUtilisation(0.4, 30000, hotKeys)
		assert.Assert(t, after < before/10, "%d keys: %v of %v", hotKeys, after, before)
		assert.Assert(t, moved < 0.15, "%d keys: %v of all keys moved", hotKeys, moved)
	}
}

// Guards against a leader that knows no speeds yet and takes the keys from the fast targets that hold many.
func TestRestartOfAllRoutersLeavesKeysInPlace(t *testing.T) {
	sim := newMeasuredSim(t, 0, 0.5, 1, 1.5)
	sim.run(20, 0, 0)
	table := sim.assigner.Table()
	sim.restartRouters()
	sim.measured.ExpectSpeeds(table)
	moved := sim.run(4, 0, 0)
	assert.Assert(t, moved < 0.03, "%v of the keys moved", moved)
}

// Guards against keys of targets that have left which are placed as if all others were equally fast, and are moved once
// more thereafter.
func TestKeysOfTargetsThatLeaveInSeriesGoWhereThereIsCapacity(t *testing.T) {
	sim := newMeasuredSim(t, 0, 0.68, 0.68, 1.64)
	sim.run(24, 0, 0)
	var ids []string
	for i := range largeFleet {
		ids = append(ids, fmt.Sprintf("t%03d", i))
	}
	moved, worst := 0.0, 0.0
	for left := 2; left <= 40; left += 2 {
		sim.assigner.SetTargets(sim.now, testTargets(ids[left:]...))
		moved += sim.run(1, 0, 0)
		worst = max(worst, sim.maxUtilisation(0, 0, 0))
	}
	assert.Assert(t, moved < 0.08, "%v of the keys moved beside those of the targets that left", moved)
	assert.Assert(t, worst < 1.4, "%v", worst)
}
