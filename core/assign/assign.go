// Package assign decides which target holds which keys of a service. One router at a time, the
// leader, runs it. Each decision is in the store before the orders that follow from it are
// sent, so that a leader that was superseded can't act on an assignment that is no longer
// valid.
//
// A key never has two holders, because:
//
//   - A key leaves its holder only when the holder has acknowledged a release, when a new
//     instance of the holder, which holds nothing, has started, when another target has
//     answered at the holder's address, so that the holder has ended, or when every grant
//     that may have reached the holder has expired. Entries of targets in the store show
//     none of these: others may write them.
//   - A release carries a higher token than the grant, so that an older renewal that arrives
//     after it is refused. The next grant carries a higher token than the release.
//   - A new leader first grants all keys again, to the same holders under new tokens. Once a
//     holder has accepted, it refuses whatever the old leader still sends, until it starts
//     again. A holder that doesn't answer, or that has started again, may be renewed by the old
//     leader until that leader must stop sending orders; only then do its grants start to
//     expire, and only a release that is sent after that frees keys.
//
// The package is deterministic: Step takes the time as a parameter, messages arrive as method
// calls, and orders and writes are returned as values.
package assign

import (
	"slices"
	"time"

	"tarragongw/core/keyspace"
	"tarragongw/core/linkbudget"
)

// Defaults of Config.
const (
	// DefaultGrantTTL bounds how long keys stay with a holder that has become unreachable. It is
	// long enough for another router to take over as leader first: 1.2 s for the leader's
	// lease to expire, and half a second for a renewal.
	DefaultGrantTTL = 2 * time.Second
	// DefaultRenewInterval allows for two lost renewals.
	DefaultRenewInterval = 500 * time.Millisecond
	// maxClockDrift is the fraction by which a holder's clock may run slow, so that its grant
	// lasts longer.
	maxClockDrift = 0.02
	// expiryMargin covers the transit time of an order whose connection has ended.
	expiryMargin = 100 * time.Millisecond
	// LateArrivalBound is how long after its timeout an order may still arrive, because it waits in
	// the queue of a full link. VMs with 10 Mbit/s held bytes back for more than half a
	// second; a grant that arrived that late was still held when its keys had already gone to
	// another target.
	LateArrivalBound = 600 * time.Millisecond
	// answerTimeout is after how long without an answer a grant is Unanswered at the latest.
	answerTimeout = 400 * time.Millisecond
	// minFailures is how many orders in a row must fail before a holder counts as unreachable,
	// and unreachableAfter how long ago its last answer must be. Single orders fail through
	// broken connections or time out, and with many ranges three of them often fail at the
	// same moment.
	minFailures      = 3
	unreachableAfter = 700 * time.Millisecond
	// commonCauseAfter replaces unreachableAfter while at least commonCauseShare of the holders, and
	// minCommonCause of them, don't answer: the cause may then be at this router, and another one may
	// still take over before the grants expire.
	commonCauseAfter = 1600 * time.Millisecond
	commonCauseShare = 0.5
	minCommonCause   = 2
	// grantRetryDelay is the pause after a failed grant. It grows with each further failure of
	// the same target up to maxGrantRetryDelay, because a data centre that is cut off has the
	// leader retry hundreds of ranges.
	grantRetryDelay    = 50 * time.Millisecond
	maxGrantRetryDelay = 400 * time.Millisecond
	// mergeThreshold is the number of ranges per target above which neighbouring ranges are
	// merged, and mergeInterval the least time between two rounds of merging.
	mergeThreshold = 3
	mergeInterval  = 2 * time.Second
	// placementQuietPeriod is how long after the last new target the keys of a new service are
	// assigned, and maxPlacementDelay the longest time after the first target.
	placementQuietPeriod = 1200 * time.Millisecond
	maxPlacementDelay    = 4 * time.Second
	// releaseRetryDelay is the pause between releases to a holder that doesn't answer. It
	// grows with each failure up to maxReleaseRetryDelay. A release that reaches the holder
	// saves waiting for its grants to expire.
	releaseRetryDelay    = 250 * time.Millisecond
	maxReleaseRetryDelay = time.Second
	// probeDelay is the pause between two probes of a target that holds no keys because it did not
	// answer orders. It grows with each failure up to maxProbeDelay. maxProbes bounds the probes in
	// flight.
	probeDelay    = 250 * time.Millisecond
	maxProbeDelay = time.Second
	maxProbes     = 8
)

