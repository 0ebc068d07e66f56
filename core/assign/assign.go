// Package assign decides which target holds which keys of a service. One router at a
// time, the leader, runs it; what it decides is in the store before it is ordered, so that
// a leader that was superseded can't act on a division that no longer holds.
//
// How it keeps a key from having two holders:
//
//   - A key leaves its holder only by a release that the holder has answered, by the
//     holder's next life, which knows of nothing, or once every grant that may have
//     reached it has lapsed.
//   - A release carries a token above that of the grant, so that an older renewal that is
//     still on its way is refused after it; the next grant carries a token above that.
//   - A leader that takes over first grants everything again, to the same holders, under
//     new tokens. From the answer on the holder refuses what the old leader still sends.
//     A holder that doesn't answer may be renewed by the old leader for as long as that
//     one may renew at all, and only then begins to lapse.
//
// The package is deterministic: Step takes the time, messages come by methods, orders and
// writes go out as values.
package assign

import (
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// Defaults of Config.
const (
	// DefaultHold bounds how long keys stay with a holder that was lost without a word. It
	// is long enough for another router to take the leader's place first: its lease of
	// 1.2 s, and a renewal of half a second.
	DefaultHold = 2 * time.Second
	// DefaultRenew leaves room for two lost renewals.
	DefaultRenew = 500 * time.Millisecond
	// clockSlack is by how much longer a holder's clock may measure a grant, in parts.
	clockSlack = 0.02
	// lapseMargin covers the way of an order that was cut off.
	lapseMargin = 100 * time.Millisecond
	// failuresToLose is how many orders in a row have to fail before a holder counts as
	// lost, and loseAfter how long ago it must have answered: single orders meet broken
	// connections or are left unanswered, and with many ranges three of them soon do at
	// one moment.
	failuresToLose = 3
	loseAfter      = 700 * time.Millisecond
	// retryOrder is the pause after an order that failed.
	retryOrder = 50 * time.Millisecond
	// rangesPerSeat is the number of ranges for each target above which neighbours are
	// merged, and mergeEvery how often.
	rangesPerSeat = 3
	mergeEvery    = 2 * time.Second
	// gatherPause is how long after the last new target a new service's keys are given out,
	// and gatherMost how long after the first at the latest.
	gatherPause = 1200 * time.Millisecond
	gatherMost  = 4 * time.Second
	// releaseAgain is the pause between releases to a holder that doesn't answer; each
	// may find it back and save waiting for the lapse.
	releaseAgain = 250 * time.Millisecond
)

// Config holds the times of the assignment. Zero fields take their defaults.
type Config struct {
	// Hold is how long a grant lasts, LongHold how long where the store isn't reached,
	// because then no other router could take over.
	Hold, LongHold time.Duration
	// Renew is the time between two renewals of a grant.
	Renew time.Duration
	// OldLeader bounds how long after the loss of its lease another leader may still send
	// renewals.
	OldLeader time.Duration
}

func (c Config) withDefaults() Config {
	if c.Hold <= 0 {
		c.Hold = DefaultHold
	}
	if c.LongHold < c.Hold {
		c.LongHold = c.Hold
	}
	if c.Renew <= 0 {
		c.Renew = DefaultRenew
	}
	return c
}

// Kind is what an order asks for.
type Kind uint8

// The kinds of orders.
const (
	Grant Kind = iota
	Release
)

// String returns the name as it is logged.
func (k Kind) String() string {
	if k == Release {
		return "release"
	}
	return "grant"
}

// Order is what a target is told.
type Order struct {
	ID       uint64
	Kind     Kind
	Holder   keyspace.Holder
	Address  string
	From, To keyspace.Key
	Token    uint64
	// Hold is how long the grant lasts from its arrival; Handover is what the last holder
	// gave with its release.
	Hold     time.Duration
	Handover string
	// First says that the keys were not granted under this token before.
	First bool
}

// Outcome is how an order ended.
type Outcome uint8

// The outcomes.
const (
	// Accepted orders were answered and hold.
	Accepted Outcome = iota
	// Superseded grants were refused, because the target has seen a higher token.
	Superseded
	// Unanswered orders may have been carried out, or may be later.
	Unanswered
)

// String returns the name as it is logged.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Superseded:
		return "superseded"
	default:
		return "unanswered"
	}
}

// Write is a table that is to be put into the store.
type Write struct {
	Generation uint64
	Table      *keyspace.Table
}

