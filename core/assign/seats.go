package assign

import (
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// seat is what the leader knows of one target.
type seat struct {
	target directory.Target
	// failures counts orders without an answer since the last one with, which came at
	// answered; for a new seat that is when it was seen first.
	failures int
	answered time.Time
	lost     bool
}

// SetTargets tells the targets that there are.
func (a *Assigner) SetTargets(now time.Time, targets []directory.Target) {
	seats := make(map[string]*seat, len(targets))
	for _, t := range targets {
		if t.Service != a.service {
			continue
		}
		s, known := a.seats[t.ID]
		if !known || s.target.Born != t.Born || s.target.Address != t.Address {
			s = &seat{answered: now}
			a.grown = now
		}
		s.target = t
		seats[t.ID] = s
	}
	a.seats = seats
}

// SetEnded tells which lives of targets have ended for certain; they hold nothing any more.
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
func (s *seat) takes() bool { return s != nil && !s.lost && !s.target.Draining }

func (a *Assigner) noteSeat(now time.Time, id string, outcome Outcome) {
	seat := a.seats[id]
	if seat == nil {
		return
	}
	if outcome.known() {
		seat.failures, seat.lost, seat.answered = 0, false, now
		return
	}
	seat.failures++
	seat.lost = seat.lost || seat.failures >= failuresToLose && now.Sub(seat.answered) >= loseAfter
}
