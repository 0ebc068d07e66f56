package ownership

import "time"

// pendingRequest tracks since when a request to the store has been waiting for an answer.
type pendingRequest struct {
	waiting bool
	since   time.Duration
}

func (u *pendingRequest) sent(now time.Duration) {
	if !u.waiting {
		u.waiting, u.since = true, now
	}
}

func (u *pendingRequest) answered() { u.waiting = false }

// restart counts the wait from now after a pause of this router.
func (u *pendingRequest) restart(now time.Duration) { u.since = now }

// reportStoreUnreachable reports the store as unreachable if a request that this router
// itself sent has had no answer for as long as one confirmation lets a grantor send.
//
// The first request for a promise must not raise this alarm by itself: promises are
// requested once the last confirmation is 160 ms old, for whatever reason. On a busy
// machine the reason is a pause of this router or of its relay, and all grantors would
// report a store that answers. Operators who see repeated false alarms stop believing them.
func (k *Keeper) reportStoreUnreachable(now time.Duration, d *duty) {
	if k.storeRequest.waiting && now-k.storeRequest.since >= k.cfg.Authority {
		d.report(k, PromisesOnly)
	}
}
