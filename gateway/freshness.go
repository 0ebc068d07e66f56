package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// arrivalReserve is the part of a limit that is left for the way of a request to its target.
	arrivalReserve = 150 * time.Millisecond
	// sendReserve is how much of a limit a request must have left when it is placed, for the time until its first byte.
	sendReserve = 10 * time.Millisecond
	// maxStateWait is how long requests wait for a state that is too old to be confirmed. The store takes up to 250 ms
	// for an answer while it is slow.
	maxStateWait = 300 * time.Millisecond
)

// noLimit is the time of a limit that does not exist.
const noLimit = time.Duration(math.MaxInt64)

// freshness keeps requests from being served by a part of this router's state that is older than a limit, however late the
// leader is, and however long this process was held up. stateAge has the state confirmed in the background before that; this
// is for where it was not. All times are by the clock that goes on during suspension.
type freshness struct {
	g *Gateway
	// name is that of the state in logs.
	name  string
	limit time.Duration
	// read reads the state from the store and has it confirmed.
	read func() error
	// confirmedAt is when the state was last known to be the newest; before the first time, when this router started.
	confirmedAt atomic.Int64
	// suspended is set while nobody can confirm the state, because the store doesn't answer this router: there is no limit
	// then.
	suspended atomic.Bool

	mu sync.Mutex
	// confirmed is closed when the state is confirmed or the limit is suspended; nil while nobody waits for that.
	confirmed chan struct{}
}

func newFreshness(g *Gateway, name string, limit time.Duration, read func() error) *freshness {
	f := &freshness{g: g, name: name, limit: limit, read: read}
	f.confirmedAt.Store(int64(g.opts.Clock.Now()))
	return f
}

// usableUntil returns until when requests may be served by what was known at a time.
func (f *freshness) usableUntil(known time.Duration) time.Duration {
	return known + f.limit - arrivalReserve
}

// expiry returns until when requests may be served by the state.
func (f *freshness) expiry() time.Duration {
	if f.suspended.Load() {
		return noLimit
	}
	return f.usableUntil(time.Duration(f.confirmedAt.Load()))
}

// age returns for how long the state may have been out of date.
func (f *freshness) age() time.Duration {
	return f.g.opts.Clock.Now() - time.Duration(f.confirmedAt.Load())
}

// confirm records that the state was the newest at a time.
func (f *freshness) confirm(at time.Duration) {
	if int64(at) <= f.confirmedAt.Load() {
		return
	}
	f.confirmedAt.Store(int64(at))
	if f.g.opts.Clock.Now() >= f.usableUntil(at)-sendReserve {
		return
	}
	if f.suspended.Swap(false) {
		f.g.log.Info("requests are served by a confirmed state again", "state", f.name)
	}
	f.release()
}

// release lets all requests go on that wait.
func (f *freshness) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed != nil {
		close(f.confirmed)
		f.confirmed = nil
	}
}

// await returns once the state is young enough for requests to be served by it. If it is too old, as after a hold-up of
// this process, it is read from the store; where that fails, requests are served all the same, as nobody can say more.
func (f *freshness) await(ctx context.Context) {
	if f.isUsable() {
		return
	}
	select {
	case <-f.awaitState():
	case <-ctx.Done():
	}
}

// isUsable reports whether a request that is placed now can be sent by the state.
func (f *freshness) isUsable() bool { return f.g.opts.Clock.Now() < f.expiry()-sendReserve }

// awaitState returns a channel that is closed when the state is confirmed or the limit is suspended. The first who
// waits has the state read.
func (f *freshness) awaitState() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed != nil {
		return f.confirmed
	}
	waiting := make(chan struct{})
	if f.isUsable() {
		close(waiting)
		return waiting
	}
	f.confirmed = waiting
	f.g.log.Info("requests wait for a confirmed state", "state", f.name, "age", f.age())
	f.g.goRun(func() { f.readState(waiting) })
	return waiting
}

// readState reads the state, and suspends the limit if it is not confirmed in time for the requests that wait.
func (f *freshness) readState(waiting chan struct{}) {
	if f.g.gate.isShut() {
		f.suspend(waiting, "the store doesn't answer", nil)
		return
	}
	timer := time.AfterFunc(maxStateWait, func() { f.suspend(waiting, "not confirmed in time", nil) })
	if err := f.read(); err != nil {
		timer.Stop()
		f.suspend(waiting, "not read", err)
	}
}

// suspend lifts the limit until the state is confirmed, unless it has been since the requests began to wait.
func (f *freshness) suspend(waiting chan struct{}, why string, err error) {
	f.mu.Lock()
	confirmed := f.confirmed != waiting
	f.mu.Unlock()
	if confirmed {
		return
	}
	f.suspended.Store(true)
	f.g.log.Warn("requests are served by a state that nobody confirms", "state", f.name, "why", why, "age", f.age(), "err", err)
	f.release()
}
