package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

var start = time.Unix(5000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func testTargets(ids ...string) []directory.Target {
	var all []directory.Target
	for _, id := range ids {
		all = append(all, directory.Target{ID: id, StartUnixMilli: 1, Service: "s", Address: id, Slots: 4})
	}
	return all
}

// carryOut stores what is to be written, and has all orders accepted.
func carryOut(a *Assigner, now time.Time, actions Actions) {
	if actions.Write != nil {
		a.WriteDone(actions.Write.Generation, true)
	}
	for _, o := range actions.Orders {
		a.OrderDone(now, o.ID, Accepted, "h")
	}
}

// runUntilIdle carries out everything that the assigner asks for, until it asks for nothing
// more.
func runUntilIdle(a *Assigner, now time.Time) {
	for range 20 {
		actions := a.Step(now)
		carryOut(a, now, actions)
		if actions.Write == nil && len(actions.Orders) == 0 {
			return
		}
	}
}

// newSettled returns an assigner whose targets hold all keys.
func newSettled(t *testing.T, ids ...string) *Assigner {
	t.Helper()
	a := TakeOver(start, Config{}, "s", nil)
	a.SetTargets(start, testTargets(ids...))
	runUntilIdle(a, start)
	runUntilIdle(a, after(placementQuietPeriod))
	for _, s := range a.spans {
		assert.Assert(t, s.acked, "%d to %d", s.From, s.To)
	}
	return a
}

func keysPerTarget(a *Assigner) map[string]int {
	keys := map[string]int{}
	for i := range a.spans {
		keys[a.spans[i].Target] += a.spans[i].Len()
	}
	return keys
}

// Guards against one target that gets all keys of a new service because they are assigned to
// the first target seen.
func TestNewServiceWaitsForTargetsAndAssignsKeysEvenly(t *testing.T) {
	a := TakeOver(start, Config{}, "s", nil)
	a.SetTargets(start, testTargets("a"))
	runUntilIdle(a, start)
	assert.DeepEqual(t, keysPerTarget(a), map[string]int{"": 1 << 16})
	a.SetTargets(after(time.Second), testTargets("a", "b", "c"))
	runUntilIdle(a, after(time.Second+placementQuietPeriod))
	for id, keys := range keysPerTarget(a) {
		assert.Assert(t, keys > 1<<14 && keys < 1<<15, "%s has %d keys", id, keys)
	}
	assert.Equal(t, len(keysPerTarget(a)), 3)
}

// Guards against one target that gets all keys of a new service because the first leader is followed by another
// before the targets have started.
func TestNextLeaderOfANewServiceWaitsForTargetsToo(t *testing.T) {
	first := TakeOver(start, Config{}, "s", nil)
	write := first.Step(start).Write
	assert.Assert(t, write != nil)
	second := TakeOver(after(time.Second), Config{}, "s", write.Table)
	second.SetTargets(after(time.Second), testTargets("a"))
	runUntilIdle(second, after(time.Second))
	assert.DeepEqual(t, keysPerTarget(second), map[string]int{"": 1 << 16})
	second.SetTargets(after(2*time.Second), testTargets("a", "b", "c"))
	runUntilIdle(second, after(2*time.Second+placementQuietPeriod))
	assert.Equal(t, len(keysPerTarget(second)), 3)
}

// Nothing is ordered that is not in the store.
func TestOrdersWaitForTheirWrite(t *testing.T) {
	a := TakeOver(start, Config{}, "s", nil)
	a.SetTargets(start, testTargets("a"))
	runUntilIdle(a, start)
	actions := a.Step(after(maxPlacementDelay))
	assert.Assert(t, actions.Write != nil)
	assert.Equal(t, len(actions.Orders), 0)
	a.WriteDone(actions.Write.Generation, false)
	actions = a.Step(after(maxPlacementDelay))
	assert.Assert(t, actions.Write != nil, "a failed write is repeated")
	assert.Equal(t, len(actions.Orders), 0)
	a.WriteDone(actions.Write.Generation, true)
	assert.Assert(t, len(a.Step(after(maxPlacementDelay)).Orders) > 0)
}

// Guards against keys that are not served for half a second during each move because the
// release waits for the time of the next renewal after the move was written.
func TestReleaseIsSentOnceTheMoveIsWritten(t *testing.T) {
	a := newSettled(t, "a", "b")
	now := after(2 * time.Second)
	runUntilIdle(a, now)
	moved := a.spans[0]
	receiver := "a"
	if moved.Target == "a" {
		receiver = "b"
	}
	assert.Assert(t, a.StartMove(now, Move{From: moved.From, To: moved.From + 10, Target: receiver}))
	actions := a.Step(now)
	assert.Assert(t, actions.Write != nil)
	a.WriteDone(actions.Write.Generation, true)
	orders := a.Step(now).Orders
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, Release)
	assert.Assert(t, orders[0].Token > moved.Token, "an older renewal must be refused after the release")
	a.OrderDone(now, orders[0].ID, Accepted, "handover")
	write := a.Step(now).Write
	assert.Assert(t, a.MarkUnconfirmed(write.Table).Find(moved.From).Moving, "the new holder has not accepted yet")
	a.SetStoreUnreachable(true)
	assert.Assert(t, a.MarkUnconfirmed(actions.Write.Table).Find(moved.From).HolderUnreachable, "the new holder can't be written")
	assert.Assert(t, !a.MarkUnconfirmed(write.Table).Find(moved.From).HolderUnreachable, "the new holder is written")
	a.SetStoreUnreachable(false)
	a.WriteDone(write.Generation, true)
	orders = a.Step(now).Orders
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Holder.Target, receiver)
	assert.Equal(t, orders[0].Handover, "handover")
	a.OrderDone(now, orders[0].ID, Accepted, "")
	assert.Assert(t, !a.MarkUnconfirmed(write.Table).Find(moved.From).Moving)
}

