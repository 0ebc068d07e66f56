// Package shed decides what a router refuses at once because the router itself is
// overloaded: work waits for its processor while targets have free slots.
//
// Without it, a router above its own capacity accepts everything and answers nothing in
// time, not even refusals. Latency then grows without bound at all targets alike.
//
// The package is deterministic: no clock, no randomness, no I/O. A Controller is not
// safe for concurrent use; Refuse is a pure function.
package shed

import "time"

// Rank determines what is refused first: lower ranks before higher ones.
type Rank uint8

// The ranks.
const (
	// Retry is a new attempt at work that has failed before.
	Retry Rank = iota
	// Batch is work that nobody waits for.
	Batch
	// Interactive is work that a person waits for.
	Interactive
	// RankCount is the number of ranks.
	RankCount
)

// Offered counts the offered requests by rank.
type Offered [RankCount]uint64

// Shares is the fraction of each rank to refuse, from 0 to 1.
type Shares [RankCount]float64

// DefaultTargetDelay is the default of the delay up to which nothing is refused.
const DefaultTargetDelay = 10 * time.Millisecond

const (
	// drainTime is the time within which a queue with a delay above the target delay
	// should be drained to it.
	drainTime = 100 * time.Millisecond
	// minFactor and maxFactor bound by how much one probe changes the admitted fraction.
	minFactor = 0.5
	maxFactor = 2
	// minLoad is the lower bound of the load that is inferred from a falling delay.
	minLoad = 0.5
	// minAdmitted keeps some work admitted, otherwise nothing would show that the load has
	// decreased.
	minAdmitted = 0.01
	// probesAboveTarget is the number of consecutive probes that must exceed the target delay
	// before anything is refused. A pause of the whole process delays only one.
	probesAboveTarget = 2
)

// Controller derives the shares to refuse from the delays of probes. A probe waits for the
// processor as work does; only one is in flight at a time.
type Controller struct {
	targetDelay time.Duration
	// admitted is the fraction of all work that is accepted.
	admitted float64
	// sent is the time at which the current probe was sent, lastSent that of the previous
	// one, and lastDelay the delay of the previous one.
	sent, lastSent time.Time
	lastDelay      time.Duration
	// above counts the consecutive probes with a delay above targetDelay.
	above int
}

// New returns a controller that keeps the delay near targetDelay; zero means
// DefaultTargetDelay.
func New(targetDelay time.Duration) *Controller {
	if targetDelay <= 0 {
		targetDelay = DefaultTargetDelay
	}
	return &Controller{targetDelay: targetDelay, admitted: 1}
}

// Sent records that a probe was sent.
func (c *Controller) Sent(now time.Time) {
	c.lastSent, c.sent = c.sent, now
}

// Arrived records that the probe arrived and returns the shares to refuse from now on.
// offered is the recently offered work, according to which they are divided among ranks.
//
// The router is modelled as one queue: while work waits, its delay grows by the load
// minus one, in seconds per second. So the growth between two probes shows the load
// between them, and the fraction that was admitted then is divided by it at once. The
// part of the delay above targetDelay is drained over drainTime. The age of a probe in
// flight is not used: it grows whatever is admitted, so that admission would be reduced
// repeatedly for a single cause.
func (c *Controller) Arrived(now time.Time, offered Offered) Shares {
	delay := now.Sub(c.sent)
	growth := c.growth(delay)
	c.lastDelay = delay
	if delay > c.targetDelay {
		c.above++
	} else {
		c.above = 0
	}
	if c.admitted == 1 && c.above < probesAboveTarget {
		return Shares{}
	}
	load := max(1+growth, minLoad)
	wanted := 1 - float64(delay-c.targetDelay)/float64(drainTime)
	factor := min(max(wanted/load, minFactor), maxFactor)
	c.admitted = min(max(c.admitted*factor, minAdmitted), 1)
	return divide(1-c.admitted, offered)
}

// growth returns the growth of the delay since the last probe, in seconds per second.
func (c *Controller) growth(delay time.Duration) float64 {
	between := c.sent.Sub(c.lastSent)
	if between <= 0 {
		return 0
	}
	return float64(delay-c.lastDelay) / float64(between)
}

// Admitted returns the fraction of all work that is accepted, above 0 and at most 1.
func (c *Controller) Admitted() float64 { return c.admitted }

// divide divides the fraction of all work to refuse among the ranks, the lowest first.
func divide(refused float64, offered Offered) Shares {
	var total uint64
	for _, n := range offered {
		total += n
	}
	remaining := refused * float64(total)
	var s Shares
	for rank, n := range offered {
		if total == 0 {
			s[rank] = refused
			continue
		}
		if n > 0 {
			s[rank] = min(remaining/float64(n), 1)
		} else if remaining > 0 {
			s[rank] = 1
		}
		remaining = max(remaining-float64(n), 0)
	}
	return s
}

// Refuse reports whether the nth request of a rank is refused. In any sequence of requests
// the refused ones make up share and are evenly spread.
func Refuse(n uint64, share float64) bool {
	return uint64(float64(n+1)*share) > uint64(float64(n)*share)
}

// RetryAfter returns the time after which a refused caller should retry. If all callers
// retry and the load stays the same, a request needs 1/admitted attempts on average, so the
// wait is in proportion to that.
func RetryAfter(admitted float64) time.Duration {
	return min(time.Duration(float64(minRetryAfter)/max(admitted, minAdmitted)), maxRetryAfter)
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
)
