package confirm

import (
	"cmp"
	"slices"
	"time"
)

// Core is the protocol state of one router, both as asker and as relay. It is not safe for
// concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	actions []Action

	// order lists the routers that this one asks, first choice first; see choose.
	order    []string
	suspects map[string]suspicion
	// lossyFailures records the routers whose replies were lost on the lossy transport.
	lossyFailures map[string]suspicion
	// lastSequence is the number of the last question.
	lastSequence uint64
	// questions are waiting for a reply of their relay.
	questions []*question
	// known holds the last record seen of each target.
	known          map[string]knownRecord
	fallbackTokens tokenBucket
	// probeAt is the earliest time at which this router may next probe a store that a relay is
	// waiting for.
	probeAt time.Duration

	// queued are the questions for the next list call, calls the list calls in flight.
	queued []*waiter
	calls  []*listCall
	// lastListID is the number of the last list call, which was sent at lastListAt.
	lastListID uint64
	lastListAt time.Duration
	// sharedCallAt is when the last shared call was sent, the one in each interval that all
	// askers should share; see align.
	sharedCallAt time.Duration
	// lastRemoteQuestionAt is when the last question of another router was received.
	lastRemoteQuestionAt time.Duration
	stats                Stats
}

// Stats counts events since the core was created.
type Stats struct {
	// Relayed counts the records that another router read for this one, Own those that this
	// router read itself.
	Relayed, Own uint64
	// Lists counts the list calls of this router, Served the questions of other routers that
	// they answered.
	Lists, Served uint64
	// Fallbacks counts the questions that this router took to the store itself, by cause.
	Fallbacks [causeCount]uint64
	// Limited counts the questions that were dropped because the limit on fallbacks was
	// reached.
	Limited uint64
}

// Cause says why a router read the store itself.
type Cause uint8

// The causes.
const (
	// Silent: the relay didn't reply in time.
	Silent Cause = iota
	// Refused: the relay couldn't read.
	Refused
	// Lost: the relay is no longer among the live routers.
	Lost
	// NoRelay: all routers that may be asked failed recently.
	NoRelay
	// Waiting: the relay is waiting for the store; the read tells whether the store is slow.
	Waiting
	causeCount
)

// String returns the name used in metrics.
func (c Cause) String() string {
	return [causeCount]string{"silent", "refused", "lost", "no_relay", "waiting"}[c]
}

// Causes returns all causes.
func Causes() []Cause { return []Cause{Silent, Refused, Lost, NoRelay, Waiting} }

// knownRecord is the last record that this router has seen of a target.
type knownRecord struct {
	Record
	askedAt time.Duration
}

// New returns the core of a router that knows no other router yet.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg.withDefaults(), suspects: map[string]suspicion{}, lossyFailures: map[string]suspicion{}, known: map[string]knownRecord{}}
	c.lastListAt, c.sharedCallAt, c.lastRemoteQuestionAt = -c.cfg.listSpacing(), -2*c.cfg.Interval, -c.cfg.staleAfter()
	c.fallbackTokens.tokens = fallbackBurst
	c.setMembers(Members{})
	return c
}

// Stats returns the counts.
func (c *Core) Stats() Stats { return c.stats }

// Relay returns the router that this one asks now. It returns this router's own name if it is
// a relay itself, and an empty string if all routers that may be asked failed recently.
func (c *Core) Relay() string { return c.choose() }

// Step handles one event and returns the actions to be done. now must not go back.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.now, c.actions = now, nil
	switch e := e.(type) {
	case Members:
		c.setMembers(e)
	case Asked:
		c.ask(e.Reads)
	case Received:
		c.receive(e)
	case Listed:
		c.receiveList(e)
	}
	c.expireQuestions()
	c.serveQueued()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Wake returns the time from now within which the shell must send the next Tick.
func (c *Core) Wake(now time.Duration) time.Duration {
	next := now + time.Hour
	for _, q := range c.questions {
		next = min(next, q.deadline)
	}
	if len(c.queued) > 0 && len(c.calls) < maxLists {
		next = min(next, c.nextListAt())
	}
	next = min(next, c.nextPendingAt(next))
	for _, l := range c.calls {
		next = min(next, l.sentAt+c.cfg.staleAfter())
		if c.canHedge(l) {
			next = min(next, l.sentAt+c.cfg.hedgeDelay())
		}
	}
	return max(next-now, time.Millisecond)
}

// find returns the target's record in a list that is sorted by target.
func find(records []Record, target string) Record {
	i, ok := slices.BinarySearchFunc(records, target, func(r Record, t string) int { return cmp.Compare(r.Target, t) })
	if !ok {
		return Record{Target: target}
	}
	return records[i]
}
