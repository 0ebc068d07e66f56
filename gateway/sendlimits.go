package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// arrivalReserve is the part of Options.LeavingLimit that is left for the way of a request to its target.
	arrivalReserve = 150 * time.Millisecond
	// maxStateWait is how long requests wait for a state that is too old to be confirmed. The store takes up to 250 ms
	// for an answer while it is slow.
	maxStateWait = 300 * time.Millisecond
	// maxLapses is how often the right to send may lapse for one request before it is refused.
	maxLapses = 3
)

// noLimit is the time of a limit that does not exist.
const noLimit = time.Duration(math.MaxInt64)

// errMayHaveLeft is the cause of faults of requests that were not sent because their target may have left too long ago.
var errMayHaveLeft = errors.New("the target may have left too long ago")

// sendLimits bound until when requests may be sent to each target: until Options.LeavingLimit after this router last knew
// that the target stays, less the time on the way. So no target gets requests later than that after its leaving was
// acknowledged, however late the leader is, and however long this process was held up. All times are by the clock that
// goes on during suspension.
type sendLimits struct {
	g *Gateway
	// confirmedAt is when the state was last known to be the newest.
	confirmedAt atomic.Int64
	// left has the targets that are known to leave or to be gone, and when they were last known to stay.
	left atomic.Pointer[map[keyspace.Holder]time.Duration]
	// suspended is set while nobody can confirm the state, because the store doesn't answer this router: there is no limit
	// then but for targets that are known to leave.
	suspended atomic.Bool

	mu sync.Mutex
	// confirmed is closed when the state is confirmed or the limit is suspended; nil while nobody waits for that.
	confirmed chan struct{}
}

func newSendLimits(g *Gateway) *sendLimits {
	l := &sendLimits{g: g}
	l.confirmedAt.Store(int64(g.opts.Clock.Now()))
	l.left.Store(&map[keyspace.Holder]time.Duration{})
	return l
}

// stateAge returns for how long this router's state may have been out of date.
func (l *sendLimits) stateAge() time.Duration {
	return l.g.opts.Clock.Now() - time.Duration(l.confirmedAt.Load())
}

// after returns until when requests may be sent to a target that was last known to stay at a time.
func (l *sendLimits) after(knownToStay time.Duration) time.Duration {
	return knownToStay + l.g.opts.LeavingLimit - arrivalReserve
}

// stateLimit returns until when requests may be sent to targets that are not known to leave.
func (l *sendLimits) stateLimit() time.Duration {
	if l.suspended.Load() {
		return noLimit
	}
	return l.after(time.Duration(l.confirmedAt.Load()))
}

// of returns until when requests may be sent to a target.
func (l *sendLimits) of(t *directory.Target) time.Duration {
	if knownToStay, left := (*l.left.Load())[t.Holder()]; left {
		return l.after(knownToStay)
	}
	return l.stateLimit()
}

// ofWrite returns, by clock.Boot, until when bytes of a request may be written to a target. A request that has begun may
// be sent to its end.
func (l *sendLimits) ofWrite(t *directory.Target, started bool) time.Duration {
	if started {
		return noLimit
	}
	return clock.BootTime(l.g.opts.Clock, l.of(t))
}

// check returns a fault if no request may be sent to the target any more.
func (l *sendLimits) check(t *directory.Target) *fault.Fault {
	if now := l.g.opts.Clock.Now(); now >= l.of(t) {
		return fault.Wrap(fault.StaleRoute, errMayHaveLeft, "")
	}
	return nil
}

// isLapse reports whether a fault says that a request was not sent because the right to send it had lapsed.
func isLapse(f *fault.Fault) bool {
	return f.Kind == fault.StaleRoute && f.Ran == fault.NotRun && f.Cause != nil
}

// setLeft replaces the targets that are known to leave or to be gone.
func (l *sendLimits) setLeft(left map[keyspace.Holder]time.Time) {
	limits := make(map[keyspace.Holder]time.Duration, len(left))
	now := l.g.opts.Clock.Now()
	for holder, knownToStay := range left {
		limits[holder] = now - time.Since(knownToStay)
	}
	l.left.Store(&limits)
}

// confirm records that the state was the newest at a time.
func (l *sendLimits) confirm(at time.Duration) {
	if int64(at) <= l.confirmedAt.Load() {
		return
	}
	l.confirmedAt.Store(int64(at))
	if l.g.opts.Clock.Now() >= l.after(at) {
		return
	}
	if l.suspended.Swap(false) {
		l.g.log.Info("requests are sent by a confirmed state again")
	}
	l.release()
}

// release lets all requests go on that wait.
func (l *sendLimits) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed != nil {
		close(l.confirmed)
		l.confirmed = nil
	}
}

// await returns once the state is young enough for requests to be sent by it. If it is too old, as after a hold-up of this
// process, it is read from the store; where that fails, requests are sent all the same, as nobody can say more.
func (l *sendLimits) await(ctx context.Context) {
	if l.g.opts.Clock.Now() < l.stateLimit() {
		return
	}
	select {
	case <-l.awaitState():
	case <-ctx.Done():
	}
}

// awaitState returns a channel that is closed when the state is confirmed or the limit is suspended. The first who
// waits has the state read.
func (l *sendLimits) awaitState() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed != nil {
		return l.confirmed
	}
	waiting := make(chan struct{})
	if l.g.opts.Clock.Now() < l.stateLimit() {
		close(waiting)
		return waiting
	}
	l.confirmed = waiting
	l.g.log.Info("requests wait for a confirmed state", "age", l.stateAge())
	l.g.goRun(func() { l.readState(waiting) })
	return waiting
}

// readState reads the targets, and suspends the limit if they are not confirmed in time for the requests that wait.
func (l *sendLimits) readState(waiting chan struct{}) {
	if l.g.gate.isShut() {
		l.suspend(waiting, "the store doesn't answer", nil)
		return
	}
	timer := time.AfterFunc(maxStateWait, func() { l.suspend(waiting, "not confirmed in time", nil) })
	if err := l.g.subscription.fetchTargets(); err != nil {
		timer.Stop()
		l.suspend(waiting, "the targets were not read", err)
	}
}

// suspend lifts the limit until the state is confirmed, unless it has been since the requests began to wait.
func (l *sendLimits) suspend(waiting chan struct{}, why string, err error) {
	l.mu.Lock()
	confirmed := l.confirmed != waiting
	l.mu.Unlock()
	if confirmed {
		return
	}
	l.suspended.Store(true)
	l.g.log.Warn("requests are sent by a state that nobody confirms", "why", why, "age", l.stateAge(), "err", err)
	l.release()
}

// fetchTargets reads the targets from the store, and has the state confirmed by them.
func (sub *subscription) fetchTargets() error {
	a, began := &sub.g.opts.Adapter, sub.g.opts.Clock.Now()
	records, revision, err := sub.g.storeFor(purposeTargets).List(sub.g.lifetime, a.TargetPrefix)
	if err != nil {
		sub.g.log.Warn("targets not read", "err", err)
		sub.g.membership.renewNow() // it shuts the gate if the store doesn't answer
		return err
	}
	sub.g.state.duty.Tell(&prefixMessage{a.TargetPrefix, &change{listed: true, records: records, revision: revision, at: time.Now()}})
	sub.g.state.duty.Tell(&stateConfirmed{at: began, targets: true})
	return nil
}
