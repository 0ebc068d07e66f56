package assign

import (
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
	a.candidates = candidates
}

// SetEnded sets the target instances that are known to have ended and hold no keys any more.
func (a *Assigner) SetEnded(holders []keyspace.Holder) {
	a.endedHolders = make(map[keyspace.Holder]bool, len(holders))
	for _, h := range holders {
		a.endedHolders[h] = true
	}
}

// BoundOldLeaderGrants sets the latest times at which a grant with the usual TTL, and one with the
// long TTL, of a former leader may arrive. Targets that don't answer this leader need not be
// waited for longer than those grants last, and targets that answer it only for long grants
// that they accepted earlier.
func (a *Assigner) BoundOldLeaderGrants(lastGrant, lastLongGrant time.Time) {
	longExpiry := lastLongGrant.Add(expiresAfter(a.cfg.OutageGrantTTL))
	expiry := laterOf(lastGrant.Add(expiresAfter(a.cfg.GrantTTL)), longExpiry)
	a.noPlacementBefore = earlierOf(a.noPlacementBefore, expiry)
	for i := range a.spans {
		s := &a.spans[i]
		if s.inherited {
			s.oldLeaderExpiry = earlierOf(s.oldLeaderExpiry, expiry)
		} else {
			s.oldLeaderExpiry = earlierOf(s.oldLeaderExpiry, longExpiry)
		}
	}
}

// acceptsKeys reports whether the target may be given keys.
func (c *candidate) acceptsKeys() bool { return c != nil && !c.unreachable && !c.target.Draining }

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
	c.unreachable = c.unreachable || c.failures >= minFailures && now.Sub(c.lastAnswer) >= unreachableAfter
}
