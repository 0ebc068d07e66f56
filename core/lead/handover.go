package lead

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// settleTime is how long after the start of its term a leader hands over at the earliest: by
	// then its followers have told what they can do.
	settleTime = 500 * time.Millisecond
	// orderWindow is the time over which the outcomes of orders are counted. Each holder's grant is
	// renewed twice in it.
	orderWindow = time.Second
	// lateShare is the share of the targets without an order in time from which a leader counts as
	// overloaded. It is above what the loss of one of two data centres takes away.
	lateShare = 0.5
	// minOrderedTargets is the number of targets below which the outcomes say nothing of the leader.
	minOrderedTargets = 4
)

// Reason is why a leader hands over.
type Reason string

// The reasons.
const (
	// ReasonStronger is that a follower's machine is clearly stronger.
	ReasonStronger Reason = "stronger machine"
	// ReasonOverloaded is that most of the leader's orders don't reach their targets in time.
	ReasonOverloaded Reason = "overloaded"
)

// ErrNoSuccessor says that an overloaded leader knows no router that could do better.
var ErrNoSuccessor = errors.New("no router that could lead better")

// Handover decides when the leader of a term hands over to another router, and to which. It is not
// safe for concurrent use.
type Handover struct {
	started time.Time
	self    Machine
	targets map[string]*orderTimes
}

// orderTimes is when an order to a target last ended in time, and when one last did not.
type orderTimes struct{ inTime, late time.Time }

// NewHandover returns the decision for a term that starts now on a machine.
func NewHandover(now time.Time, self Machine) *Handover {
	return &Handover{started: now, self: self, targets: map[string]*orderTimes{}}
}

// RecordOrder records whether an order to a target was answered in time.
func (h *Handover) RecordOrder(now time.Time, target string, inTime bool) {
	times := h.targets[target]
	if times == nil {
		times = &orderTimes{}
		h.targets[target] = times
	}
	if inTime {
		times.inTime = now
	} else {
		times.late = now
	}
}

// Overloaded reports whether, in the last orderWindow, most of the targets that got orders answered
// none in time. Targets that are lost don't answer either, but are rarely most of all.
func (h *Handover) Overloaded(now time.Time) bool {
	begin := now.Add(-orderWindow)
	late, all := 0, 0
	for target, times := range h.targets {
		switch {
		case times.inTime.After(begin):
			all++
		case times.late.After(begin):
			all++
			late++
		default:
			delete(h.targets, target)
		}
	}
	return now.Sub(h.started) >= orderWindow && all >= minOrderedTargets && float64(late) >= lateShare*float64(all)
}

// Successor returns the router that should lead in place of this one, and why; without one the
// name is empty, and the error is ErrNoSuccessor if this router is overloaded.
//
// A clearly stronger router gets the lead in any case. An overloaded leader also hands over to one
// that is not stronger, as its own machine may be slowed down, but not while another router
// declines: that one has just failed at the same work, and handing the lead on would not help.
func (h *Handover) Successor(now time.Time, candidates []Candidate) (string, Reason, error) {
	if now.Sub(h.started) < settleTime {
		return "", "", nil
	}
	fit := fittest(now, candidates)
	for _, c := range fit {
		if c.Machine.Exceeds(h.self) {
			return c.Router, ReasonStronger, nil
		}
	}
	if !h.Overloaded(now) {
		return "", "", nil
	}
	for _, c := range candidates {
		if now.Before(c.DeclinesUntil) {
			return "", "", ErrNoSuccessor
		}
	}
	for _, c := range fit {
		if !h.self.Exceeds(c.Machine) {
			return c.Router, ReasonOverloaded, nil
		}
	}
	return "", "", ErrNoSuccessor
}
