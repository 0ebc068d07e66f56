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
	// usualRate is the service's requests a second, and usualTime what one takes: two thirds
	// of what the targets can do.
	requestRate = 1100
	meanTime    = 0.48
	// lookEvery is how often moves are looked for.
	rebalanceInterval = 250 * time.Millisecond
)

// crowd is an assignment to many targets whose requests come by chance.
type loadSim struct {
	a            *Assigner
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
	c := &loadSim{
		a: newSettled(t, ids...), now: after(3 * time.Second), random: rand.New(rand.NewPCG(seed, 1)), serviceTimes: map[string]float64{},
	}
	runToRest(c.a, c.now)
	return c
}

func (c *loadSim) serviceTime(id string) float64 {
	if t, known := c.serviceTimes[id]; known {
		return t
	}
	return meanTime
}

// look has requests come until the next look, of which a part is for keys from the first hot
// one on, and carries out the moves that it brings.
func (c *loadSim) runRound(hotFraction float64, firstHot, hotKeys int) {
	end := c.now.Add(rebalanceInterval)
	for c.now.Before(end) {
		c.now = c.now.Add(time.Duration(c.random.ExpFloat64() * float64(time.Second) / requestRate))
		k := c.random.IntN(1 << 16)
		if c.random.Float64() < hotFraction {
			k = firstHot + c.random.IntN(hotKeys)
		}
		c.a.Load().Add(c.now, keyspace.Key(k), 1)
	}
	for _, m := range c.a.Rebalance(c.now, c.serviceTime, 1) {
		if c.a.Begin(c.now, m) {
			c.movedKeys += int(m.To) - int(m.From) + 1
		}
	}
	runToRest(c.a, c.now)
}

// busiest is the highest utilisation that the shares of keys give at the usual rate.
func (c *loadSim) maxUtilisation(hotFraction float64, firstHot, hotKeys int) float64 {
	rates := map[string]float64{}
	for i := range c.a.spans {
		s := &c.a.spans[i]
		rates[s.Target] += (1 - hotFraction) * requestRate * float64(s.Len()) / (1 << 16)
		first, last := max(int(s.From), firstHot), min(int(s.To), firstHot+hotKeys-1)
		rates[s.Target] += hotFraction * requestRate * float64(max(last-first+1, 0)) / float64(max(hotKeys, 1))
	}
	highest := 0.0
	for id, rate := range rates {
		highest = max(highest, rate*c.serviceTime(id)/4)
	}
	return highest
}

// Guards against a hot range of keys that takes many rounds of moves to be spread, each of
// which makes the next target the hot one.
func TestHotRangeIsSpreadWithinASecond(t *testing.T) {
	c := newLoadSim(t, 1)
	const hotFraction, firstHot, hotKeys = 0.4, 30000, 200
	for range 12 {
		c.runRound(0, 0, 0)
	}
	before := c.maxUtilisation(hotFraction, firstHot, hotKeys)
	for range 4 {
		c.runRound(hotFraction, firstHot, hotKeys)
	}
	assert.Assert(t, before > 20, "%v", before)
	assert.Assert(t, c.maxUtilisation(hotFraction, firstHot, hotKeys) < before/10, "%v of %v", c.maxUtilisation(hotFraction, firstHot, hotKeys), before)
	assert.Assert(t, c.movedKeys < 1<<13, "%d keys were moved", c.movedKeys)
}

// Guards against keys that move all day because the busiest of many targets looks busy.
func TestChanceMovesHardlyAKey(t *testing.T) {
	c := newLoadSim(t, 2)
	for range 80 {
		c.runRound(0, 0, 0)
	}
	assert.Assert(t, c.movedKeys < 1<<16/50, "%d keys were moved", c.movedKeys)
}

// Guards against slow targets that keep as many keys as the others for many seconds.
func TestSlowTargetsGiveKeysAwayWithinSeconds(t *testing.T) {
	c := newLoadSim(t, 3)
	for i := 0; i < largeFleet; i += 4 {
		c.serviceTimes[fmt.Sprintf("t%03d", i)] = 2 * meanTime
	}
	before := c.maxUtilisation(0, 0, 0)
	for range 20 {
		c.runRound(0, 0, 0)
	}
	assert.Assert(t, before > 1.2, "%v", before)
	assert.Assert(t, c.maxUtilisation(0, 0, 0) < 1.05, "%v of %v", c.maxUtilisation(0, 0, 0), before)
}

// Guards against a write of the table, and a state sent to all routers, for each of many
// moves that come one after the other.
func TestMovesThatComeTogetherAreWrittenTogether(t *testing.T) {
	a := newSettled(t, "a", "b")
	a.cfg.WriteInterval = 100 * time.Millisecond
	now, writes := after(3*time.Second), 0
	runToRest(a, now)
	span := a.spans[0]
	to := "a"
	if span.Target == "a" {
		to = "b"
	}
	for i := range 50 {
		now = now.Add(20 * time.Millisecond)
		key := span.From + keyspace.Key(10*i)
		a.Begin(now, Move{From: key, To: key, Target: to})
		actions := a.Step(now)
		if actions.Write != nil {
			writes++
			a.Written(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			a.Done(now, o.ID, Accepted, "h")
		}
	}
	assert.Assert(t, writes >= 8 && writes <= 11, "%d writes within a second", writes)
}

// Guards against a leader that a data centre which is cut off keeps so busy with orders that
// its own lease lapses.
func TestSilentTargetsAreTriedLessAndLessOften(t *testing.T) {
	c := newLoadSim(t, 6)
	unreachable := func(holder string) bool { return holder < "t042" }
	ranges, orders := 0, 0
	for i := range c.a.spans {
		if unreachable(c.a.spans[i].Target) {
			ranges++
		}
	}
	const steps = 200
	for range steps {
		c.now = c.now.Add(10 * time.Millisecond)
		actions := c.a.Step(c.now)
		if actions.Write != nil {
			c.a.Written(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			if !unreachable(o.Holder.Target) {
				c.a.Done(c.now, o.ID, Accepted, "")
				continue
			}
			orders++
			c.a.Done(c.now, o.ID, NotSent, "")
		}
	}
	assert.Assert(t, orders < 8*ranges, "%d orders for %d ranges within 2 s", orders, ranges)
}