// Config holds the durations that the assignment uses, and what is known of the store.
// GrantTTL, OutageGrantTTL and RenewInterval have defaults.
type Config struct {
	// GrantTTL is the shortest usual TTL of a grant, see SetWorkTime, and OutageGrantTTL its TTL while the store is
	// unreachable, when no other router could take over; no grant has a longer one.
	GrantTTL, OutageGrantTTL time.Duration
	// RenewInterval is the time between two renewals of a grant.
	RenewInterval time.Duration
	// OldLeaderBound bounds for how long after the takeover another leader may still send orders.
	OldLeaderBound time.Duration
	// Era is the store era, see Assigner.StoreRestored.
	Era uint32
	// TableOutdated reports whether the store may have lost writes of a former leader. The holders
	// in its table may then be wrong, and no key is granted until everything that the former
	// leader may have granted has expired.
	TableOutdated bool
	// EvacuateWithin is the time after which targets of an evacuated data centre get no requests any more.
	EvacuateWithin time.Duration
	// SpareCold says that cold targets bear fewer requests than others.
	SpareCold bool
	// WriteInterval is the least time between two writes of the table. If it is zero, only the
	// duration of each write limits the rate.
	WriteInterval time.Duration
	// OrderBudget bounds the orders of all assigners that share it; nil if there is no bound.
	OrderBudget *linkbudget.Bucket
}

func (c Config) withDefaults() Config {
	if c.GrantTTL <= 0 {
		c.GrantTTL = DefaultGrantTTL
	}
	if c.OutageGrantTTL < c.GrantTTL {
		c.OutageGrantTTL = c.GrantTTL
	}
	if c.RenewInterval <= 0 {
		c.RenewInterval = DefaultRenewInterval
	}
	return c
}

// Kind is the kind of an order.
type Kind uint8

// Kinds of orders.
const (
	Grant Kind = iota
	Release
	// Probe orders nothing; it shows whether a target without keys answers.
	Probe
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Release:
		return "release"
	case Probe:
		return "probe"
	default:
		return "grant"
	}
}

// Order is an order to a target to take keys or to give them up, or a probe.
type Order struct {
	ID       uint64
	Kind     Kind
	Holder   keyspace.Holder
	Address  string
	From, To keyspace.Key
	Token    uint64
	// TTL is the TTL of the grant, counted from its arrival. Handover is the data that the
	// previous holder returned with its release.
	TTL      time.Duration
	Handover string
	// First reports whether this is the first grant of the keys under this token, and ForOutage whether its TTL is longer
	// than grants usually have, because the store is unreachable.
	First, ForOutage bool
	// HealthPath is the path of the service's health check, for probes; empty if it has none.
	HealthPath string
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Accepted orders were answered and are in effect.
	Accepted Outcome = iota
	// Superseded grants were refused because the target has seen a higher token.
	Superseded
	// NotSent orders never left this router.
	NotSent
	// Broken orders may have been carried out. Their connection has ended, so that they can't
	// arrive later.
	Broken
	// Unanswered orders timed out. They may have been carried out, or may still arrive.
	Unanswered
	// AddressTaken orders were answered by another target, which has the holder's address. A target gets the address of
	// another one only after that has ended.
	AddressTaken
)

// answered reports whether the target answered.
func (o Outcome) answered() bool { return o == Accepted || o == Superseded }

// maxLateArrival is how long after this outcome the order may still arrive.
func (o Outcome) maxLateArrival() time.Duration {
	if o == Unanswered {
		return LateArrivalBound
	}
	return 0
}

// String returns the name used in logs.
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
	case AddressTaken:
		return "address-taken"
	default:
		return "unanswered"
	}
}

// Write is a table to be written to the store.
type Write struct {
	Generation uint64
	Table      *keyspace.Table
}

// Actions is the result of Step: what the caller of Step must do.
type Actions struct {
	Orders []Order
	// Freed are the keys that have lost their holder since the last step.
	Freed []Freed
	// Write is nil if there is nothing to write or a write is in flight.
	Write *Write
	// Next is when Step must run again.
	Next time.Time
}

// Move is a decision to give keys to another target.
type Move struct {
	From, To keyspace.Key
	Target   string
}

// span is a segment of the table with the leader's state for it.
type span struct {
	keyspace.Segment
	// generation is the first write of the table that contains the segment in its present
	// state.
	generation uint64
	// acked reports whether the holder has accepted the grant under the current token.
	acked bool
	// nextTarget is the target that the keys move to. If it is empty, the target is chosen
	// once the keys have no holder.
	nextTarget string
	// releaseToken is the token of the release.
	releaseToken uint64
	handover     string
	// expiry is when the last grant that may have reached the holder has expired. A target
	// keeps to the longest of the TTLs that it was granted, whatever came after.
	expiry time.Time
	// oldLeaderExpiry is when the last grant of another leader has expired. The later of
	// expiry and oldLeaderExpiry counts.
	oldLeaderExpiry time.Time
	// inherited reports whether another leader may have granted the keys to the holder, which
	// has not accepted a grant of this leader yet.
	inherited bool
	// orderInFlight reports whether an order is in flight, orderID which, nextOrderAt when the next may be
	// sent.
	orderInFlight bool
	orderID       uint64
	nextOrderAt   time.Time
	// newHolder reports whether the holder did not have the keys before, so that it refuses
	// requests for them until it has accepted the grant.
	newHolder bool
	// grantSent reports whether a grant was sent under the current token, and releaseSent
	// whether the holder was ordered to release the keys.
	grantSent, releaseSent bool
	// unreleasedBy is the last holder, if it left an order to release the keys without an answer: it may carry that out
	// seconds later, and it refuses no release.
	unreleasedBy string
}

