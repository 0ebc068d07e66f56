package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// candidate is the leader's state for one target.
type candidate struct {
	target directory.Target
	// failures counts the orders that failed since the last answer, which came at lastAnswer.
	// For a new candidate lastAnswer is when it was first seen.
	failures    int
	lastAnswer  time.Time
	unreachable bool
	// probing reports whether a probe is in flight, nextProbeAt when the next may be sent.
	probing     bool
	nextProbeAt time.Time
}

// SetTargets sets the known targets.
func (a *Assigner) SetTargets(now time.Time, targets []directory.Target) {
	candidates := make(map[string]*candidate, len(targets))
	for _, t := range targets {
		if t.Service != a.service {
			continue
		}
		c, known := a.candidates[t.ID]
		if !known || c.target.StartUnixMilli != t.StartUnixMilli || c.target.Address != t.Address {
			c = &candidate{lastAnswer: now}
			a.lastTargetAt = now
		}
		c.target = t
		candidates[t.ID] = c
	}
	a.keepDeparted(candidates)
	a.candidates = candidates
}

// keepDeparted keeps the targets that are no longer known but still hold keys. Their entry may be gone while they run and
// answer orders: a release then frees their keys sooner than the expiry of their grants.
func (a *Assigner) keepDeparted(known map[string]*candidate) {
	departed := map[keyspace.Holder]*candidate{}
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" || known[s.Target] != nil {
			continue
		}
		if c := a.candidates[s.Target]; c != nil && c.target.Holder() == s.Holder {
			departed[s.Holder] = c
		} else if c := a.departed[s.Holder]; c != nil {
			departed[s.Holder] = c
		}
	}
	a.departed = departed
	maps.DeleteFunc(a.ended, func(h keyspace.Holder, _ bool) bool {
		return !slices.ContainsFunc(a.spans, func(s span) bool { return s.Holder == h })
	})
}

// SetDeparted sets targets that are no longer known, as far as this router remembers them: a new leader has not known the
// holders that departed before.
func (a *Assigner) SetDeparted(targets []directory.Target) {
	for _, t := range targets {
		if t.Service == a.service && a.departed[t.Holder()] == nil {
			a.departed[t.Holder()] = &candidate{target: t}
		}
	}
}

// holderOfSpan returns the state of a range's holder, also if it is no longer among the known targets; nil if there is none.
func (a *Assigner) holderOfSpan(s *span) *candidate {
	if c := a.candidates[s.Target]; c != nil {
		return c
	}
	return a.departed[s.Holder]
}

// recordEnd records whether a holder is known to have ended, by the outcome of an order to it.
func (a *Assigner) recordEnd(h keyspace.Holder, outcome Outcome) {
	switch {
	case outcome == AddressTaken:
		a.ended[h] = true
	case outcome.answered():
		delete(a.ended, h)
	}
}

// AskAgain sends the holders that are being moved their next release at once. Another target claims their addresses, so that
// the answer may show that they have ended.
func (a *Assigner) AskAgain(holders []keyspace.Holder) {
	for i := range a.spans {
		if s := &a.spans[i]; s.Moving && slices.Contains(holders, s.Holder) {
			s.nextOrderAt = time.Time{}
		}
	}
}

// OldLeaderBound is until when former leaders act at the latest.
type OldLeaderBound struct {
	// Until is until when they may send orders.
	Until time.Time
	// LastGrant and LastLongGrant are when a grant of theirs with the usual TTL, and one with Config.OutageGrantTTL, may arrive.
	LastGrant, LastLongGrant time.Time
}

// BoundOldLeader sets until when former leaders act. Targets need not be waited for longer than grants of that time last, and
// what they release from then on is free.
func (a *Assigner) BoundOldLeader(b OldLeaderBound) {
	a.oldLeaderUntil = earlierOf(a.oldLeaderUntil, b.Until)
	expiry := laterOf(b.LastGrant.Add(expiresAfter(a.grantTimes.inherited)), b.LastLongGrant.Add(expiresAfter(a.cfg.OutageGrantTTL)))
	a.noPlacementBefore = earlierOf(a.noPlacementBefore, expiry)
	for i := range a.spans {
		s := &a.spans[i]
		s.oldLeaderExpiry = earlierOf(s.oldLeaderExpiry, expiry)
		if s.Moving && a.oldLeaderUntil.Before(s.nextOrderAt) {
			s.nextOrderAt = a.oldLeaderUntil
		}
	}
}

// acceptsKeys reports whether the target may be given keys.
func (c *candidate) acceptsKeys() bool { return c != nil && !c.unreachable && c.target.TakesNewWork() }

