package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/targetlimit"
	"tarragongw/peer/feed"
)

const (
	// permitTimeout bounds how long a request waits for the leader's answer about a permit.
	permitTimeout = 200 * time.Millisecond
	// permitTTL is for how long a permit may be used.
	permitTTL = 300 * time.Millisecond
	// minNoLeaderWait and maxNoLeaderWait bound the random wait that is advised while no leader gives permits.
	minNoLeaderWait = 300 * time.Millisecond
	maxNoLeaderWait = 900 * time.Millisecond
	// maxPermitTries bounds at how many targets a request is placed in turn because there was no permit.
	maxPermitTries = 8
)

// errNoPermit is the cause of faults of requests that were not sent because their target states a limit and they had no permit.
var errNoPermit = errors.New("the target states a limit, and there is no permit")

// placeWithPermit places the request, and takes a permit if its target states a limit. Without a permit it is placed again: at
// another target, or it is refused.
func (x *exchange) placeWithPermit() (dispatch.Decision, *fault.Fault) {
	var wait time.Duration
	for range maxPermitTries {
		x.permitAt = time.Time{}
		d, f := x.place()
		if f != nil || !x.g.statedLimits.isLimited(&d.Target) {
			return d, f
		}
		began := time.Now()
		var granted bool
		granted, wait = x.g.statedLimits.take(x.r.Context(), &d.Target, x.sends > 0)
		if granted {
			x.permitAt = time.Now()
			return d, nil
		}
		x.admitted = true
		x.service.refusePermit(&d.Target, wait)
		x.g.log.Info("no permit", "id", x.meta.ID, "service", x.service.name, "target", d.Target.ID, "asked", time.Since(began), "next_in", wait)
		if x.r.Context().Err() != nil {
			return dispatch.Decision{}, endedWhileWaiting(x.r.Context())
		}
	}
	f := fault.New(fault.QueueFull, "no target has a permit")
	f.RetryAfter = wait
	return dispatch.Decision{}, f
}

// noLeaderWait returns the advised wait while no leader gives permits.
func noLeaderWait() time.Duration {
	return minNoLeaderWait + rand.N(maxNoLeaderWait-minNoLeaderWait)
}

// isLimited reports whether requests to a target need a permit.
func (l *statedLimits) isLimited(t *directory.Target) bool {
	_, limited := l.limitOf(t)
	return limited
}

// take takes a permit for a request to a target, or returns after what time to ask again. retry says that the request was sent
// before.
func (l *statedLimits) take(ctx context.Context, t *directory.Target, retry bool) (granted bool, wait time.Duration) {
	limit, ok := l.limitOf(t)
	if !ok {
		return true, 0
	}
	granted, wait = l.ask(ctx, &limit, retry)
	if tel := l.g.opts.Telemetry; tel != nil {
		result := "granted"
		if !granted {
			result = "refused"
		}
		tel.Scope().Tagged(map[string]string{"service": t.Service, "result": result}).Counter("limit_permits_total").Inc(1)
	}
	return granted, wait
}

// limitOf returns the limit of a target as this router knows it, and whether there is one.
func (l *statedLimits) limitOf(t *directory.Target) (targetlimit.Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Limit(t.Holder())
}

// ask asks this router, if it leads, or else the leader for a permit.
func (l *statedLimits) ask(ctx context.Context, limit *targetlimit.Limit, retry bool) (granted bool, wait time.Duration) {
	mayGive := l.g.leader.mayGivePermits()
	l.mu.Lock()
	if l.ledger != nil {
		defer l.mu.Unlock()
		if !mayGive {
			return false, noLeaderWait()
		}
		n, wait := l.ledger.Take(time.Now(), limit.Holder, 1, retry)
		return n > 0, wait
	}
	l.mu.Unlock()
	return l.askLeader(ctx, &feed.PermitRequest{Limit: *limit, Count: 1, Retries: retry})
}

// askLeader asks the leader for a permit, unless it is not there or has just left a request without an answer.
func (l *statedLimits) askLeader(ctx context.Context, r *feed.PermitRequest) (granted bool, wait time.Duration) {
	connected := l.g.subscription.isConnected()
	l.mu.Lock()
	if silent := time.Until(l.silentUntil); !connected || silent > 0 {
		l.mu.Unlock()
		return false, max(silent, noLeaderWait())
	}
	l.lastID++
	r.ID = l.lastID
	answer := make(chan feed.Permits, 1)
	l.answers[r.ID] = answer
	l.requests = append(l.requests, *r)
	l.mu.Unlock()
	defer l.forget(r.ID)
	l.wakeFeed()
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case p := <-answer:
		return p.Granted > 0, p.Wait
	case <-timer.C:
		l.recordSilence()
	case <-ctx.Done():
	}
	return false, noLeaderWait()
}

// recordSilence records that the leader has left a request without an answer.
func (l *statedLimits) recordSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil = time.Now().Add(minNoLeaderWait)
}

// forget ends the wait for an answer, and withdraws the request if it was not sent.
func (l *statedLimits) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.answers, id)
	l.requests = slices.DeleteFunc(l.requests, func(r feed.PermitRequest) bool { return r.ID == id })
}

// handlePermits passes the leader's answers on to the requests that wait for them.
func (l *statedLimits) handlePermits(permits []feed.Permits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range permits {
		if answer := l.answers[p.ID]; answer != nil {
			delete(l.answers, p.ID)
			answer <- p
		}
	}
}

// check returns a fault if a request may not be written to a target because it has no valid permit; permitAt is when it got
// one, zero if it has none.
func (l *statedLimits) check(t *directory.Target, permitAt time.Time) *fault.Fault {
	if !l.isLimited(t) || !permitAt.IsZero() && time.Since(permitAt) < permitTTL {
		return nil
	}
	return fault.Wrap(fault.StaleRoute, errNoPermit, "")
}