// Retries to a target that doesn't answer don't extend the grants that it may hold.
func TestRetriesDoNotDelayExpiry(t *testing.T) {
	a := newSettled(t, "a", "b")
	expiry := a.spans[0].expiry
	unreachable := a.spans[0].Target
	now := after(placementQuietPeriod)
	for now.Before(expiry) {
		now = now.Add(50 * time.Millisecond)
		actions := a.Step(now)
		if actions.Write != nil {
			a.WriteDone(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			outcome := Accepted
			if o.Holder.Target == unreachable {
				outcome = Unanswered
			}
			a.OrderDone(now.Add(time.Millisecond), o.ID, outcome, "")
		}
	}
	assert.Assert(t, a.spans[0].expiry.Sub(expiry) <= DefaultRenewInterval+DefaultGrantTTL, "the expiry moved by %v", a.spans[0].expiry.Sub(expiry))
}

// Several orders that fail at the same moment don't make a target unreachable.
func TestFailuresInOneMomentDoNotMakeATargetUnreachable(t *testing.T) {
	a := newSettled(t, "a")
	now := after(placementQuietPeriod)
	for range 5 {
		a.recordOutcome(now, "a", Unanswered)
	}
	assert.Assert(t, !a.candidates["a"].unreachable)
	a.recordOutcome(now.Add(unreachableAfter), "a", Unanswered)
	assert.Assert(t, a.candidates["a"].unreachable)
	a.recordOutcome(now.Add(unreachableAfter), "a", Accepted)
	assert.Assert(t, !a.candidates["a"].unreachable)
}

// Adjacent hot keys are spread over the targets within a few moves, and no more keys move than
// necessary.
func TestAdjacentHotKeysAreSpread(t *testing.T) {
	a := newSettled(t, "a", "b", "c", "d")
	now := after(3 * time.Second)
	runUntilIdle(a, now)
	moved := 0
	hottest := func() (highest float64, holder string) {
		p := a.planWithServiceTimes(now, nil)
		for _, c := range p.candidates {
			if c.utilisation() > highest {
				highest, holder = c.utilisation(), c.target.ID
			}
		}
		return highest, holder
	}
	for i := range 600 {
		a.Load().Add(now, keyspace.Key(30000+i%60), 1)
		a.Load().Add(now, keyspace.Key(i*109), 1)
	}
	before, _ := hottest()
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		for _, m := range a.Rebalance(now, nil, 1) {
			if a.StartMove(now, m) {
				moved += int(m.To) - int(m.From) + 1
			}
		}
		runUntilIdle(a, now)
	}
	highest, _ := hottest()
	assert.Assert(t, highest < before*0.55, "%v of %v", highest, before)
	assert.Assert(t, moved < 1<<15, "%d keys were moved", moved)
}

// Neighbouring ranges of one holder are merged once there are many.
func TestRangesAreMerged(t *testing.T) {
	a := newSettled(t, "a", "b")
	now := after(4 * time.Second)
	for k := 100; k < 1000; k += 50 {
		a.splitOut(a.indexOf(keyspace.Key(k)), keyspace.Key(k), keyspace.Key(k+20))
	}
	assert.Assert(t, len(a.spans) > 20)
	runUntilIdle(a, now)
	assert.Assert(t, len(a.spans) < 10, "%d ranges", len(a.spans))
	assert.NilError(t, a.Table().Check())
}

