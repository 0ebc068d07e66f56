package spread

import (
	"math/rand/v2"
	"time"

	"tarragongw/core/schedule"
)

// Core is the state machine of one router. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	self        string
	dc          string
	incarnation uint64
	rnd         *rand.Rand
	now         time.Time
	actions     []Action

	table     *table
	members   Members
	trees     map[string][]string
	outboxes  []outbox
	lastFlush time.Time

	watching    bool
	storeUp     bool
	storeSeq    uint64
	storeStates map[string]storeState
	recentSums  sumHistory
	repairDue   time.Time
	digestDue   time.Time
	remoteDue   time.Time
	join        join
	limiter     changeLimiter
	// requestedAt is when the full record of a key, by hash, was last requested because a
	// patch could not be applied.
	requestedAt map[uint64]time.Time
	// lastNotice is the last notice of each router that announces.
	lastNotice map[string]noticeID
	noticeSeq  uint64
	// questions are those for which this router collects the answers of its subtree.
	questions []*question
}

// storeState is a watcher's last report of whether it reaches the store.
type storeState struct {
	incarnation, seq uint64
	down             bool
}

// New returns the core of the router self of data centre dc. incarnation is its incarnation. The
// caller must seed rnd and not use it elsewhere.
func New(cfg Config, self, dc string, incarnation uint64, rnd *rand.Rand) *Core {
	return &Core{
		cfg: cfg, self: self, dc: dc, incarnation: incarnation, rnd: rnd,
		table:       newTable(cfg.Groups),
		trees:       map[string][]string{},
		storeStates: map[string]storeState{},
		lastNotice:  map[string]noticeID{},
		requestedAt: map[uint64]time.Time{},
		limiter:     changeLimiter{passedAt: map[string]time.Time{}},
		storeUp:     true,
	}
}

// Step applies one event at the time now and returns the actions to be done, in order. A time
// before that of the previous event counts as that time.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	if c.now.IsZero() {
		c.digestDue = now.Add(c.jitter(c.cfg.DigestInterval))
		c.remoteDue = now.Add(c.jitter(c.cfg.RemoteDigestInterval))
	}
	if now.After(c.now) {
		c.now = now
	}
	switch e := event.(type) {
	case Tick:
		c.runTimers()
	case Members:
		c.setMembers(e)
	case FromStore:
		c.fromStore(&e)
	case StoreReached:
		c.storeReached(e.Up)
	case Received:
		c.receive(e.From, &e.Message)
	case PatchesUnsupported:
		c.sendFullRecords(e.To, &e.Message)
	case Announce:
		c.announce(e.Value)
	case AskAll:
		c.askAll(e.Seq)
	case Answer:
		c.answer(&e)
	}
	c.flush()
	return c.actions
}

func (c *Core) runTimers() {
	c.tickJoin()
	c.repairDigests()
	c.expireQuestions()
	c.releaseDelayed()
	if schedule.Due(&c.digestDue, c.now, c.cfg.DigestInterval) {
		c.sendDigest(c.randomHome())
	}
	if schedule.Due(&c.remoteDue, c.now, c.cfg.RemoteDigestInterval) && c.watching {
		c.sendDigest(c.randomRemote())
	}
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(d) + 1))
}

func (c *Core) send(to string, m Message) {
	if to == "" || to == c.self {
		return
	}
	c.actions = append(c.actions, Send{To: to, Message: m})
}

// Revision returns the highest revision held, of any key.
func (c *Core) Revision() uint64 { return c.table.max }

// Digest returns the digest of all records: equal digests mean equal records.
func (c *Core) Digest() uint64 { return c.table.sum }

// Size returns the number of records held and their bytes.
func (c *Core) Size() (entries, bytes int) { return len(c.table.byKey), c.table.bytes }

// Entry returns the record of key.
func (c *Core) Entry(key string) (Entry, bool) {
	h := c.table.byKey[key]
	if h == nil {
		return Entry{}, false
	}
	return h.Entry, true
}

// Entries returns all records whose key has the prefix, in order of key.
func (c *Core) Entries(prefix string) []Entry {
	list := c.table.sorted("", prefix)
	out := make([]Entry, len(list))
	for i, h := range list {
		out[i] = h.Entry
	}
	return out
}

// Watching reports whether this router has to watch the store.
func (c *Core) Watching() bool { return c.watching }

// Joined reports whether this router has a complete view.
func (c *Core) Joined() bool { return c.join.done }
