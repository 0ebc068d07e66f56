package assign

import (
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// candidate is what the leader knows of one target.
type candidate struct {
	target directory.Target
	// failures counts orders without an answer since the last one with, which came at
	// answered; for a new candidate that is when it was seen first.
	failures int
	answered time.Time
	lost     bool
}

// SetTargets notes the targets that there are.
func (a *Assigner) SetTargets(now time.Time, targets []directory.Target) {
	candidates := make(map[string]*candidate, len(targets))
	for _, t := range targets {
		if t.Service != a.service {
			continue
		}
		s, known := a.candidates[t.ID]
		if !known || s.target.Born != t.Born || s.target.Address != t.Address {
			s = &candidate{answered: now}
			a.grown = now
		}
		s.target = t
		candidates[t.ID] = s
	}
	a.candidates = candidates
}

// SetEnded notes which lives of targets have ended for certain; they hold nothing any more.
func (a *Assigner) SetEnded(ended []keyspace.Holder) {
	a.ended = make(map[keyspace.Holder]bool, len(ended))
	for _, h := range ended {
		a.ended[h] = true
	}
}

// OldLeaderStops tells when the last grant of the usual length and the last long one of the
// leaders before may arrive: targets that don't answer this one need not be waited for any
// longer than those last, and those that do only for the long ones that they took before.
func (a *Assigner) OldLeaderStops(usual, long time.Time) {
	longLapse := long.Add(lapseAfter(a.cfg.LongHold))
	lapse := laterOf(usual.Add(lapseAfter(a.cfg.Hold)), longLapse)
	a.freeUntil = earlierOf(a.freeUntil, lapse)
	for i := range a.spans {
		s := &a.spans[i]
		if s.inherited {
			s.oldLapse = earlierOf(s.oldLapse, lapse)
		} else {
			s.oldLapse = earlierOf(s.oldLapse, longLapse)
		}
	}
}

// takes reports whether the target may be given keys.
func (s *candidate) takes() bool { return s != nil && !s.lost && !s.target.Draining }

func (a *Assigner) noteOutcome(now time.Time, id string, outcome Outcome) {
	candidate := a.candidates[id]
	if candidate == nil {
		return
	}
	if outcome.known() {
		candidate.failures, candidate.lost, candidate.answered = 0, false, now
		return
	}
	candidate.failures++
	candidate.lost = candidate.lost || candidate.failures >= failuresToLose && now.Sub(candidate.answered) >= loseAfter
}
