// Package pressure decides who is served when there is less of something than is asked for: retries, or room at a
// service's targets. Each router decides from what it sees itself, smoothed over Memory, by the same rule, so that all
// routers come to nearly the same answer without asking each other. The package is deterministic: time and the random
// draw are parameters.
package pressure

import (
	"math"
	"time"
)

// Memory is the time constant over which what is asked for and what there is are counted.
const Memory = time.Second

// Ranks is the number of ranks; all less urgent requests share the last one.
const Ranks = 16

// RankOf returns the rank of a request; zero is served first. Of one priority, a caller that returns after a refusal
// goes before a new one: it has less time left, and has cost an attempt already.
func RankOf(priority int, returns bool) int {
	rank := 2*max(priority, 0) + 1
	if returns {
		rank--
	}
	return min(rank, Ranks-1)
}

// Ration divides what is scarce among ranks: the most urgent get what they ask for, the rank at the margin a share of
// it, and less urgent ranks the floor. It rises and falls with the counts, and is not safe for concurrent use.
type Ration struct {
	// Floor is the share that each rank gets at least.
	Floor float64
	// asked counts what was asked for by rank, and supply what there was; both fade with Memory.
	asked   [Ranks]float64
	supply  float64
	fadedAt time.Time
}

// Supply adds to what there is.
func (r *Ration) Supply(now time.Time, amount float64) {
	r.fade(now)
	r.supply += amount
}

// Ask counts that a request of the rank asks for one unit.
func (r *Ration) Ask(now time.Time, rank int) {
	r.fade(now)
	r.asked[rank]++
}

// Share returns the share of the rank's requests that get what they ask for.
func (r *Ration) Share(rank int) float64 {
	left := r.supply
	for i := range rank {
		left -= r.asked[i]
	}
	if left >= r.asked[rank] {
		return 1
	}
	return max(left/r.asked[rank], r.Floor, 0)
}

// fade lets the counts fade until now.
func (r *Ration) fade(now time.Time) {
	if r.fadedAt.IsZero() {
		r.fadedAt = now
	}
	passed := now.Sub(r.fadedAt)
	if passed <= 0 {
		return
	}
	r.fadedAt = now
	keep := math.Exp(-passed.Seconds() / Memory.Seconds())
	r.supply *= keep
	for i := range r.asked {
		r.asked[i] *= keep
	}
}