// Actions are what Step asks for.
type Actions struct {
	Orders []Order
	// Write is nil where there is nothing to write or one is under way.
	Write *Write
	// Next is when Step is due again.
	Next time.Time
}

// Move is a decision to give keys to another target.
type Move struct {
	From, To keyspace.Key
	Target   string
}

// span is a segment with what the leader knows of it.
type span struct {
	keyspace.Segment
	// generation is that of the write which has the segment as it is.
	generation uint64
	// acked says that the holder has accepted the grant under the present token.
	acked bool
	// next is where the keys go; empty leaves it open until they are free.
	next string
	// fence is the token of the release.
	fence    uint64
	handover string
	// lapse is when the last grant that may have reached the holder has lapsed. A target
	// keeps to the longest of the times that it was granted, whatever came after it.
	lapse time.Time
	// inherited says that the holder may have been granted the keys by another leader, and
	// has not accepted a grant of this one.
	inherited bool
	// busy says that an order is under way, due when the next may go out.
	busy bool
	due  time.Time
	// fresh says that the holder has not had the keys before, so that it refuses requests
	// for them until it has accepted the grant.
	fresh bool
	// firstSent says that the grant went out under the present token, and releaseSent that
	// the holder was told to give the keys up.
	firstSent, releaseSent bool
}

// seat is what the leader knows of one target.
type seat struct {
	target directory.Target
	// failures counts orders without an answer since the last one with, which came at
	// answered; for a new seat that is when it was seen first.
	failures int
	answered time.Time
	lost     bool
}

// pending is an order under way.
type pending struct {
	from  keyspace.Key
	token uint64
	kind  Kind
	hold  time.Duration
}

// Assigner holds the keys of one service. It is not safe for concurrent use.
type Assigner struct {
	cfg       Config
	service   string
	nextToken uint64
	spans     []span
	seats     map[string]*seat
	heat      *Heat

	// generation counts changes to the table, sent and written those in the store.
	generation, sent, written uint64
	writing                   bool
	storeAway                 bool

	orders  map[uint64]pending
	orderID uint64
	// mergeDue is when ranges may be merged next.
	mergeDue time.Time

	// unborn says that no key has ever had a holder; since is when the first target was
	// seen, and grown when the last was.
	unborn       bool
	since, grown time.Time
}

// TakeOver returns the assignment for a new leader, from the table that the store has;
// nil where there is none yet.
func TakeOver(now time.Time, cfg Config, service string, table *keyspace.Table) *Assigner {
	a := &Assigner{
		cfg: cfg.withDefaults(), service: service, seats: map[string]*seat{}, heat: NewHeat(),
		orders: map[uint64]pending{},
	}
	if table == nil {
		table = keyspace.New(service)
		a.unborn = true
	}
	a.nextToken = table.NextToken
	a.generation = 1
	inherited := now.Add(a.cfg.OldLeader + lapseAfter(a.cfg.LongHold))
	token := a.takeToken()
	for _, s := range table.Segments {
		s.Moving, s.Lost = false, false
		n := span{Segment: s, generation: a.generation}
		if s.Target != "" {
			n.Token, n.lapse, n.inherited = token, inherited, true
		}
		a.spans = append(a.spans, n)
	}
	return a
}

// lapseAfter is when a grant has lapsed for certain, from when it was sent off.
func lapseAfter(hold time.Duration) time.Duration {
	return hold + time.Duration(float64(hold)*clockSlack) + lapseMargin
}

func (a *Assigner) takeToken() uint64 {
	a.nextToken++
	return a.nextToken - 1
}

// changed marks a segment as different from what the store has.
func (a *Assigner) changed(s *span) {
	if a.generation == a.sent {
		a.generation++
	}
	s.generation = a.generation
}

// Heat returns what is known of the keys' load.
func (a *Assigner) Heat() *Heat { return a.heat }

// Service is the name of the service.
func (a *Assigner) Service() string { return a.service }

// SetStoreAway tells whether the store is not reached: grants then last longer.
func (a *Assigner) SetStoreAway(away bool) { a.storeAway = away }

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

// OldLeaderStops tells when the leader before has stopped renewing at the latest, and the
// longest grant that it gave: targets that don't answer this one need not be waited for
// any longer than that.
func (a *Assigner) OldLeaderStops(at time.Time, hold time.Duration) {
	lapse := at.Add(lapseAfter(hold))
	for i := range a.spans {
		s := &a.spans[i]
		if s.inherited && s.lapse.After(lapse) {
			s.lapse = lapse
		}
	}
}

