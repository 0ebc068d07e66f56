package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait until their deadline while hundreds of later ones are
// served, under overload by more callers than the queue is long. A caller that was served
// waits again with its debt, while the debts of other callers are evicted, so that these
// return without one. If virtual time did not advance on eviction, all of them would be
// served at the same tag, before the caller with the debt.
func TestDebtorIsServedAmongManyCallers(t *testing.T) {
	const length, callers = 4, 100
	g := New(Config{Slots: 1, QueueLength: length, CallerShare: 1, InitialService: 20 * ms})
	next, working, now := ID(0), ID(0), epoch
	owner := map[ID]string{}
	offer := func(caller string) Verdict {
		next++
		owner[next] = caller
		verdict := g.Offer(now, Item{ID: next, Caller: caller}).Verdict
		if verdict == Admit {
			working = next
		}
		return verdict
	}
	turn := 0
	serve := func() string {
		for g.Stats(now).QueuedInteractive < length {
			turn++
			offer(fmt.Sprint("c", turn%callers))
		}
		now = now.Add(20 * ms)
		working = g.Done(now, working, Finished, 20*ms).Start[0]
		return owner[working]
	}
	offer("first")
	serve()
	for range 3 {
		// One place in the queue is free: the debtor takes it and waits with its debt.
		assert.Equal(t, offer("debtor"), Queue)
		waited := 0
		for serve() != "debtor" {
			waited++
			assert.Assert(t, waited <= 4*length, "%d were served before the debtor", waited)
		}
	}
}
