package pressure

import "time"

// retrySlack is how much more than the tokens that there were may be promised: a token is lost when nobody asks for it
// while the bucket is full.
const retrySlack = 2

// Retries decides which requests may take a retry when the budget doesn't suffice for all, as while targets refuse half
// of what they get.
//
// By order of arrival, the budget is spent on the kind of request that is asked for most, and those that are worth
// most and callers that come back for the second time are refused as often as all others.
type Retries struct{ ration Ration }

// Token records that the budget has received a part of a token.
func (r *Retries) Token(now time.Time, tokens float64) { r.ration.Supply(now, tokens*retrySlack) }

// Admit reports whether a request of the rank may take a retry; draw is random, from 0 to 1. The share counts only
// where more urgent requests ask too: of its own kind, the first that comes takes what there is.
func (r *Retries) Admit(now time.Time, rank int, draw float64) bool {
	r.ration.Ask(now, rank)
	return !r.ration.contested(rank) || draw < r.ration.Share(rank)
}

// Share returns the share of the rank's requests that may take a retry.
func (r *Retries) Share(rank int) float64 {
	if !r.ration.contested(rank) {
		return 1
	}
	return r.ration.Share(rank)
}

// minContest is how many more urgent requests make a rank wait for them.
const minContest = 0.5

// contested reports whether more urgent ranks ask too.
func (r *Ration) contested(rank int) bool {
	more := 0.0
	for i := range rank {
		more += r.asked[i]
	}
	return more >= minContest
}
