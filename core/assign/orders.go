package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// pendingOrder is an order in flight.
type pendingOrder struct {
	from  keyspace.Key
	token uint64
	kind  Kind
	ttl   time.Duration
	// target is the target of a probe.
	target string
}

// sendDueOrders adds the orders to send now, as far as the store has what they rest on.
func (a *Assigner) sendDueOrders(now time.Time, actions *Actions) {
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" || s.orderInFlight || !a.backedByStore(s) {
			continue
		}
		if s.nextOrderAt.After(now) && !a.releaseDue(s) {
			if s.nextOrderAt.Before(actions.Next) {
				actions.Next = s.nextOrderAt
			}
			continue
		}
		if s.Moving && s.generation <= a.writtenGeneration {
			a.sendRelease(s, actions)
			continue
		}
		a.sendGrant(now, s, actions)
	}
	for i := range a.spans {
		s := &a.spans[i]
		if expiry := s.lastExpiry(); s.Moving && (!s.orderInFlight || a.releaseInFlight(s)) && expiry.Before(actions.Next) {
			actions.Next = expiry
		}
	}
}

// backedByStore reports whether the store has the state that the order for the segment rests
// on. A move that is not stored has not begun: the holder keeps its keys, and is renewed, as
// long as it was not ordered to release them. Otherwise a store that fails between a decision
// and its write would take the keys from their holder for the length of the outage.
func (a *Assigner) backedByStore(s *span) bool {
	if s.generation <= a.writtenGeneration {
		return true
	}
	return s.Moving && !s.HolderUnreachable && s.acked && !s.releaseSent
}

// releaseDue reports whether the holder must be ordered now to release the keys, without
// waiting for the time of the next renewal.
func (a *Assigner) releaseDue(s *span) bool {
	return s.Moving && !s.releaseSent && s.generation <= a.writtenGeneration
}

func (a *Assigner) sendRelease(s *span, actions *Actions) {
	c := a.holderOfSpan(s)
	if c == nil {
		return // the target has gone; its grants expire
	}
	s.releaseSent = true
	a.addOrder(s, actions, Order{Kind: Release, Holder: s.Holder, Address: c.target.Address, From: s.From, To: s.To, Token: s.releaseToken})
}

func (a *Assigner) sendGrant(now time.Time, s *span, actions *Actions) {
	c := a.candidates[s.Target]
	if c == nil {
		return
	}
	ttl := a.grantTTL(now, s, c)
	a.addOrder(s, actions, Order{
		Kind: Grant, Holder: s.Holder, Address: c.target.Address, From: s.From, To: s.To, Token: s.Token,
		TTL: ttl, Handover: s.handover, First: !s.grantSent, ForOutage: ttl > a.grantTimes.stored,
	})
	s.grantSent = true
}

// grantTTL returns the TTL of the next grant. For a holder that left an order unanswered, the
// grant ends no later than those that it may already have, or little later if it has not accepted any.
// Otherwise each retry would put off the time at which its keys can be given to another target.
func (a *Assigner) grantTTL(now time.Time, s *span, c *candidate) time.Duration {
	ttl := a.grantTimes.current()
	if s.inherited {
		ttl = a.grantTimes.stored // no shorter than what the former leader may have granted
	}
	if a.storeUnreachable {
		ttl = a.cfg.OutageGrantTTL
	}
	if c.failures == 0 || s.inherited {
		return ttl
	}
	doubtful := a.mostAnswer() // else the target's silence says little about it
	if !s.acked && !doubtful {
		return ttl
	}
	if !s.acked && !s.lastExpiry().After(now) {
		return min(ttl, a.cfg.GrantTTL) // it may not answer this one either
	}
	remaining := s.lastExpiry().Sub(now) - LateArrivalBound - expiryMargin
	if doubtful {
		remaining -= answerTimeout
	}
	remaining -= time.Duration(float64(remaining) * maxClockDrift)
	if !s.acked {
		return min(max(remaining, minFirstTTL), ttl)
	}
	return min(max(remaining, minGrantTTL), ttl)
}