// Guards against a target that keeps two fifths of all requests while others have spare
// capacity, as long as a single key is hot elsewhere. The load of the busiest target is one
// key, which no move can spread, and a second target is as busy with many keys. Moves must be
// sought beyond the busiest target.
func TestOneHotKeyDoesNotBlockOtherMoves(t *testing.T) {
	a := newSettled(t, "a", "b", "c", "d")
	now := after(3 * time.Second)
	runUntilIdle(a, now)
	hotRange, evenRange := a.spans[0], a.spans[len(a.spans)-1]
	assert.Assert(t, hotRange.Target != evenRange.Target)
	for i := range 300 {
		a.Load().Add(now, hotRange.From+10, 1)
		a.Load().Add(now, evenRange.From+keyspace.Key(i*evenRange.Len()/300), 0.9)
	}
	moved := false
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		for _, m := range a.Rebalance(now, nil, 1) {
			moved = moved || m.From >= evenRange.From && m.To <= evenRange.To
			a.StartMove(now, m)
		}
		runUntilIdle(a, now)
	}
	assert.Assert(t, moved)
}

// Guards against keys that are not held for half a second although their holder is running and
// answers. A renewal is lost; the retry, whose TTL is shortened to end no later than the grant
// before it, is accepted; the next full renewal must not wait for the usual interval.
func TestFullRenewalImmediatelyFollowsAShortenedOne(t *testing.T) {
	a := newSettled(t, "a")
	now := after(placementQuietPeriod + DefaultRenewInterval)
	first := a.Step(now).Orders
	assert.Assert(t, len(first) > 0)
	now = now.Add(400 * time.Millisecond)
	for _, o := range first {
		a.OrderDone(now, o.ID, Unanswered, "")
	}
	now = now.Add(grantRetryDelay)
	retries := a.Step(now).Orders
	assert.Equal(t, len(retries), len(first))
	assert.Assert(t, retries[0].TTL < DefaultGrantTTL)
	for _, o := range retries {
		a.OrderDone(now, o.ID, Accepted, "")
	}
	full := a.Step(now).Orders
	assert.Equal(t, len(full), len(first))
	assert.Equal(t, full[0].TTL, DefaultGrantTTL)
}

// Guards against a target that keeps more than half of the load for ten seconds because its
// keys lie in many ranges, each with a small part of the load to be moved, and only ranges
// with about the wanted load are considered.
func TestLoadInManySmallRangesMoves(t *testing.T) {
	a := newSettled(t, "a", "b", "c", "d")
	now := after(3 * time.Second)
	runUntilIdle(a, now)
	hotRange := a.spans[0]
	size := keyspace.Key(hotRange.Len() / 12)
	for i := range keyspace.Key(11) {
		a.splitOut(a.indexOf(hotRange.From+i*size), hotRange.From+i*size, hotRange.From+(i+1)*size-1)
	}
	a.nextMergeAt = now.Add(time.Hour)
	for i := range 600 {
		a.Load().Add(now, hotRange.From+keyspace.Key(i*hotRange.Len()/600), 1)
	}
	moves := a.Rebalance(now, nil, 1)
	assert.Assert(t, len(moves) >= 4, "%v", moves)
	for _, m := range moves {
		assert.Assert(t, m.From >= hotRange.From && m.To <= hotRange.To, "%v", m)
	}
}

// Guards against keys of a departed target that stay unserved for a second longer than its
// last grant, because orders for which no connection could be made count as possibly carried
// out.
func TestUnsentOrdersDoNotDelayExpiry(t *testing.T) {
	for _, c := range []struct {
		outcome  Outcome
		extended bool
	}{{NotSent, false}, {Broken, true}, {Unanswered, true}} {
		a := newSettled(t, "a")
		before := a.spans[0].expiry
		now := after(placementQuietPeriod + DefaultRenewInterval)
		orders := a.Step(now).Orders
		assert.Assert(t, len(orders) > 0)
		a.OrderDone(now.Add(300*time.Millisecond), orders[0].ID, c.outcome, "")
		assert.Equal(t, a.spans[0].expiry.After(before), c.extended, "%v", c.outcome)
		assert.Equal(t, a.candidates["a"].failures, 1, "%v", c.outcome)
	}
}
