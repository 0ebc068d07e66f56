package assign

import (
	"slices"
	"time"

	"tarragongw/core/keyspace"
)

// pendingOrder is an order in flight.
type pendingOrder struct {
	from  keyspace.Key
	token uint64
	kind  Kind
	ttl   time.Duration
	// holder is the target that the order was sent to, and sentAt when.
	holder keyspace.Holder
	sentAt time.Time
}

// sendDueOrders adds the orders to send now, as far as the store has what they rest on and Config.OrderBudget allows.
func (a *Assigner) sendDueOrders(now time.Time, actions *Actions) {
	due := a.dueOrders(now, actions)
	if !a.cfg.OrderBudget.Has(now, len(due)) {
		slices.SortStableFunc(due, func(i, j int) int { return compareUrgency(a.urgency(now, i), a.urgency(now, j)) })
	}
	for _, i := range due {
		if !a.cfg.OrderBudget.Take(now) {
			actions.Next = earlierOf(actions.Next, a.cfg.OrderBudget.Next())
			break
		}
		s := &a.spans[i]
		if a.isReleasing(s) {
			a.sendRelease(now, s, actions)
		} else {
			a.sendGrant(now, s, actions)
		}
	}
	for i := range a.spans {
		s := &a.spans[i]
		if expiry := s.lastExpiry(); s.Moving && (!s.orderInFlight || a.releaseInFlight(s)) && expiry.Before(actions.Next) {
			actions.Next = expiry
		}
	}
}

// dueOrders returns the indexes of the segments whose orders are due.
func (a *Assigner) dueOrders(now time.Time, actions *Actions) []int {
	var due []int
	tried := a.triedSilentTargets()
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" || s.orderInFlight || !a.backedByStore(s) || !a.takesOrder(s) {
			continue
		}
		if s.nextOrderAt.After(now) && !a.releaseDue(s) {
			if s.nextOrderAt.Before(actions.Next) {
				actions.Next = s.nextOrderAt
			}
			continue
		}
		if !s.Moving && a.candidates[s.Target].failures >= minFailures {
			if tried[s.Target] {
				continue // the outcome of the order in flight leads to the next step
			}
			tried[s.Target] = true
		}
		due = append(due, i)
	}
	return due
}

// isReleasing reports whether the next order for the segment is a release.
func (a *Assigner) isReleasing(s *span) bool { return s.Moving && s.generation <= a.writtenGeneration }

// takesOrder reports whether the segment's holder can be sent its next order. A target that is no longer known is sent releases
// only, and none if its address is unknown; its grants expire.
func (a *Assigner) takesOrder(s *span) bool {
	return a.candidates[s.Target] != nil || a.isReleasing(s) && a.departed[s.Holder] != nil
}

// triedSilentTargets returns the targets that have left several orders without an answer and to which another is on its
// way. Until they answer, they get one grant at a time: the others would fail as well, each after a time on the link.
func (a *Assigner) triedSilentTargets() map[string]bool {
	tried := map[string]bool{}
	if !a.anyCandidate(func(c *candidate) bool { return c.failures >= minFailures }) {
		return tried
	}
	for i := range a.spans {
		if s := &a.spans[i]; s.orderInFlight && !s.Moving {
			tried[s.Target] = true
		}
	}
	return tried
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

func (a *Assigner) sendRelease(now time.Time, s *span, actions *Actions) {
	c := a.holderOfSpan(s)
	s.releaseSent = true
	a.addOrder(now, s, actions, Order{Kind: Release, Holder: s.Holder, Address: c.target.Address, From: s.From, To: s.To, Token: s.releaseToken})
}

func (a *Assigner) sendGrant(now time.Time, s *span, actions *Actions) {
	c := a.candidates[s.Target]
	ttl := a.grantTTL(now, s, c)
	a.addOrder(now, s, actions, Order{
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

func (a *Assigner) addOrder(now time.Time, s *span, actions *Actions, o Order) {
	a.lastOrderID++
	o.ID = a.lastOrderID
	s.orderInFlight, s.orderID = true, o.ID
	a.pendingOrders[o.ID] = pendingOrder{from: s.From, token: s.Token, kind: o.Kind, ttl: o.TTL, holder: o.Holder, sentAt: now}
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
		a.probeDone(now, p.holder.Target, outcome)
		return
	}
	a.recordEnd(p.holder, outcome)
	i := a.indexOf(p.from)
	s := &a.spans[i]
	s.orderInFlight = false
	a.recordOutcome(now, s.Target, outcome)
	if p.kind == Release {
		a.releaseDone(now, s, p, outcome, handover)
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

func (a *Assigner) releaseDone(now time.Time, s *span, p pendingOrder, outcome Outcome, handover string) {
	if !s.Moving {
		return // a new instance of the holder has started meanwhile
	}
	if outcome == Accepted {
		if p.sentAt.Before(a.oldLeaderUntil) {
			// The holder may start again and be granted the keys by a former leader.
			s.nextOrderAt = laterOf(now, a.oldLeaderUntil)
			return
		}
		a.markUnheld(s, Released, handover)
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
			// From now on the target refuses what an older leader sends, unless it starts again, but the
			// last grant that it accepted from one may have been a long one.
			s.inherited = false
			s.oldLeaderExpiry = earlierOf(s.oldLeaderExpiry, laterOf(now, a.oldLeaderUntil).Add(expiresAfter(a.cfg.OutageGrantTTL)))
		}
		s.expiry = laterOf(s.expiry, now.Add(expiresAfter(p.ttl)))
		s.nextOrderAt = now.Add(a.renewalPause(s))
		s.acked, s.newHolder, s.handover = true, false, ""
		if p.ttl < a.grantTimes.current() {
			s.nextOrderAt = now // the TTL was shortened by grantTTL; the target answers again
		}
	case Superseded:
		a.renewToken(s)
	default:
		s.nextOrderAt = now.Add(a.retryDelay(s, grantRetryDelay, maxGrantRetryDelay))
	}
}

// renewalPause returns the time until the next renewal. Where the link bounds orders, the first renewal under a token is
// earlier by up to half the interval, by the keys: ranges that were granted at the same moment would otherwise be renewed
// at the same moment from then on.
func (a *Assigner) renewalPause(s *span) time.Duration {
	if a.cfg.OrderBudget == nil || s.acked {
		return a.cfg.RenewInterval
	}
	return a.cfg.RenewInterval/2 + a.cfg.RenewInterval/2*time.Duration(uint16(s.From)*spreadFactor)/(1<<16)
}

// spreadFactor spreads neighbouring keys evenly over all 16-bit numbers.
const spreadFactor = 40503

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
