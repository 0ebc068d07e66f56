package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// changed marks a segment as different from what the store has.
func (a *Assigner) changed(s *span) {
	if a.generation == a.sent {
		a.generation++
	}
	s.generation = a.generation
}

// Step decides what is to be done now.
func (a *Assigner) Step(now time.Time) Actions {
	a.review(now)
	a.freeLapsed(now)
	a.placeFree(now)
	a.merge(now)
	actions := Actions{Next: now.Add(a.cfg.Renew / 2)}
	a.send(now, &actions)
	if !a.writing && a.generation > a.sent {
		a.write(now, &actions)
	}
	return actions
}

// write has the table put into the store, at most every writeInterval: what many moves
// change within it goes to the store, and to all routers, at once. A table that names no holders
// because they are not known is not written: the next leader would take its word.
func (a *Assigner) write(now time.Time, actions *Actions) {
	if due := laterOf(a.writeDue, a.freeUntil); now.Before(due) {
		actions.Next = earlierOf(actions.Next, due)
		return
	}
	a.writing, a.sent, a.writeDue = true, a.generation, now.Add(a.cfg.WriteInterval)
	actions.Write = &Write{Generation: a.generation, Table: a.Table()}
}

// Table returns the division as it is decided.
func (a *Assigner) Table() *keyspace.Table {
	t := &keyspace.Table{Service: a.service, Era: a.era, NextToken: a.nextToken}
	for i := range a.spans {
		t.Segments = append(t.Segments, a.spans[i].Segment)
	}
	t.Join()
	return t
}

// Overlay returns a table as the store has it with those segments marked as moving whose
// new holder has not accepted them yet: what is sent there before is refused, and each
// such request is spent from the budget of retries.
func (a *Assigner) Overlay(stored *keyspace.Table) *keyspace.Table {
	t := stored.Clone()
	for i := range t.Segments {
		segment := &t.Segments[i]
		s := &a.spans[a.find(segment.From)]
		if s.fresh && s.Token == segment.Token {
			segment.Moving = true
		}
	}
	return t
}

// Written tells how a write ended. One that failed is made again.
func (a *Assigner) Written(generation uint64, ok bool) {
	a.writing = false
	if ok {
		a.written = max(a.written, generation)
		return
	}
	a.sent = a.written
}

// review finds the keys whose holder can't keep them.
func (a *Assigner) review(now time.Time) {
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target == "" {
			continue
		}
		candidate := a.candidates[s.Target]
		switch {
		case candidate != nil && candidate.target.Born != s.Born:
			a.rebirth(s, candidate)
		case candidate == nil:
			a.beginMove(now, s, "", true)
		case candidate.lost:
			a.beginMove(now, s, "", true)
		case candidate.target.Draining:
			a.beginMove(now, s, "", false)
		}
	}
}

// rebirth grants the keys anew to the same target's next life, which holds nothing; the
// life before is over with its process.
func (a *Assigner) rebirth(s *span, candidate *candidate) {
	s.Holder, s.fresh = candidate.target.Holder(), true
	s.Moving, s.Lost, s.next, s.handover = false, false, "", ""
	s.inherited, s.lapse, s.oldLapse = false, time.Time{}, time.Time{}
	a.renewToken(s)
}

// renewToken starts a grant under a new token.
func (a *Assigner) renewToken(s *span) {
	s.Token = a.takeToken()
	s.acked, s.firstSent, s.due = false, false, time.Time{}
	a.changed(s)
}

// beginMove has the holder give the keys up.
func (a *Assigner) beginMove(now time.Time, s *span, next string, lost bool) {
	if s.Moving {
		if lost && !s.Lost {
			s.Lost = true
			a.changed(s)
		}
		return
	}
	s.Moving, s.Lost, s.next, s.releaseSent = true, lost, next, false
	s.fence = a.takeToken()
	a.changed(s)
}

// freeLapsed takes keys from holders that can't have them any more.
func (a *Assigner) freeLapsed(now time.Time) {
	for i := range a.spans {
		s := &a.spans[i]
		if s.Moving && !s.busy && (a.ended[s.Holder] || !s.lapsed().After(now)) {
			a.free(s, "")
		}
	}
}

// free notes that nobody holds the keys.
func (a *Assigner) free(s *span, handover string) {
	s.Holder, s.Token = keyspace.Holder{}, 0
	s.Moving, s.Lost, s.acked, s.handover = false, false, false, handover
	s.inherited, s.lapse, s.oldLapse = false, time.Time{}, time.Time{}
}

// placeFree gives the keys that nobody holds to targets.
func (a *Assigner) placeFree(now time.Time) {
	if now.Before(a.freeUntil) || !a.anyFree() || a.gathering(now) {
		return
	}
	plan := a.newPlan(now)
	if len(plan.candidates) == 0 {
		return
	}
	a.splitFree(plan)
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target != "" {
			continue
		}
		candidate := a.candidates[s.next]
		if !candidate.takes() {
			candidate = plan.least()
		}
		plan.add(candidate, s.From, s.To)
		s.Holder, s.next, s.fresh = candidate.target.Holder(), "", true
		a.renewToken(s)
	}
}

// gathering reports whether a new service's targets are still coming in. Given out at
// once, all keys would go to the target that happens to be the first.
func (a *Assigner) gathering(now time.Time) bool {
	if !a.unborn {
		return false
	}
	if len(a.candidates) == 0 {
		return true
	}
	if a.since.IsZero() {
		a.since = now
	}
	a.unborn = now.Sub(a.grown) < gatherPause && now.Sub(a.since) < gatherMost
	return a.unborn
}

func (a *Assigner) anyFree() bool {
	for i := range a.spans {
		if a.spans[i].Target == "" {
			return true
		}
	}
	return false
}