// silent reports whether the last order to the target failed.
func (c *candidate) silent() bool { return c.failures > 0 }

// maxSilentShare is the part of the targets up to which silence is taken to be the targets' own. If more are silent, the cause
// may be at this router, and silence says little about a target.
const maxSilentShare = 0.25

// mostAnswer reports whether nearly all targets that accept keys have answered their last order.
func (a *Assigner) mostAnswer() bool {
	accepting, silent := 0, 0
	for _, c := range a.candidates {
		if !c.acceptsKeys() {
			continue
		}
		accepting++
		if c.silent() {
			silent++
		}
	}
	return float64(silent) <= max(maxSilentShare*float64(accepting), 1)
}

// isCold reports whether the target bears fewer requests than others now, so that it is given keys only if all are cold.
func (a *Assigner) isCold(now time.Time, c *candidate) bool {
	return a.cfg.SpareCold && now.Before(c.target.ColdUntil)
}

func (a *Assigner) recordOutcome(now time.Time, id string, outcome Outcome) {
	c := a.candidates[id]
	if c == nil {
		return
	}
	if outcome.answered() {
		c.failures, c.unreachable, c.lastAnswer = 0, false, now
		return
	}
	c.failures++
	if outcome == AddressTaken {
		c.unreachable = true
	}
	if c.unreachable || c.failures < minFailures {
		return
	}
	c.unreachable = now.Sub(c.lastAnswer) >= a.unreachableAfter()
}

// unreachableAfter returns how long ago the last answer of a target is that counts as unreachable.
func (a *Assigner) unreachableAfter() time.Duration {
	if holders, silent := a.SilentHolders(1); len(silent) >= minCommonCause && float64(len(silent)) >= commonCauseShare*float64(holders) {
		return commonCauseAfter
	}
	return unreachableAfter
}

// SilentHolders returns the targets that hold keys and have left at least the given number of orders in a
// row without an answer, and how many targets hold keys if there are any such.
func (a *Assigner) SilentHolders(failures int) (holders int, silent []directory.Target) {
	if !a.anyCandidate(func(c *candidate) bool { return c.failures >= failures }) {
		return 0, nil
	}
	seen := make(map[string]bool, len(a.candidates))
	for i := range a.spans {
		id := a.spans[i].Target
		c := a.candidates[id]
		if c == nil || seen[id] {
			continue
		}
		seen[id] = true
		holders++
		if c.failures >= failures {
			silent = append(silent, c.target)
		}
	}
	return holders, silent
}

func (a *Assigner) anyCandidate(matches func(c *candidate) bool) bool {
	for _, c := range a.candidates {
		if matches(c) {
			return true
		}
	}
	return false
}

// sendProbes adds probes of the targets that hold no keys because they did not answer orders. Without
// them such a target, which gets no orders any more, could never be given keys again.
func (a *Assigner) sendProbes(now time.Time, actions *Actions) {
	if !a.anyCandidate(func(c *candidate) bool { return c.unreachable }) {
		return
	}
	inFlight, idle := a.unreachableWithoutKeys()
	for _, c := range idle {
		switch {
		case c.nextProbeAt.After(now):
			actions.Next = earlierOf(actions.Next, c.nextProbeAt)
		case inFlight < maxProbes:
			inFlight++
			c.probing = true
			a.lastOrderID++
			a.pendingOrders[a.lastOrderID] = pendingOrder{kind: Probe, holder: c.target.Holder()}
			actions.Orders = append(actions.Orders, Order{ID: a.lastOrderID, Kind: Probe, Holder: c.target.Holder(), Address: c.target.Address})
		}
	}
}

// unreachableWithoutKeys returns the unreachable targets that hold no keys and are not being probed, in
// the order of their next probes, and the number of probes in flight.
func (a *Assigner) unreachableWithoutKeys() (inFlight int, idle []*candidate) {
	holders := make(map[string]bool, len(a.candidates))
	for i := range a.spans {
		holders[a.spans[i].Target] = true
	}
	for id, c := range a.candidates {
		switch {
		case c.probing:
			inFlight++
		case c.unreachable && !holders[id]:
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(x, y *candidate) int {
		return cmp.Or(x.nextProbeAt.Compare(y.nextProbeAt), cmp.Compare(x.target.ID, y.target.ID))
	})
	return inFlight, idle
}

// probeDone records the end of a probe.
func (a *Assigner) probeDone(now time.Time, id string, outcome Outcome) {
	c := a.candidates[id]
	if c == nil {
		return
	}
	a.recordOutcome(now, id, outcome)
	c.probing = false
	c.nextProbeAt = now.Add(min(probeDelay*time.Duration(max(c.failures, 1)), maxProbeDelay))
}
