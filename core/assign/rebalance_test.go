package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

const (
	// requestRate is the service's requests per second, and meanTime the service time of one
	// in seconds. Together they use two thirds of the targets' capacity.
	requestRate = 1100
	meanTime    = 0.48
	// rebalanceInterval is the time between two calls of Rebalance.
	rebalanceInterval = 250 * time.Millisecond
)

// loadSim is an assigner with many targets whose requests arrive at random.
type loadSim struct {
	assigner     *Assigner
	now          time.Time
	random       *rand.Rand
	serviceTimes map[string]float64
	movedKeys    int
}

func newLoadSim(t *testing.T, seed uint64) *loadSim {
	ids := make([]string, largeFleet)
	for i := range ids {
		ids[i] = fmt.Sprintf("t%03d", i)
	}
	sim := &loadSim{
		assigner: newSettled(t, ids...), now: after(3 * time.Second), random: rand.New(rand.NewPCG(seed, 1)), serviceTimes: map[string]float64{},
	}
	runUntilIdle(sim.assigner, sim.now)
	return sim
}

func (sim *loadSim) serviceTime(id string) float64 {
	if t, known := sim.serviceTimes[id]; known {
		return t
	}
	return meanTime
}

// runRound has requests arrive until the next call of Rebalance, and carries out its moves.
// hotFraction of the requests are for hotKeys keys from firstHot on.
func (sim *loadSim) runRound(hotFraction float64, firstHot, hotKeys int) {
	end := sim.now.Add(rebalanceInterval)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(time.Duration(sim.random.ExpFloat64() * float64(time.Second) / requestRate))
		k := sim.random.IntN(1 << 16)
		if sim.random.Float64() < hotFraction {
			k = firstHot + sim.random.IntN(hotKeys)
		}
		sim.assigner.Load().Add(sim.now, keyspace.Key(k), 1)
	}
	for _, m := range sim.assigner.Rebalance(sim.now, sim.serviceTime, 1) {
		if sim.assigner.StartMove(sim.now, m) {
			sim.movedKeys += int(m.To) - int(m.From) + 1
		}
	}
	runUntilIdle(sim.assigner, sim.now)
}

// maxUtilisation returns the highest utilisation of a target that the present assignment gives
// at requestRate.
func (sim *loadSim) maxUtilisation(hotFraction float64, firstHot, hotKeys int) float64 {
	rates := map[string]float64{}
	for i := range sim.assigner.spans {
		s := &sim.assigner.spans[i]
		rates[s.Target] += (1 - hotFraction) * requestRate * float64(s.Len()) / (1 << 16)
		first, last := max(int(s.From), firstHot), min(int(s.To), firstHot+hotKeys-1)
		rates[s.Target] += hotFraction * requestRate * float64(max(last-first+1, 0)) / float64(max(hotKeys, 1))
	}
	highest := 0.0
	for id, rate := range rates {
		highest = max(highest, rate*sim.serviceTime(id)/4)
	}
	return highest
}

// Guards against a hot range of keys that takes many rounds of moves to spread, each of which
// makes the next target the overloaded one.
func TestHotRangeIsSpreadWithinASecond(t *testing.T) {
	sim := newLoadSim(t, 1)
	const hotFraction, firstHot, hotKeys = 0.4, 30000, 200
	for range 12 {
		sim.runRound(0, 0, 0)
	}
	before := sim.maxUtilisation(hotFraction, firstHot, hotKeys)
	for range 4 {
		sim.runRound(hotFraction, firstHot, hotKeys)
	}
	assert.Assert(t, before > 20, "%v", before)
	assert.Assert(t, sim.maxUtilisation(hotFraction, firstHot, hotKeys) < before/10, "%v of %v", sim.maxUtilisation(hotFraction, firstHot, hotKeys), before)
	assert.Assert(t, sim.movedKeys < 1<<13, "%d keys were moved", sim.movedKeys)
}

// Guards against keys that keep moving because by chance the busiest of many targets looks
// overloaded.
func TestRandomLoadVariationMovesFewKeys(t *testing.T) {
	sim := newLoadSim(t, 2)
	for range 80 {
		sim.runRound(0, 0, 0)
	}
	assert.Assert(t, sim.movedKeys < 1<<16/50, "%d keys were moved", sim.movedKeys)
}

// Guards against slow targets that keep as many keys as the others for many seconds.
func TestSlowTargetsGiveKeysAwayWithinSeconds(t *testing.T) {
	sim := newLoadSim(t, 3)
	for i := 0; i < largeFleet; i += 4 {
		sim.serviceTimes[fmt.Sprintf("t%03d", i)] = 2 * meanTime
	}
	before := sim.maxUtilisation(0, 0, 0)
	for range 20 {
		sim.runRound(0, 0, 0)
	}
	assert.Assert(t, before > 1.2, "%v", before)
	assert.Assert(t, sim.maxUtilisation(0, 0, 0) < 1.05, "%v of %v", sim.maxUtilisation(0, 0, 0), before)
}

// Guards against one write of the table, and one state sent to all routers, for each of many
// moves in quick succession.
func TestMovesInQuickSuccessionShareWrites(t *testing.T) {
	a := newSettled(t, "a", "b")
	a.cfg.WriteInterval = 100 * time.Millisecond
	now, writes := after(3*time.Second), 0
	runUntilIdle(a, now)
	donor := a.spans[0]
	receiver := "a"
	if donor.Target == "a" {
		receiver = "b"
	}
	for i := range 50 {
		now = now.Add(20 * time.Millisecond)
		key := donor.From + keyspace.Key(10*i)
		a.StartMove(now, Move{From: key, To: key, Target: receiver})
		actions := a.Step(now)
		if actions.Write != nil {
			writes++
			a.WriteDone(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			a.OrderDone(now, o.ID, Accepted, "h")
		}
	}
	assert.Assert(t, writes >= 8 && writes <= 11, "%d writes within a second", writes)
}

// Guards against a leader that sends so many orders to a data centre that is cut off that its
// own lease expires.
func TestOrdersToUnreachableTargetsBackOff(t *testing.T) {
	sim := newLoadSim(t, 6)
	unreachable := func(holder string) bool { return holder < "t042" }
	ranges, orders := 0, 0
	for i := range sim.assigner.spans {
		if unreachable(sim.assigner.spans[i].Target) {
			ranges++
		}
	}
	const steps = 200
	for range steps {
		sim.now = sim.now.Add(10 * time.Millisecond)
		actions := sim.assigner.Step(sim.now)
		if actions.Write != nil {
			sim.assigner.WriteDone(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			if !unreachable(o.Holder.Target) {
				sim.assigner.OrderDone(sim.now, o.ID, Accepted, "")
				continue
			}
			orders++
			sim.assigner.OrderDone(sim.now, o.ID, NotSent, "")
		}
	}
	assert.Assert(t, orders < 8*ranges, "%d orders for %d ranges within 2 s", orders, ranges)
}
