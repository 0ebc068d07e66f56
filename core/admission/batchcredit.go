package admission

const (
	// reserveJobs and debtJobs set the reserve and the maximum debt in mean batch jobs.
	// maxReserve and maxDebt bound both in seconds of slot time, so that long jobs are not
	// delayed for minutes.
	reserveJobs = 3
	debtJobs    = 5
	maxReserve  = 0.5
	maxDebt     = 1.0
)

// batchCredit is the slot time, in seconds, that batch work may still use of its
// guaranteed share. Interactive work adds to it while batch work waits, and each start
// of batch work reduces it, also in slots that nobody else wanted.
//
// If starts in spare slots were free, batch work that already had more than its share in
// quiet periods would get the share again from the slots that people wait for, and
// interactive latency would rise although batch work has far more than its share. If the
// share were used as soon as it is due, batch work would start in the middle of an
// interactive backlog, where a long job does most harm. So while interactive work waits,
// a batch job needs the reserve in addition to its cost.
type batchCredit struct{ seconds float64 }

// covers reports whether the credit allows a job to start when no spare slot is free.
// interactiveWaits says whether interactive work is queued.
func (c *batchCredit) covers(cost, mean float64, interactiveWaits bool) bool {
	if interactiveWaits {
		cost += reserve(mean)
	}
	return c.seconds >= cost
}

// add increases the credit, or reduces it if amount is negative.
func (c *batchCredit) add(amount float64) { c.seconds += amount }

// chargeSpare charges a start in a spare slot. The debt is bounded: a quiet hour must not
// cost batch work its share of the busy hour that follows.
func (c *batchCredit) chargeSpare(cost, mean float64) {
	least := -min(debtJobs*mean, maxDebt)
	c.seconds = min(c.seconds, max(c.seconds-cost, least))
}

// limitToReserve reduces the credit to the reserve, which alone allows no batch job to
// start while interactive work waits. It is called when no batch work waits. Otherwise a
// long job that was cancelled would leave its credit to a burst of short ones.
func (c *batchCredit) limitToReserve(mean float64) { c.seconds = min(c.seconds, reserve(mean)) }

// reserve returns the credit, in seconds, that a batch job needs beyond its cost to start
// while interactive work waits. mean is the mean service time of batch jobs.
func reserve(mean float64) float64 { return min(reserveJobs*mean, maxReserve) }

// creditPerSecond returns what one second of interactive slot time adds to the credit, so
// that batch work gets share of all slot time.
func creditPerSecond(share float64) float64 { return share / (1 - share) }
