// Package reach decides which targets a router reaches directly, and which it had better reach through
// another router.
//
// A router whose path to targets is cut still accepts requests, and other routers may reach the
// targets. Whether a path is cut is concluded from connections that can't be opened and from
// requests that get no answer. A target that ends looks the same, so that a refused connection to
// a single target says nothing about the path.
//
// The package is deterministic: time is a parameter.
package reach

import (
	"cmp"
	"slices"
	"time"

	"tarragongw/core/directory"
)

const (
	// commonWindow is the time within which failures at several targets are taken to have one cause.
	commonWindow = time.Second
	// repeatedFailures is how many attempts in a row to open a connection to one target must time out
	// for its path to be lost if no other target fails.
	repeatedFailures = 2
	// minSilence and silenceFactor bound for how long requests at a target may make no progress before
	// its path is in doubt: the longer of minSilence and of silenceFactor times the service time.
	minSilence    = 600 * time.Millisecond
	silenceFactor = 2.5
	// minTimeouts is how many targets must time out together for all other paths to be in doubt.
	minTimeouts = 2
	// doubtTime is how long all paths that have not been proved since are in doubt after connections to
	// several targets have timed out.
	doubtTime = 3 * time.Second
	// minProbeDelay and maxProbeDelay bound the pause between two probes of a lost path, which doubles
	// with each failure, and maxProbes the probes that begin at the same time while none has succeeded.
	minProbeDelay = 400 * time.Millisecond
	maxProbeDelay = 1600 * time.Millisecond
	maxProbes     = 4
	// minRelayDelay and maxRelayDelay bound for how long a target is not looked for through other
	// routers after one of them did not reach it either.
	minRelayDelay = 500 * time.Millisecond
	maxRelayDelay = 4 * time.Second
)

// Path is a way to a target.
type Path uint8

// The paths.
const (
	// Direct is over any connection of this router.
	Direct Path = iota
	// Fresh is over a new connection of this router, because those that are open may be dead.
	Fresh
	// Relayed is through another router.
	Relayed
)

// String returns the name used in logs.
func (p Path) String() string {
	switch p {
	case Fresh:
		return "fresh"
	case Relayed:
		return "relayed"
	default:
		return "direct"
	}
}

// serviceState is what is known of the direct paths to all targets of one service.
type serviceState struct {
	// provedAt is when any of the paths was proved last.
	provedAt time.Time
}

// targetState is what is known of the direct path to one target.
type targetState struct {
	target  directory.Target
	service *serviceState
	// lost is set if the path is cut.
	lost bool
	// failures counts the connections that could not be opened since the path was last proved. failedAt
	// is when the last one failed, and timedOut says that it was not refused.
	failures int
	failedAt time.Time
	timedOut bool
	// provedAt is when a connection was opened or an answer arrived last.
	provedAt time.Time
	// inFlight counts the requests that are sent directly, and sentAt is when the first of them was sent.
	inFlight int
	sentAt   time.Time
	// nextProbeAt is when a lost path is probed next.
	nextProbeAt time.Time
	probeDelay  time.Duration
	// relayDelay is for how long the target was last not looked for through other routers, which ends
	// at relayNotBefore.
	relayDelay     time.Duration
	relayNotBefore time.Time
}

// Tracker is one router's knowledge of its paths. It is not safe for concurrent use.
type Tracker struct {
	targets  map[string]*targetState
	services map[string]*serviceState
	// doubtedAt is since when paths that have not been proved are in doubt, until doubtedUntil.
	doubtedAt, doubtedUntil time.Time
	// restoredAt is when a probe last succeeded.
	restoredAt time.Time
}

// NewTracker returns a tracker without targets.
func NewTracker() *Tracker {
	return &Tracker{targets: map[string]*targetState{}, services: map[string]*serviceState{}}
}

// SetTargets sets the complete list of targets. What is known of other instances of a target is forgotten.
func (t *Tracker) SetTargets(targets []directory.Target) {
	known, knownServices := t.targets, t.services
	t.targets, t.services = make(map[string]*targetState, len(targets)), map[string]*serviceState{}
	for _, target := range targets {
		s := known[target.ID]
		if s == nil || s.target.StartUnixMilli != target.StartUnixMilli || s.target.Address != target.Address {
			s = &targetState{}
		}
		if t.services[target.Service] == nil {
			t.services[target.Service] = cmp.Or(knownServices[target.Service], &serviceState{})
		}
		s.target, s.service = target, t.services[target.Service]
		t.targets[target.ID] = s
	}
}

// Choose returns the path for a request to a target whose service takes serviceTime for a request.
// Without relays there is no other router that could reach a target.
func (t *Tracker) Choose(now time.Time, id string, serviceTime time.Duration, relays bool) Path {
	s := t.targets[id]
	if s == nil {
		return Direct
	}
	limit := max(minSilence, time.Duration(float64(serviceTime)*silenceFactor))
	switch {
	case s.lost && relays && !now.Before(s.relayNotBefore):
		return Relayed
	case s.lost, s.silent(now, limit), t.doubted(now, s), t.serviceSilent(now, s, limit):
		return Fresh
	}
	return Direct
}

// silent reports whether requests at the target have made no progress for longer than the limit.
func (s *targetState) silent(now time.Time, limit time.Duration) bool {
	return s.inFlight > 0 && now.Sub(laterOf(s.sentAt, s.provedAt)) > limit
}

