package gateway

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

// maxLapses is how often the right to send may lapse for one request before it is refused.
const maxLapses = 3

// errMayHaveLeft is the cause of faults of requests that were not sent because their target may have left too long ago.
var errMayHaveLeft = errors.New("the target may have left too long ago")

// sendLimits bound until when requests may be sent to each target: until Options.LeavingLimit after this router last knew
// that the target stays, less the time on the way. So no target gets requests later than that after its leaving was
// acknowledged.
type sendLimits struct {
	*freshness
	// leaving has the targets that are known to leave or to be gone, and when they were last known to stay.
	leaving atomic.Pointer[map[keyspace.Holder]time.Duration]
}

func newSendLimits(g *Gateway) *sendLimits {
	read := func() error { return g.subscription.fetchTargets() }
	l := &sendLimits{freshness: newFreshness(g, "targets", g.opts.LeavingLimit, read)}
	l.leaving.Store(&map[keyspace.Holder]time.Duration{})
	return l
}

// sendUntil returns until when requests may be sent to a target.
func (l *sendLimits) sendUntil(t *directory.Target) time.Duration {
	if knownToStay, leaving := (*l.leaving.Load())[t.Holder()]; leaving {
		return l.usableUntil(knownToStay)
	}
	return l.expiry()
}

// writeUntil returns, by clock.Boot, until when bytes of a request may be written to a target. A request that has begun may
// be sent to its end.
func (l *sendLimits) writeUntil(t *directory.Target, started bool) time.Duration {
	if started {
		return noLimit
	}
	return clock.BootTime(l.g.opts.Clock, l.sendUntil(t))
}

// check returns a fault if no request may be sent to the target any more.
func (l *sendLimits) check(t *directory.Target) *fault.Fault {
	if now := l.g.opts.Clock.Now(); now >= l.sendUntil(t) {
		return fault.Wrap(fault.StaleRoute, errMayHaveLeft, "")
	}
	return nil
}

// isLapse reports whether a fault says that a request was not sent because the right to send it had lapsed.
func isLapse(f *fault.Fault) bool {
	return f.Kind == fault.StaleRoute && f.Ran == fault.NotRun && f.Cause != nil
}

// setLeaving replaces the targets that are known to leave or to be gone.
func (l *sendLimits) setLeaving(leaving map[keyspace.Holder]time.Time) {
	limits := make(map[keyspace.Holder]time.Duration, len(leaving))
	now := l.g.opts.Clock.Now()
	for holder, knownToStay := range leaving {
		limits[holder] = now - time.Since(knownToStay)
	}
	l.leaving.Store(&limits)
}
