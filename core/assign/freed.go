package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// Evidence is what shows that a holder doesn't hold its keys any more.
type Evidence uint8

// Evidence that a holder doesn't hold keys.
const (
	// Released keys were given up by the holder, which has answered an order to release them.
	Released Evidence = iota
	// Ended holders have no process any more.
	Ended
	// Expired grants have run out, however late the last of them may have arrived.
	Expired
	// Ungranted keys were never held: no grant of them has left this router.
	Ungranted
)

// String returns the name used in logs.
func (e Evidence) String() string {
	switch e {
	case Released:
		return "released"
	case Ended:
		return "ended"
	case Expired:
		return "expired"
	default:
		return "ungranted"
	}
}

// Freed are keys that a holder has lost, so that another target may be given them.
type Freed struct {
	Holder   keyspace.Holder
	From, To keyspace.Key
	Evidence Evidence
}

// markUnheld records that nobody holds the keys, and why that is certain.
func (a *Assigner) markUnheld(s *span, evidence Evidence, handover string) {
	a.freed = append(a.freed, Freed{s.Holder, s.From, s.To, evidence})
	s.Holder, s.Token = keyspace.Holder{}, 0
	s.Moving, s.HolderUnreachable, s.acked, s.handover = false, false, false, handover
	s.inherited, s.expiry, s.oldLeaderExpiry = false, time.Time{}, time.Time{}
}

// takeFreed returns the keys that were freed since it was called last.
func (a *Assigner) takeFreed() []Freed {
	freed := a.freed
	a.freed = nil
	return freed
}