// takes reports whether the target may be given keys.
func (s *seat) takes() bool { return s != nil && !s.lost && !s.target.Draining }

// Step decides what is to be done now.
func (a *Assigner) Step(now time.Time) Actions {
	a.review(now)
	a.freeLapsed(now)
	a.placeFree(now)
	a.merge(now)
	actions := Actions{Next: now.Add(a.cfg.Renew / 2)}
	a.send(now, &actions)
	if !a.writing && a.generation > a.sent {
		a.writing, a.sent = true, a.generation
		actions.Write = &Write{Generation: a.generation, Table: a.Table()}
	}
	return actions
}

// Table returns the division as it is decided.
func (a *Assigner) Table() *keyspace.Table {
	t := &keyspace.Table{Service: a.service, NextToken: a.nextToken}
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
		seat := a.seats[s.Target]
		switch {
		case seat != nil && seat.target.Born != s.Born:
			a.rebirth(s, seat)
		case seat == nil:
			a.beginMove(now, s, "", true)
		case seat.lost:
			a.beginMove(now, s, "", true)
		case seat.target.Draining:
			a.beginMove(now, s, "", false)
		}
	}
}

// rebirth grants the keys anew to the same target's next life, which holds nothing; the
// life before is over with its process.
func (a *Assigner) rebirth(s *span, seat *seat) {
	s.Holder, s.fresh = seat.target.Holder(), true
	s.Moving, s.Lost, s.next, s.handover = false, false, "", ""
	s.inherited, s.lapse = false, time.Time{}
	a.regrant(s)
}

// regrant starts a grant under a new token.
func (a *Assigner) regrant(s *span) {
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
		if s.Moving && !s.busy && !s.lapse.After(now) {
			a.free(s, "")
		}
	}
}

// free notes that nobody holds the keys.
func (a *Assigner) free(s *span, handover string) {
	s.Holder, s.Token = keyspace.Holder{}, 0
	s.Moving, s.Lost, s.acked, s.handover = false, false, false, handover
	s.inherited, s.lapse = false, time.Time{}
}

// placeFree gives the keys that nobody holds to targets.
func (a *Assigner) placeFree(now time.Time) {
	if !a.anyFree() || a.gathering(now) {
		return
	}
	plan := a.newPlan(now)
	if len(plan.seats) == 0 {
		return
	}
	a.splitFree(plan)
	for i := range a.spans {
		s := &a.spans[i]
		if s.Target != "" {
			continue
		}
		seat := a.seats[s.next]
		if !seat.takes() {
			seat = plan.least()
		}
		plan.add(seat, s.From, s.To)
		s.Holder, s.next, s.fresh = seat.target.Holder(), "", true
		a.regrant(s)
	}
}

// gathering reports whether a new service's targets are still coming in. Given out at
// once, all keys would go to the target that happens to be the first.
func (a *Assigner) gathering(now time.Time) bool {
	if !a.unborn {
		return false
	}
	if len(a.seats) == 0 {
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
		if s.Moving && !s.busy && s.lapse.Before(actions.Next) {
			actions.Next = s.lapse
		}
	}
}

// merge makes one range of neighbours that are held by one target, once there are many:
// each range costs a renewal twice a second. The range is granted under a new token.
func (a *Assigner) merge(now time.Time) {
	if a.storeAway || a.writing || now.Before(a.mergeDue) || len(a.spans) <= rangesPerSeat*len(a.seats) {
		return
	}
	a.mergeDue = now.Add(mergeEvery)
	kept := a.spans[:1]
	var joined []int
	for _, s := range a.spans[1:] {
		last := &kept[len(kept)-1]
		if last.Holder != s.Holder || !last.atRest() || !s.atRest() {
			kept = append(kept, s)
			continue
		}
		last.To, last.lapse = s.To, laterOf(last.lapse, s.lapse)
		if n := len(joined); n == 0 || joined[n-1] != len(kept)-1 {
			joined = append(joined, len(kept)-1)
		}
	}
	a.spans = kept
	for _, i := range joined {
		a.regrant(&a.spans[i])
	}
}