const (
	// minGrantTTL is the shortest TTL worth sending a grant for.
	minGrantTTL = 100 * time.Millisecond
	// minFirstTTL is the same for keys that the holder did not have before: the renewal that follows has to arrive while
	// the first requests run.
	minFirstTTL = time.Second
)

func (a *Assigner) addOrder(s *span, actions *Actions, o Order) {
	a.lastOrderID++
	o.ID = a.lastOrderID
	s.orderInFlight, s.orderID = true, o.ID
	a.pendingOrders[o.ID] = pendingOrder{from: s.From, token: s.Token, kind: o.Kind, ttl: o.TTL}
	actions.Orders = append(actions.Orders, o)
}

// releaseInFlight reports whether the range's order in flight is a release.
func (a *Assigner) releaseInFlight(s *span) bool {
	return s.orderInFlight && a.pendingOrders[s.orderID].kind == Release
}

// OrderDone records the outcome of an order.
func (a *Assigner) OrderDone(now time.Time, id uint64, outcome Outcome, handover string) {
	p, known := a.pendingOrders[id]
	delete(a.pendingOrders, id)
	if !known {
		return
	}
	if p.kind == Probe {
		a.probeDone(now, p.target, outcome)
		return
	}
	i := a.indexOf(p.from)
	s := &a.spans[i]
	s.orderInFlight = false
	a.recordOutcome(now, s.Target, outcome)
	if p.kind == Release {
		a.releaseDone(now, s, outcome, handover)
		return
	}
	a.grantDone(now, s, p, outcome)
}

// indexOf returns the index of the span that contains the key.
func (a *Assigner) indexOf(key keyspace.Key) int {
	for i := range a.spans {
		if a.spans[i].To >= key {
			return i
		}
	}
	return len(a.spans) - 1
}

func (a *Assigner) releaseDone(now time.Time, s *span, outcome Outcome, handover string) {
	if !s.Moving {
		return // a new instance of the holder has started meanwhile
	}
	if outcome == Accepted {
		a.markUnheld(s, handover)
		return
	}
	if outcome != NotSent {
		s.unreleasedBy = s.Target
	}
	s.nextOrderAt = now.Add(a.retryDelay(s, releaseRetryDelay, maxReleaseRetryDelay))
}

func (a *Assigner) grantDone(now time.Time, s *span, p pendingOrder, outcome Outcome) {
	if outcome == Broken || outcome == Unanswered {
		s.expiry = laterOf(s.expiry, now.Add(outcome.maxLateArrival()+expiresAfter(p.ttl)))
	}
	if p.token != s.Token || s.Moving {
		if outcome == Accepted {
			s.expiry = laterOf(s.expiry, now.Add(expiresAfter(p.ttl)))
		}
		if s.Moving && s.generation > a.writtenGeneration {
			s.nextOrderAt = now.Add(a.cfg.RenewInterval)
		}
		return
	}
	switch outcome {
	case Accepted:
		if s.inherited {
			// From now on the target refuses what an older leader sends, but the last grant
			// that it accepted from one may have been a long one.
			s.inherited, s.oldLeaderExpiry = false, earlierOf(s.oldLeaderExpiry, now.Add(expiresAfter(a.cfg.OutageGrantTTL)))
		}
		s.expiry = laterOf(s.expiry, now.Add(expiresAfter(p.ttl)))
		s.acked, s.newHolder, s.handover, s.nextOrderAt = true, false, "", now.Add(a.cfg.RenewInterval)
		if p.ttl < a.grantTimes.current() {
			s.nextOrderAt = now // the TTL was shortened by grantTTL; the target answers again
		}
	case Superseded:
		a.renewToken(s)
	default:
		s.nextOrderAt = now.Add(a.retryDelay(s, grantRetryDelay, maxGrantRetryDelay))
	}
}

// retryDelay returns the pause before the next order to a range's holder after a failed one.
func (a *Assigner) retryDelay(s *span, first, longest time.Duration) time.Duration {
	c := a.candidates[s.Target]
	if c == nil {
		return longest
	}
	return min(first*time.Duration(max(c.failures, 1)), longest)
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
