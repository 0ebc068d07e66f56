package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// markChanged marks a segment as different from what the store has.
func (a *Assigner) markChanged(s *span) {
	if a.generation == a.sentGeneration {
		a.generation++
	}
	s.generation = a.generation
}

// Step decides what must be done now.
func (a *Assigner) Step(now time.Time) Actions {
	a.checkHolders(now)
	a.freeExpired(now)
	a.freeUngranted(now)
	a.placeUnheld(now)
	a.merge(now)
	actions := Actions{Next: now.Add(a.cfg.RenewInterval / 2), Freed: a.takeFreed()}
	a.sendDueOrders(now, &actions)
	a.sortByDemand(now, actions.Orders)
	a.sendProbes(now, &actions)
	if !a.writeInFlight && a.generation > a.sentGeneration {
		a.requestWrite(now, &actions)
	}
	return actions
}

// requestWrite requests a write of the table, at most every WriteInterval, so that the changes
// of many moves within that time go to the store, and to all routers, together. A table whose
// holders are unset because they are not known is not written, because the next leader would
// rely on it.
func (a *Assigner) requestWrite(now time.Time, actions *Actions) {
	if due := laterOf(a.nextWriteAt, a.noPlacementBefore); now.Before(due) {
		actions.Next = earlierOf(actions.Next, due)
		return
	}
	a.writeInFlight, a.sentGeneration, a.nextWriteAt = true, a.generation, now.Add(a.cfg.WriteInterval)
	a.grantTimes.sent = a.grantTimes.declared
	actions.Write = &Write{Generation: a.generation, Table: a.Table()}
}

// SetWriteInterval changes Config.WriteInterval for the writes after the next one.
func (a *Assigner) SetWriteInterval(d time.Duration) { a.cfg.WriteInterval = d }

// Table returns the assignment as decided, stored or not.
func (a *Assigner) Table() *keyspace.Table {
	t := &keyspace.Table{Service: a.service, Era: a.era, NextToken: a.nextToken, LongestTTL: a.grantTimes.inTable(&a.cfg)}
	for i := range a.spans {
		t.Segments = append(t.Segments, a.spans[i].Segment)
	}
	t.Join()
	return t
}

// MarkUnconfirmed returns a copy of a stored table in which the segments whose new holder has not
// accepted them yet are marked as moving. The new holder would refuse requests sent before
// that, and each refused request would cost a retry from the retry budget. While the store is unreachable, requests for
// moving segments don't wait either: their next holder can't be written.
func (a *Assigner) MarkUnconfirmed(stored *keyspace.Table) *keyspace.Table {
	t := stored.Clone()
	for i := range t.Segments {
		segment := &t.Segments[i]
		if segment.Moving && a.storeUnreachable {
			segment.HolderUnreachable = true
		}
		s := &a.spans[a.indexOf(segment.From)]
		if s.newHolder && s.Token == segment.Token {
			segment.Moving = true
		}
	}
	return t
}

// WriteDone records the result of a write. A failed write is repeated.
func (a *Assigner) WriteDone(generation uint64, ok bool) {
	a.writeInFlight = false
	if ok {
		a.writtenGeneration = max(a.writtenGeneration, generation)
		a.grantTimes.recordStored()
		return
	}
	a.sentGeneration = a.writtenGeneration
}

// checkHolders finds the keys whose holder has restarted or can't keep them.
func (a *Assigner) checkHolders(now time.Time) {
	evacuations, limited := a.evacuationMoves(now), a.limitMoves()
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" {
			continue
		}
		c := a.candidates[s.Target]
		switch {
		case c != nil && c.target.StartUnixMilli != s.StartUnixMilli:
			a.grantToNewInstance(s, c)
		case c == nil:
			a.beginMove(now, s, "", true)
		case c.unreachable:
			a.beginMove(now, s, "", true)
		case now.Before(a.oldLeaderUntil):
			// Nothing that the holder releases would be free yet, and until then it serves its keys.
		case c.target.Draining:
			a.beginMove(now, s, "", false)
		case c.target.Evacuated && !s.Moving && evacuations > 0:
			a.beginMove(now, s, "", false)
			evacuations--
		case c.tightlyLimited() && !s.Moving && limited > 0:
			a.beginMove(now, s, "", false)
			limited--
		}
	}
}

