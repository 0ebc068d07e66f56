package assign

import (
	"cmp"
	"time"
)

// urgency says which order is sent first while the link carries only some of those that are due.
type urgency struct {
	class uint8
	// until is when the holder's grant ends.
	until time.Time
}

// Classes of orders, the most urgent first: renewals without which keys lose their holder soon, orders for keys that nobody
// serves until they are carried out, other renewals, and orders to targets that don't answer.
const (
	urgentLastRenewal uint8 = iota
	urgentMove
	urgentRenewal
	urgentSilent
)

// urgency returns how urgent the order for the segment is.
func (a *Assigner) urgency(now time.Time, i int) urgency {
	s := &a.spans[i]
	u := urgency{class: urgentRenewal, until: s.lastExpiry()}
	switch {
	case a.holderOfSpan(s).failures >= minFailures:
		u.class = urgentSilent
	case s.Moving || !s.acked:
		u.class = urgentMove
	case u.until.Sub(now) < 2*a.cfg.RenewInterval:
		u.class = urgentLastRenewal
	}
	return u
}

func compareUrgency(x, y urgency) int {
	return cmp.Or(cmp.Compare(x.class, y.class), x.until.Compare(y.until))
}
