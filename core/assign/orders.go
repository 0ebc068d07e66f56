package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// pending is an order under way.
type pending struct {
	from  keyspace.Key
	token uint64
	kind  Kind
	hold  time.Duration
}

// send orders what is due and in the store.
func (a *Assigner) send(now time.Time, actions *Actions) {
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" || s.busy || !a.mayOrder(s) {
			continue
		}
		if s.due.After(now) && !a.releasable(s) {
			if s.due.Before(actions.Next) {
				actions.Next = s.due
			}
			continue
		}
		if s.Moving && s.generation <= a.written {
			a.sendRelease(s, actions)
			continue
		}
		a.sendGrant(now, s, actions)
	}
	for i := range a.spans {
		s := &a.spans[i]
		if lapsed := s.lapsed(); s.Moving && !s.busy && lapsed.Before(actions.Next) {
			actions.Next = lapsed
		}
	}
}

// mayOrder reports whether the store has what the order for the segment rests on. A move
// that it doesn't have has not begun: the holder keeps its keys, as long as it was not
// told to give them up. What goes wrong without that: a store that fails between a
// decision and its write takes the keys from their holder until it is back.
func (a *Assigner) mayOrder(s *span) bool {
	if s.generation <= a.written {
		return true
	}
	return s.Moving && !s.Lost && s.acked && !s.releaseSent
}

// releasable reports whether the holder is to be told now to give the keys up, whenever
// the next renewal would have been due.
func (a *Assigner) releasable(s *span) bool {
	return s.Moving && !s.releaseSent && s.generation <= a.written
}

func (a *Assigner) sendRelease(s *span, actions *Actions) {
	candidate := a.candidates[s.Target]
	if candidate == nil {
		return // there is nobody to ask; the grant lapses
	}
	s.releaseSent = true
	a.order(s, actions, Order{Kind: Release, Holder: s.Holder, Address: candidate.target.Address, From: s.From, To: s.To, Token: s.fence})
}

func (a *Assigner) sendGrant(now time.Time, s *span, actions *Actions) {
	candidate := a.candidates[s.Target]
	if candidate == nil {
		return
	}
	a.order(s, actions, Order{
		Kind: Grant, Holder: s.Holder, Address: candidate.target.Address, From: s.From, To: s.To, Token: s.Token,
		Hold: a.holdFor(now, s, candidate), Handover: s.handover, First: !s.firstSent,
	})
	s.firstSent = true
}

// holdFor is how long a grant is to last. To a holder that left an order unanswered it
// lasts no longer than what it may have already: each further try would else put off the
// moment from which its keys can be given to another.
func (a *Assigner) holdFor(now time.Time, s *span, candidate *candidate) time.Duration {
	hold := a.cfg.Hold
	if a.storeAway {
		hold = a.cfg.LongHold
	}
	if candidate.failures == 0 || !s.acked {
		return hold
	}
	left := s.lapsed().Sub(now) - WireDelay - lapseMargin
	left -= time.Duration(float64(left) * clockSlack)
	return min(max(left, minHold), hold)
}

// minHold is the shortest grant that is worth an order.
const minHold = 100 * time.Millisecond

func (a *Assigner) order(s *span, actions *Actions, o Order) {
	a.orderID++
	o.ID = a.orderID
	s.busy = true
	a.orders[o.ID] = pending{from: s.From, token: s.Token, kind: o.Kind, hold: o.Hold}
	actions.Orders = append(actions.Orders, o)
}

// Done tells how an order ended.
func (a *Assigner) Done(now time.Time, id uint64, outcome Outcome, handover string) {
	p, known := a.orders[id]
	delete(a.orders, id)
	if !known {
		return
	}
	i := a.find(p.from)
	s := &a.spans[i]
	s.busy = false
	a.noteOutcome(now, s.Target, outcome)
	if p.kind == Release {
		a.released(now, s, outcome, handover)
		return
	}
	a.granted(now, s, p, outcome)
}

// find returns the index of the span that begins with the key, or holds it.
func (a *Assigner) find(k keyspace.Key) int {
	for i := range a.spans {
		if a.spans[i].To >= k {
			return i
		}
	}
	return len(a.spans) - 1
}

func (a *Assigner) released(now time.Time, s *span, outcome Outcome, handover string) {
	if !s.Moving {
		return // the holder was born anew meanwhile
	}
	if outcome == Accepted {
		a.free(s, handover)
		return
	}
	s.due = now.Add(a.backoff(s, releaseAgain, maxReleaseAgain))
}

func (a *Assigner) granted(now time.Time, s *span, p pending, outcome Outcome) {
	if outcome == Broken || outcome == Unanswered {
		s.lapse = laterOf(s.lapse, now.Add(outcome.late()+lapseAfter(p.hold)))
	}
	if p.token != s.Token || s.Moving {
		if outcome == Accepted {
			s.lapse = laterOf(s.lapse, now.Add(lapseAfter(p.hold)))
		}
		if s.Moving && s.generation > a.written {
			s.due = now.Add(a.cfg.Renew)
		}
		return
	}
	switch outcome {
	case Accepted:
		if s.inherited {
			// From now on the target refuses what an older leader sends; the last that it
			// took before may have been a long one.
			s.inherited, s.oldLapse = false, earlierOf(s.oldLapse, now.Add(lapseAfter(a.cfg.LongHold)))
		}
		s.lapse = laterOf(s.lapse, now.Add(lapseAfter(p.hold)))
		s.acked, s.fresh, s.handover, s.due = true, false, "", now.Add(a.cfg.Renew)
		if p.hold < a.cfg.Hold {
			s.due = now // a try that was short by intent, see holdFor; the target answers again
		}
	case Superseded:
		a.renewToken(s)
	default:
		s.due = now.Add(a.backoff(s, retryOrder, maxRetryOrder))
	}
}

// backoff is the pause before the next order to a range's holder after one that failed.
func (a *Assigner) backoff(s *span, first, most time.Duration) time.Duration {
	candidate := a.candidates[s.Target]
	if candidate == nil {
		return most
	}
	return min(first*time.Duration(max(candidate.failures, 1)), most)
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