// atRest reports whether nothing is under way with the range.
func (s *span) atRest() bool {
	return s.Target != "" && s.acked && !s.busy && !s.Moving && !s.inherited
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
	seat := a.seats[s.Target]
	if seat == nil {
		return // there is nobody to ask; the grant lapses
	}
	s.releaseSent = true
	a.order(s, actions, Order{Kind: Release, Holder: s.Holder, Address: seat.target.Address, From: s.From, To: s.To, Token: s.fence})
}

func (a *Assigner) sendGrant(now time.Time, s *span, actions *Actions) {
	seat := a.seats[s.Target]
	if seat == nil {
		return
	}
	a.order(s, actions, Order{
		Kind: Grant, Holder: s.Holder, Address: seat.target.Address, From: s.From, To: s.To, Token: s.Token,
		Hold: a.holdFor(now, s, seat), Handover: s.handover, First: !s.firstSent,
	})
	s.firstSent = true
}

// holdFor is how long a grant is to last. To a holder that left an order unanswered it
// lasts no longer than what it may have already: each further try would else put off the
// moment from which its keys can be given to another.
func (a *Assigner) holdFor(now time.Time, s *span, seat *seat) time.Duration {
	hold := a.cfg.Hold
	if a.storeAway {
		hold = a.cfg.LongHold
	}
	if seat.failures == 0 || !s.acked {
		return hold
	}
	left := s.lapse.Sub(now) - lapseMargin
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

// Done tells how an order ended; now is after the last byte of it could arrive.
func (a *Assigner) Done(now time.Time, id uint64, outcome Outcome, handover string) {
	p, known := a.orders[id]
	delete(a.orders, id)
	if !known {
		return
	}
	i := a.find(p.from)
	s := &a.spans[i]
	s.busy = false
	a.noteSeat(now, s.Target, outcome)
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

func (a *Assigner) noteSeat(now time.Time, id string, outcome Outcome) {
	seat := a.seats[id]
	if seat == nil {
		return
	}
	if outcome != Unanswered {
		seat.failures, seat.lost, seat.answered = 0, false, now
		return
	}
	seat.failures++
	seat.lost = seat.lost || seat.failures >= failuresToLose && now.Sub(seat.answered) >= loseAfter
}

func (a *Assigner) released(now time.Time, s *span, outcome Outcome, handover string) {
	if !s.Moving {
		return // the holder was born anew meanwhile
	}
	if outcome == Accepted {
		a.free(s, handover)
		return
	}
	s.due = now.Add(releaseAgain)
}

func (a *Assigner) granted(now time.Time, s *span, p pending, outcome Outcome) {
	if lapse := now.Add(lapseAfter(p.hold)); outcome == Unanswered && lapse.After(s.lapse) {
		s.lapse = lapse
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
			s.inherited, s.lapse = false, now.Add(lapseAfter(a.cfg.LongHold))
		}
		s.lapse = laterOf(s.lapse, now.Add(lapseAfter(p.hold)))
		s.acked, s.fresh, s.handover, s.due = true, false, "", now.Add(a.cfg.Renew)
		if p.hold < a.cfg.Hold {
			s.due = now // a try that was short by intent, see holdFor; the target answers again
		}
	case Superseded:
		a.regrant(s)
	default:
		s.due = now.Add(retryOrder)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Begin starts a move that was decided on; it does nothing where the keys are moving
// already or their holder has changed.
func (a *Assigner) Begin(now time.Time, m Move) bool {
	i := a.find(m.From)
	s := &a.spans[i]
	if a.storeAway || s.Moving || s.busy || s.Target == "" || s.Target == m.Target || m.To > s.To || !a.seats[m.Target].takes() {
		return false
	}
	a.carve(i, m.From, m.To)
	a.beginMove(now, &a.spans[a.find(m.From)], m.Target, false)
	return true
}

// carve makes a span of its own of the keys.
func (a *Assigner) carve(i int, from, to keyspace.Key) {
	whole := a.spans[i]
	var parts []span
	if whole.From < from {
		left := whole
		left.To = from - 1
		parts = append(parts, left)
	}
	middle := whole
	middle.From, middle.To = from, to
	parts = append(parts, middle)
	if to < whole.To {
		right := whole
		right.From = to + 1
		parts = append(parts, right)
	}
	a.spans = append(a.spans[:i], append(parts, a.spans[i+1:]...)...)
}

// Moving is the number of ranges that are being moved.
func (a *Assigner) Moving() int {
	n := 0
	for i := range a.spans {
		if a.spans[i].Moving {
			n++
		}
	}
	return n
}