// doubted reports whether the path has not been proved since connections to several targets timed out.
func (t *Tracker) doubted(now time.Time, s *targetState) bool {
	return now.Before(t.doubtedUntil) && s.provedAt.Before(t.doubtedAt)
}

// serviceSilent reports whether several targets of the service are silent, and none of them has
// proved its path within the limit.
func (t *Tracker) serviceSilent(now time.Time, s *targetState, limit time.Duration) bool {
	if now.Sub(s.service.provedAt) <= limit {
		return false
	}
	silent := 0
	for _, other := range t.targets {
		if other.service == s.service && other.silent(now, limit) {
			silent++
		}
	}
	return silent > 1
}

// Sent records that a request is sent directly.
func (t *Tracker) Sent(now time.Time, id string) {
	if s := t.targets[id]; s != nil {
		if s.inFlight == 0 {
			s.sentAt = now
		}
		s.inFlight++
	}
}

// Ended records that a request that was sent directly has ended.
func (t *Tracker) Ended(id string) {
	if s := t.targets[id]; s != nil {
		s.inFlight = max(s.inFlight-1, 0)
	}
}

// Proved records that a connection was opened directly, or that an answer arrived on one. It reports
// whether the path was lost.
func (t *Tracker) Proved(now time.Time, id string) (restored bool) {
	s := t.targets[id]
	if s == nil {
		return false
	}
	restored = s.lost
	s.lost, s.failures = false, 0
	s.prove(now)
	if restored {
		t.restoredAt = now
		for _, other := range t.targets {
			other.nextProbeAt, other.probeDelay = now, 0
		}
	}
	return restored
}

// Answered records that an answer arrived on a connection that was opened before. It proves the path
// only as long as that is not lost: connections may stay alive while new ones are refused.
func (t *Tracker) Answered(now time.Time, id string) {
	if s := t.targets[id]; s != nil && !s.lost {
		s.prove(now)
	}
}

func (s *targetState) prove(now time.Time) { s.provedAt, s.service.provedAt = now, now }

// ConnectFailed records that no connection could be opened directly. It returns the targets whose
// paths are lost since.
func (t *Tracker) ConnectFailed(now time.Time, id string, refused bool) (lost []string) {
	s := t.targets[id]
	if s == nil {
		return nil
	}
	s.failures++
	s.failedAt, s.timedOut = now, !refused
	failing := t.failingTogether(now)
	if len(failing) > 1 {
		t.doubt(now, failing)
	} else if refused || s.failures < repeatedFailures {
		return nil
	}
	for _, f := range failing {
		if !f.lost {
			f.lost = true
			f.probeDelay = minProbeDelay
			f.nextProbeAt = now.Add(f.probeDelay)
			lost = append(lost, f.target.ID)
		}
	}
	slices.Sort(lost)
	return lost
}

// failingTogether returns the targets whose last connections failed within commonWindow.
func (t *Tracker) failingTogether(now time.Time) []*targetState {
	var failing []*targetState
	for _, s := range t.targets {
		if s.failures > 0 && now.Sub(s.failedAt) <= commonWindow {
			failing = append(failing, s)
		}
	}
	return failing
}

// doubt puts all paths in doubt that have not been proved since the first of several timeouts. While
// probes of lost paths go on timing out, the doubt goes on, but a path that was proved is not doubted again.
func (t *Tracker) doubt(now time.Time, failing []*targetState) {
	first, timeouts := now, 0
	for _, s := range failing {
		if s.timedOut {
			timeouts++
			first = earlierOf(first, s.failedAt)
		}
	}
	if timeouts < minTimeouts {
		return
	}
	if !now.Before(t.doubtedUntil) {
		t.doubtedAt = first
	}
	t.doubtedUntil = now.Add(doubtTime)
}

// RelayFailed records that other routers did not reach a target either.
func (t *Tracker) RelayFailed(now time.Time, id string) {
	if s := t.targets[id]; s != nil {
		s.relayDelay = min(max(2*s.relayDelay, minRelayDelay), maxRelayDelay)
		s.relayNotBefore = now.Add(s.relayDelay)
	}
}

// RelaySucceeded records that a target was reached through another router.
func (t *Tracker) RelaySucceeded(id string) {
	if s := t.targets[id]; s != nil {
		s.relayDelay, s.relayNotBefore = 0, time.Time{}
	}
}

// Probes returns the targets whose lost paths are to be probed now.
func (t *Tracker) Probes(now time.Time) []string {
	var due []*targetState
	for _, s := range t.targets {
		if s.lost && !s.nextProbeAt.After(now) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *targetState) int { return a.nextProbeAt.Compare(b.nextProbeAt) })
	if now.Sub(t.restoredAt) > commonWindow && len(due) > maxProbes {
		due = due[:maxProbes]
	}
	var ids []string
	for _, s := range due {
		s.probeDelay = min(max(2*s.probeDelay, minProbeDelay), maxProbeDelay)
		s.nextProbeAt = now.Add(s.probeDelay)
		ids = append(ids, s.target.ID)
	}
	slices.Sort(ids)
	return ids
}

// Lost returns the targets whose paths are lost, in order.
func (t *Tracker) Lost() []string {
	var ids []string
	for id, s := range t.targets {
		if s.lost {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// IsLost reports whether the path to the target is lost.
func (t *Tracker) IsLost(id string) bool {
	s := t.targets[id]
	return s != nil && s.lost
}

// Targets returns the number of targets.
func (t *Tracker) Targets() int { return len(t.targets) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