// grantToNewInstance grants the keys again to a new instance of the same target. The previous
// instance has ended with its process. What was sent to it may have reached the new one, which
// may have the same address, before this router learned of it; so the expiry stays.
func (a *Assigner) grantToNewInstance(s *span, c *candidate) {
	s.Holder, s.newHolder = c.target.Holder(), true
	s.Moving, s.HolderUnreachable, s.nextTarget, s.handover = false, false, "", ""
	a.renewToken(s)
}

// renewToken starts a grant under a new token.
func (a *Assigner) renewToken(s *span) {
	s.Token = a.takeToken()
	s.acked, s.grantSent, s.nextOrderAt = false, false, time.Time{}
	a.markChanged(s)
}

// beginMove starts taking the keys from their holder.
func (a *Assigner) beginMove(now time.Time, s *span, nextTarget string, unreachable bool) {
	if s.Moving {
		if unreachable && !s.HolderUnreachable {
			s.HolderUnreachable = true
			a.markChanged(s)
		}
		return
	}
	s.Moving, s.HolderUnreachable, s.nextTarget, s.releaseSent = true, unreachable, nextTarget, false
	s.releaseToken = a.takeToken()
	a.markChanged(s)
}

// freeExpired takes keys from holders that can't hold them any more. A release in flight gives nothing, so it is not waited
// for: a holder that is lost answers none, and its answer counts for nothing afterwards.
func (a *Assigner) freeExpired(now time.Time) {
	for i := range a.spans {
		s := &a.spans[i]
		if !s.Moving || !a.ended[s.Holder] && s.lastExpiry().After(now) {
			continue
		}
		if a.releaseInFlight(s) {
			delete(a.pendingOrders, s.orderID)
			s.orderInFlight, s.unreleasedBy = false, s.Target
		}
		if s.orderInFlight {
			continue
		}
		evidence := Expired
		if a.ended[s.Holder] {
			evidence = Ended
		}
		a.markUnheld(s, evidence, "")
	}
}

// placeUnheld assigns the keys that nobody holds to targets.
func (a *Assigner) placeUnheld(now time.Time) {
	if now.Before(a.noPlacementBefore) || !a.anyUnheld() || a.awaitingTargets(now) {
		return
	}
	p := a.newPlan(now)
	if len(p.candidates) == 0 {
		return
	}
	if a.mostAnswer() {
		p.removeCandidates(func(t *candidateLoad) bool { return t.silent() })
	}
	a.splitUnheld(p)
	for _, s := range a.unheldByDemand() {
		receiver := a.candidates[s.nextTarget]
		if !p.accepts(receiver) {
			receiver = p.leastUtilised(s.unreleasedBy)
		}
		p.addLoad(receiver, s.From, s.To)
		s.Holder, s.nextTarget, s.newHolder, s.unreleasedBy = receiver.target.Holder(), "", true, ""
		delete(a.ended, s.Holder)
		a.renewToken(s)
	}
}

// awaitingTargets reports whether the targets of a new service are still registering. Without
// the wait, all keys would go to the first target.
func (a *Assigner) awaitingTargets(now time.Time) bool {
	if !a.neverPlaced {
		return false
	}
	if len(a.candidates) == 0 {
		return true
	}
	if a.firstTargetAt.IsZero() {
		a.firstTargetAt = now
	}
	a.neverPlaced = now.Sub(a.lastTargetAt) < placementQuietPeriod && now.Sub(a.firstTargetAt) < maxPlacementDelay
	return a.neverPlaced
}

func (a *Assigner) anyUnheld() bool {
	for i := range a.spans {
		if a.spans[i].Target == "" {
			return true
		}
	}
	return false
}
