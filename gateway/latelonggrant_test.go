package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// Guards against a long grant of a store outage that is sent under a later renewal without a quorum.
func TestGrantOfAnOutageIsNotSentUnderALaterRenewal(t *testing.T) {
	const suspension = 1500 * time.Millisecond
	elapsed := &clock.Manual{}
	elapsed.Advance(time.Hour)
	start := time.Unix(1000, 0)
	wall := func() time.Time { return start.Add(elapsed.Now() - time.Hour) }
	var sentTTL, writeBefore time.Duration
	g := &Gateway{log: slog.New(slog.DiscardHandler)}
	g.rests = newRests(g)
	g.routers.Store(5)
	g.opts.Clock = elapsed
	g.opts.Adapter.SendOrder = func(_ context.Context, o *assign.Order, deadline time.Duration) (assign.Outcome, string, error) {
		sentTTL, writeBefore = o.TTL, deadline-clock.Boot{}.Now()
		return assign.Accepted, "", nil
	}
	l := &leader{g: g}
	old := &term{quorum: newQuorum("a", expiredLongAgo)}
	old.ctx, old.cancel = context.WithCancel(context.Background())
	defer old.cancel()
	old.leadership.Store(&leadership{ttl: leaderTTL})
	old.orders.open(old.ctx)
	old.renewedAt.Store(int64(elapsed.Now()))
	l.term = old

	// The store is silent, and the promises of a quorum hold for 100 ms more: grants are long ones.
	elapsed.Advance(storeSuspectAfter + 100*time.Millisecond)
	promisesEnd := elapsed.Now() + 100*time.Millisecond
	old.quorum.recordPromise("b", promisesEnd)
	old.quorum.recordPromise("c", promisesEnd)
	assert.Assert(t, old.quorum.reached(elapsed.Now(), g.countedRouters()))
	assigner := takeOverTable(wall())
	assigner.SetTargets(wall(), []directory.Target{{ID: "a", Service: "s", Address: "a:1"}})
	assigner.SetStoreUnreachable(true)
	write := assigner.Step(wall()).Write
	assigner.WriteDone(write.Generation, true)
	orders := assigner.Step(wall()).Orders
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].TTL, outageGrantTTL)

	// A renewal is under way and succeeds in the store; the process is suspended before sendOrder.
	renewalSent := elapsed.Now()
	elapsed.Advance(suspension)
	l.recordRenewal(&renewalDone{term: old, sent: renewalSent})
	assert.Assert(t, !old.quorum.reached(elapsed.Now(), g.countedRouters()))
	l.sendOrder(old, "s", orders[0])
	if sentTTL == 0 {
		return // not sent at all
	}
	grantEnds := elapsed.Now() + sentTTL // if it is written at once; writeBefore says how much later it may be

	// Another router leads since the lease ended in the store. Its followers' promises ended at promisesEnd.
	leads := renewalSent + leaderTTL
	assert.Assert(t, elapsed.Now() > leads)
	leadsAt := start.Add(leads - time.Hour)
	table := keyspace.New("s")
	table.Segments[0].Holder = keyspace.Holder{Target: "a"}
	next := assign.TakeOver(leadsAt, assign.Config{OutageGrantTTL: outageGrantTTL, OldLeaderBound: orderLimitWithQuorum}, "s", table)
	next.BoundOldLeader(oldLeaderBoundAt(leadsAt, promisesEnd-leads))
	for at := leads; at < grantEnds; at += 10 * time.Millisecond {
		next.Step(start.Add(at - time.Hour))
		assert.Equal(t, next.Table().Find(0).Target, "a",
			"the keys are free %v before the end of a grant of %v, sent %v after the promises ended; it may be written for %v more",
			grantEnds-at, sentTTL, elapsed.Now()-promisesEnd, writeBefore)
	}
}
