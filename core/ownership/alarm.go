package ownership

import "time"

// pendingRequest is how long the store has owed this router an answer.
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

// restart begins the wait anew after a pause of this router.
func (u *pendingRequest) restart(now time.Duration) { u.since = now }

// reportStoreUnreachable tells that the store is silent, once it left what this router itself
// asked without an answer for as long as one answer keeps a grantor going.
//
// What goes wrong where the first request for a promise tells it: promises are asked for
// once the last confirmation is 160 ms old, for whatever reason. On a busy machine that is
// a pause of this router or of the one that reads for it, and all grantors report a store
// that answers. Who finds nothing wrong time and again believes the alarm no more.
func (k *Keeper) reportStoreUnreachable(now time.Duration, d *duty) {
	if k.storeRequest.waiting && now-k.storeRequest.since >= k.cfg.Authority {
		d.report(k, PromisesOnly)
	}
}
