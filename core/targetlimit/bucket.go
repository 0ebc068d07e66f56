package targetlimit

import (
	"math"
	"time"
)

const (
	// minRate is the rate of permits, per second, for a target that takes fewer requests: some have to reach it, or nobody
	// learns that it takes more again.
	minRate = 0.25
	// startDelay is for how long a target gets no permit after it began to state a limit. Requests that were sent without one
	// still arrive.
	startDelay = time.Second
	// minBurst is how many permits may be saved up, and burstTime how many seconds' worth of them besides.
	minBurst  = 2.0
	burstTime = 0.5
	// maxWait bounds the wait that is advised. So does the time in which waitedShare of the bucket fills: permits that nobody
	// asks for are lost once it is full.
	maxWait     = 4 * time.Second
	waitedShare = 0.5
	// reserved is the number of permits that are kept for first sends.
	reserved = 1.0
)

// bucket holds the permits for one target: at most 4.5 x limit + 3 in any four seconds.
type bucket struct {
	rate, burst float64
	// level is the number of permits at a time, negative for some time after the start.
	level float64
	at    time.Time
	// refused counts the permits refused since one was given.
	refused float64
}

// newBucket returns a bucket for a limit in requests per second; it has no permits yet.
func newBucket(now time.Time, perSecond float64) bucket {
	b := bucket{at: now}
	b.setRate(perSecond)
	b.level = -b.rate * startDelay.Seconds()
	return b
}

// setRate changes the limit.
func (b *bucket) setRate(perSecond float64) {
	b.rate = math.Max(perSecond, minRate)
	b.burst = minBurst + burstTime*perSecond
	b.level = math.Min(b.level, b.burst)
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = math.Min(b.level+elapsed*b.rate, b.burst)
	b.at = now
}

// take takes up to n permits and returns how many there were, and after what time to ask for the others. Retries leave a
// permit to first sends.
func (b *bucket) take(now time.Time, n int, retry bool) (granted int, wait time.Duration) {
	b.refill(now)
	kept := 0.0
	if retry {
		kept = reserved
	}
	granted = min(n, int(math.Max(math.Floor(b.level-kept), 0)))
	if granted > 0 {
		b.level -= float64(granted)
		b.refused = 0
	}
	if granted == n {
		return granted, 0
	}
	// Routers that were refused are told to come back one after the other.
	b.refused++
	missing := math.Min(kept+b.refused-math.Min(b.level, 1), math.Max(waitedShare*b.burst-math.Min(b.level, 0), 1))
	return granted, min(time.Duration(math.Max(missing, 0)/b.rate*float64(time.Second)), maxWait)
}

// debit counts a call that was sent without a permit.
func (b *bucket) debit(now time.Time) {
	b.refill(now)
	b.level--
}
