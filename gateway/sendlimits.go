package gateway

import (
	"context"
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
//
// Targets of evacuated data centres are held to the same by Options.EvacuationLimit.
type sendLimits struct {
	*freshness
	// evacuations is nil where data centres are not evacuated.
	evacuations *freshness
	// leaving has the targets that are known to leave or to be gone, and when they were last known to stay; evacuated
	// those of evacuated data centres, and when these were last known not to be evacuated.
	leaving, evacuated atomic.Pointer[map[keyspace.Holder]time.Duration]
}

func newSendLimits(g *Gateway) *sendLimits {
	read := func() error { return g.subscription.fetchTargets() }
	l := &sendLimits{freshness: newFreshness(g, "targets", g.opts.LeavingLimit, read)}
	if g.evacuates() {
		// One call reads the configuration and the evacuations, so that stateAge has both confirmed in the background.
		l.evacuations = newFreshness(g, "evacuations", g.opts.EvacuationLimit, func() error { return g.subscription.fetchConfig() })
	}
	if tel := g.opts.Telemetry; tel != nil && l.evacuations != nil {
		tel.GaugeFunc("evacuations_age_seconds", nil, func() float64 { return l.evacuations.age().Seconds() })
	}
	l.leaving.Store(&map[keyspace.Holder]time.Duration{})
	l.evacuated.Store(&map[keyspace.Holder]time.Duration{})
	return l
}

// sendUntil returns until when requests may be sent to a target.
func (l *sendLimits) sendUntil(t *directory.Target) time.Duration {
	until := l.freshness.untilFor(t, &l.leaving)
	if l.evacuations != nil {
		until = min(until, l.evacuations.untilFor(t, &l.evacuated))
	}
	return until
}

// untilFor returns until when requests may be sent to a target by one part of the state, which says of some targets that
// they may get no more.
func (f *freshness) untilFor(t *directory.Target, ended *atomic.Pointer[map[keyspace.Holder]time.Duration]) time.Duration {
	until := f.expiry()
	if known, found := (*ended.Load())[t.Holder()]; found {
		// A target that has stated itself that it leaves may have been acknowledged before.
		until = min(until, f.usableUntil(known))
	}
	return until
}

// await returns once the state is young enough for requests to be sent by it.
func (l *sendLimits) await(ctx context.Context) {
	l.freshness.await(ctx)
	if l.evacuations != nil {
		l.evacuations.await(ctx)
	}
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
	l.leaving.Store(l.clockTimes(leaving))
}

// setEvacuated replaces the targets of evacuated data centres by those among all targets.
func (l *sendLimits) setEvacuated(targets []directory.Target) {
	evacuated := map[keyspace.Holder]time.Time{}
	for i := range targets {
		if t := &targets[i]; t.Evacuated {
			evacuated[t.Holder()] = t.EvacuatedAfter
		}
	}
	l.evacuated.Store(l.clockTimes(evacuated))
}

// clockTimes converts times to those of the clock that goes on during suspension.
func (l *sendLimits) clockTimes(times map[keyspace.Holder]time.Time) *map[keyspace.Holder]time.Duration {
	converted := make(map[keyspace.Holder]time.Duration, len(times))
	now := l.g.opts.Clock.Now()
	for holder, at := range times {
		converted[holder] = now - time.Since(at)
	}
	return &converted
}
