package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/request"
)

// serveBacklog keeps one batch job and an interactive backlog waiting for a target with
// one slot, where every job takes 20 ms. It returns the interactive work done before the
// batch job starts.
func serveBacklog(t *testing.T, g *Gate, now time.Time, working ID) time.Duration {
	t.Helper()
	const job, export = 20 * ms, ID(1_000_000)
	assert.Equal(t, g.Offer(now, Item{ID: export, Caller: "export", Class: request.Batch}).Verdict, Queue)
	for id, done := ID(1000), time.Duration(0); done < time.Minute; done += job {
		for range 2 {
			id++
			g.Offer(now, Item{ID: id, Caller: "a"})
		}
		now = now.Add(job)
		started := g.Done(now, working, Finished, job).Start
		assert.Equal(t, len(started), 1)
		if working = started[0]; working == export {
			return done
		}
	}
	t.Fatal("the batch job starves")
	return 0
}

// Guards against slow interactive requests beside batch work that has far more than its
// share: batch jobs run in quiet periods, then interactive work queues. The slot time
// used in quiet periods must count towards the guaranteed share, and the next batch job
// must not start as soon as its share is due.
func TestBatchShareIncludesSpareSlotTime(t *testing.T) {
	const job = 20 * ms
	workBeforeStart := func(quietJobs int) time.Duration {
		g := New(Config{Slots: 1, BatchShare: 0.1, BatchHeadroom: -1, InitialService: job})
		now := epoch
		for id := ID(1); id <= ID(quietJobs); id++ {
			assert.Equal(t, g.Offer(now, Item{ID: id, Class: request.Batch}).Verdict, Admit)
			now = now.Add(job)
			g.Done(now, id, Finished, job)
		}
		assert.Equal(t, g.Offer(now, Item{ID: 500}).Verdict, Admit)
		return serveBacklog(t, g, now, 500)
	}
	// With a share of a tenth, nine seconds of interactive work allow one of batch work.
	const ratio = 9
	noDebt := workBeforeStart(0)
	assert.Assert(t, noDebt >= ratio*reserveJobs*job && noDebt <= ratio*(reserveJobs+2)*job, "%s", noDebt)
	smallDebt := workBeforeStart(2) - noDebt
	assert.Assert(t, smallDebt >= ratio*2*job-job && smallDebt <= ratio*2*job+job, "%s", smallDebt)
	largeDebt := workBeforeStart(1000) - noDebt
	assert.Assert(t, largeDebt <= ratio*debtJobs*job+job, "a quiet hour costs the share of %s", largeDebt)
}

// Without the bounds in time long jobs would wait for minutes, because the reserve and
// the debt are set in jobs.
func TestReserveAndDebtAreBoundedInTime(t *testing.T) {
	const hour = 3600.0
	c := batchCredit{}
	c.chargeSpare(hour, hour)
	assert.Equal(t, c.seconds, -maxDebt)
	c.seconds = 2 * hour
	c.limitToReserve(hour)
	assert.Equal(t, c.seconds, maxReserve)
	assert.Assert(t, c.covers(maxReserve, hour, false) && !c.covers(maxReserve, hour, true))
}