// lastExpiry is when every grant that may have reached the holder has expired.
func (s *span) lastExpiry() time.Time { return laterOf(s.expiry, s.oldLeaderExpiry) }

// Assigner assigns the keys of one service. It is not safe for concurrent use.
type Assigner struct {
	cfg        Config
	service    string
	nextToken  uint64
	era        uint32
	spans      []span
	candidates map[string]*candidate
	// departed are the holders that are no longer known.
	departed map[keyspace.Holder]*candidate
	// ended are the holders whose address is another target's.
	ended       map[keyspace.Holder]bool
	loadTracker *LoadTracker
	// keyLimits are the hot keys of which only part of the requests is served.
	keyLimits map[keyspace.Key]keyLimit

	grantTimes grantTimes

	// generation counts changes of the table. sentGeneration is the last one sent to the
	// store, and writtenGeneration the last one known to be stored.
	generation, sentGeneration, writtenGeneration uint64
	writeInFlight                                 bool
	// nextWriteAt is the earliest time of the next write of the table.
	nextWriteAt      time.Time
	storeUnreachable bool

	pendingOrders map[uint64]pendingOrder
	// freed are those of the next Actions.
	freed       []Freed
	lastOrderID uint64
	// nextMergeAt is the earliest time of the next round of merging.
	nextMergeAt time.Time

	// oldLeaderUntil is until when former leaders may send orders. A target that starts again before that knows no token by
	// which to refuse them, whatever it has accepted or released before.
	oldLeaderUntil time.Time
	// noPlacementBefore is when all grants of a former leader whose table was lost have
	// expired.
	noPlacementBefore time.Time

	// neverPlaced reports whether no key has had a holder in this term or when it began. firstTargetAt is when the
	// first target was seen, and lastTargetAt when the latest new one was.
	neverPlaced                 bool
	firstTargetAt, lastTargetAt time.Time
}

// TakeOver returns the assigner of a new leader, with the assignment of the stored table;
// table is nil if there is none yet.
func TakeOver(now time.Time, cfg Config, service string, table *keyspace.Table) *Assigner {
	a := &Assigner{
		cfg: cfg.withDefaults(), service: service, candidates: map[string]*candidate{}, departed: map[keyspace.Holder]*candidate{}, loadTracker: NewLoadTracker(),
		pendingOrders: map[uint64]pendingOrder{}, ended: map[keyspace.Holder]bool{},
	}
	if table == nil {
		table = keyspace.New(service)
	}
	a.neverPlaced = !slices.ContainsFunc(table.Segments, func(s keyspace.Segment) bool { return s.Target != "" })
	a.grantTimes = newGrantTimes(&a.cfg, table.LongestTTL)
	a.nextToken = table.NextToken
	a.raiseNextToken(cfg.Era)
	a.generation = 1
	if cfg.TableOutdated {
		a.noPlacementBefore = now.Add(a.cfg.OldLeaderBound + expiresAfter(a.cfg.OutageGrantTTL))
	}
	if !a.neverPlaced {
		a.oldLeaderUntil = now.Add(a.cfg.OldLeaderBound)
	}
	oldLeaderExpiry := now.Add(a.cfg.OldLeaderBound + expiresAfter(a.cfg.OutageGrantTTL))
	token := a.takeToken()
	for _, segment := range table.Segments {
		segment.Moving, segment.HolderUnreachable = false, false
		sp := span{Segment: segment, generation: a.generation}
		switch {
		case segment.Target != "" && cfg.TableOutdated:
			sp.Holder, sp.Token, sp.nextTarget = keyspace.Holder{}, 0, segment.Target
		case segment.Target != "":
			sp.Token, sp.oldLeaderExpiry, sp.inherited = token, oldLeaderExpiry, true
		}
		a.spans = append(a.spans, sp)
	}
	return a
}

// expiresAfter is the time after which a grant sent now has certainly expired.
func expiresAfter(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*maxClockDrift) + expiryMargin
}

func (a *Assigner) takeToken() uint64 {
	a.nextToken++
	return a.nextToken - 1
}

// eraShift is the number of low bits of a token that count within one store era. The era is in
// the bits above, so that tokens issued in an earlier era and lost with a restore are always
// lower.
const eraShift = 40

// raiseNextToken makes the next token higher than all tokens of earlier eras.
func (a *Assigner) raiseNextToken(era uint32) {
	a.era = max(a.era, era)
	a.nextToken = max(a.nextToken, uint64(a.era)<<eraShift)
}

// StoreRestored records that the store was restored from an older copy and is now in the given era.
// The stored table is older than the orders sent, and is written again; grants continue as
// during an outage of the store.
func (a *Assigner) StoreRestored(era uint32) {
	a.raiseNextToken(era)
	a.generation = max(a.generation, a.sentGeneration) + 1
}

// Load returns the tracker of the keys' load.
func (a *Assigner) Load() *LoadTracker { return a.loadTracker }

// Service returns the name of the service.
func (a *Assigner) Service() string { return a.service }

// SetStoreUnreachable records whether the store is unreachable. Grants then have the longer TTL.
func (a *Assigner) SetStoreUnreachable(away bool) { a.storeUnreachable = away }
