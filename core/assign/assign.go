// Package assign decides which target holds which keys of a service. One router at a
// time, the leader, runs it; what it decides is in the store before it is ordered, so that
// a leader that was superseded can't act on a division that no longer holds.
//
// How it keeps a key from having two holders:
//
//   - A key leaves its holder only by a release that the holder has answered, by the
//     holder's next life, which knows of nothing, once the holder is known to have ended,
//     or once every grant that may have reached it has lapsed.
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
	// lapseMargin covers the way of an order whose connection has ended.
	lapseMargin = 100 * time.Millisecond
	// WireDelay is for how long after it was given up an order may still arrive, from what
	// waits before it in the queue of a full link. VMs of 10 Mbit/s were seen to hold bytes
	// back by half a second and more; a grant that came that late was held beyond the time
	// at which its keys went to another target.
	WireDelay = 600 * time.Millisecond
	// failuresToLose is how many orders in a row have to fail before a holder counts as
	// lost, and loseAfter how long ago it must have answered: single orders meet broken
	// connections or are left unanswered, and with many ranges three of them soon do at
	// one moment.
	failuresToLose = 3
	loseAfter      = 700 * time.Millisecond
	// retryOrder is the pause after an order that failed, which grows with each further
	// failure of its target up to maxRetryOrder: a data centre that is cut off has the
	// leader try some hundred ranges.
	retryOrder    = 50 * time.Millisecond
	maxRetryOrder = 400 * time.Millisecond
	// rangesPerTarget is the number of ranges for each target above which neighbours are
	// merged, and mergeEvery how often.
	rangesPerTarget = 3
	mergeEvery      = 2 * time.Second
	// gatherPause is how long after the last new target a new service's keys are given out,
	// and gatherMost how long after the first at the latest.
	gatherPause = 1200 * time.Millisecond
	gatherMost  = 4 * time.Second
	// releaseAgain is the pause between releases to a holder that doesn't answer, which grows
	// likewise up to maxReleaseAgain; each may find it back and save waiting for the lapse.
	releaseAgain    = 250 * time.Millisecond
	maxReleaseAgain = time.Second
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
	// Era is that of the store, see Assigner.Restored.
	Era uint32
	// Outdated says that the store may have lost what a former leader wrote: the table's holders
	// may be wrong, and no key is granted before all that that one may have granted has lapsed.
	Outdated bool
	// WriteInterval is the least time between two writes of the table; zero bounds it by
	// the writes' own time.
	WriteInterval time.Duration
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
	// NotSent orders never left this router.
	NotSent
	// Broken orders may have been carried out; their connection has ended, so that they
	// can't arrive later.
	Broken
	// Unanswered orders were given up; they may have been carried out, or may arrive yet.
	Unanswered
)

// known reports whether the target answered.
func (o Outcome) known() bool { return o == Accepted || o == Superseded }

// late is for how long after an order has ended so it may still arrive.
func (o Outcome) late() time.Duration {
	if o == Unanswered {
		return WireDelay
	}
	return 0
}

// String returns the name as it is logged.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Superseded:
		return "superseded"
	case NotSent:
		return "not-sent"
	case Broken:
		return "broken"
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
	// oldLapse is when the last grant of another leader has lapsed; it counts beside lapse.
	oldLapse time.Time
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

// lapsed is when no grant that may have reached the holder lasts any more.
func (s *span) lapsed() time.Time { return laterOf(s.lapse, s.oldLapse) }

// Assigner holds the keys of one service. It is not safe for concurrent use.
type Assigner struct {
	cfg        Config
	service    string
	nextToken  uint64
	era        uint32
	spans      []span
	candidates map[string]*candidate
	// ended has the lives of targets that are over for certain.
	ended map[keyspace.Holder]bool
	load  *LoadTracker
	// limits are the keys of which just a part of the requests is served.
	limits map[keyspace.Key]keyLimit

	// generation counts changes to the table, sent and written those in the store.
	generation, sent, written uint64
	writing                   bool
	// writeDue is when the table may be written next.
	writeDue  time.Time
	storeAway bool

	orders  map[uint64]pending
	orderID uint64
	// mergeDue is when ranges may be merged next.
	mergeDue time.Time

	// freeUntil is when all that a former leader may have granted under a table that was lost
	// has lapsed.
	freeUntil time.Time

	// unborn says that no key has ever had a holder; since is when the first target was
	// seen, and grown when the last was.
	unborn       bool
	since, grown time.Time
}

// TakeOver returns the assignment for a new leader, from the table that the store has;
// nil where there is none yet.
func TakeOver(now time.Time, cfg Config, service string, table *keyspace.Table) *Assigner {
	a := &Assigner{
		cfg: cfg.withDefaults(), service: service, candidates: map[string]*candidate{}, load: NewLoadTracker(),
		orders: map[uint64]pending{},
	}
	if table == nil {
		table = keyspace.New(service)
		a.unborn = true
	}
	a.nextToken = table.NextToken
	a.raise(cfg.Era)
	a.generation = 1
	if cfg.Outdated {
		a.freeUntil = now.Add(a.cfg.OldLeader + lapseAfter(a.cfg.LongHold))
	}
	inherited := now.Add(a.cfg.OldLeader + lapseAfter(a.cfg.LongHold))
	token := a.takeToken()
	for _, s := range table.Segments {
		s.Moving, s.Lost = false, false
		n := span{Segment: s, generation: a.generation}
		switch {
		case s.Target != "" && cfg.Outdated:
			n.Holder, n.Token, n.next = keyspace.Holder{}, 0, s.Target
		case s.Target != "":
			n.Token, n.oldLapse, n.inherited = token, inherited, true
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

// tokenShift is how many bits of a token count within an era of the store. The era stands above
// them: tokens that were given out and forgotten in an earlier one are lower.
const tokenShift = 40

// raise has tokens begin above those of earlier eras.
func (a *Assigner) raise(era uint32) {
	a.era = max(a.era, era)
	a.nextToken = max(a.nextToken, uint64(a.era)<<tokenShift)
}

// Restored notes that the store has come back from an older copy, in an era. Its table is
// older than what is ordered, and is written again; grants go on as in an outage.
func (a *Assigner) Restored(era uint32) {
	a.raise(era)
	a.generation = max(a.generation, a.sent) + 1
}

// Load returns what is known of the keys' load.
func (a *Assigner) Load() *LoadTracker { return a.load }

// Service is the name of the service.
func (a *Assigner) Service() string { return a.service }

// SetStoreAway notes whether the store is not reached: grants then last longer.
func (a *Assigner) SetStoreAway(away bool) { a.storeAway = away }
