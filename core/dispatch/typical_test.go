package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eachByItself makes targets count only by their own reports, and those without as empty.
func eachByItself(s *Service) {
	for _, t := range s.targetList {
		t.typical = nil
	}
}

func asBuilt(*Service) {}

// playLossInBurst plays a third of the targets lost while a burst of 1.5 comes for 3.5 s, and 5 s of calm.
func playLossInBurst(seed uint64, prepare func(*Service)) *fleet {
	const room = 90 * fleetSlots * float64(time.Second) / float64(fleetWork)
	f := newFleet(seed, 60, 90, prepare)
	f.run(3*time.Second, 0.55*room)
	f.lose(prepare)
	f.run(3500*time.Millisecond, 1.5*0.55*room)
	f.run(5500*time.Millisecond, 0.55*room)
	return f
}

// Guards against targets that count as empty because this router has not heard of them: all routers sent to these when a
// burst came beside the loss of a data centre, and answers stayed late for seconds after it.
func TestThirdOfTargetsLostInBurst(t *testing.T) {
	for seed := range uint64(2) {
		old, built := playLossInBurst(seed, eachByItself), playLossInBurst(seed, asBuilt)
		t.Logf("before %.3f, %.3f; loss %.3f, %.3f; after it %.3f, %.3f; refused by targets %d, %d", old.worth(0, 3), built.worth(0, 3),
			old.worth(3, 7), built.worth(3, 7), old.worth(7, 11), built.worth(7, 11), old.refusedByTargets, built.refusedByTargets)
		assert.Assert(t, built.worth(3, 11) > old.worth(3, 11)+0.03)
	}
}

// Guards against queues that never drain: whatever load came before, 3 s of calm have to bring full service back.
func TestAnyLoadThenCalmIsFullServiceWithin3s(t *testing.T) {
	const room = 60 * fleetSlots * float64(time.Second) / float64(fleetWork)
	lowest, old := 1.0, 1.0
	for seed := range uint64(4) {
		for _, prepare := range []func(*Service){eachByItself, asBuilt} {
			random := rand.New(rand.NewPCG(seed, 17))
			f := newFleet(seed, 60, 60, prepare)
			for range 3 {
				f.run(time.Second, room*(0.3+2.2*random.Float64()))
			}
			calm := room * (0.6 + 0.2*random.Float64())
			if random.IntN(2) == 0 {
				f.lose(prepare)
				calm *= 2.0 / 3
			}
			f.run(5*time.Second, calm)
			if prepare(f.routers[0]); f.routers[0].targetList[0].typical == nil {
				old = min(old, f.worth(6, 7))
			} else {
				lowest = min(lowest, f.worth(6, 7))
			}
		}
	}
	t.Logf("after 3 s of calm at least %.3f, before %.3f", lowest, old)
	assert.Assert(t, lowest > 0.96 && old < lowest)
}

// Guards against refusals by routers on top of those of targets that shed half of what they get although they have room.
func TestTargetsThatShedHalfAreNotTakenForFull(t *testing.T) {
	const room = 90 * fleetSlots * float64(time.Second) / float64(fleetWork)
	var worth [2]float64
	for seed := range uint64(4) {
		for i, prepare := range []func(*Service){eachByItself, asBuilt} {
			f := newFleet(seed, 60, 90, prepare)
			f.run(time.Second, 0.55*room)
			f.shed = 0.55
			f.run(4*time.Second, 0.75*room)
			f.shed = 0
			f.run(2*time.Second, 0.55*room)
			worth[i] += f.worth(1, 6) / 4
		}
	}
	t.Logf("earned %.3f each by itself, %.3f as built", worth[0], worth[1])
	assert.Assert(t, worth[1] > worth[0]-0.005)
}
