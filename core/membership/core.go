package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/schedule"
)

// Core is the membership state machine of one router. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	self *record
	rnd  *rand.Rand
	// start is the time of the first event.
	start time.Time
	now   time.Time
	out   []Action

	dcs    []*dataCentre
	byName map[string]*record
	home   *dataCentre

	watches        []*watch
	observers      []*record
	indirectProbes []indirectProbe
	suspects       []*record
	repeatQueue    []queuedUpdate
	pushQueue      []Update

	health          health
	links           links
	timers          timers
	recentLossTimes []time.Time
	seq             uint64
	pushedAt        time.Time
	left            bool
	// listAt is when this router last read the platform's VM list itself, and noticeAt is
	// when the newest list that another router passed on was read; both by this router's
	// clock.
	listAt, noticeAt time.Time
	// viewRequested says that this router has asked another one for the whole view.
	viewRequested bool
	summaries     int
	outboundQueue []Update
	view          *View
}

// timers holds the times at which the periodic tasks are next due.
type timers struct {
	heartbeat, sync, summary, heal, outbound, second time.Time
}

// dataCentre is this router's view of one data centre.
type dataCentre struct {
	name string
	// members is sorted by name.
	members []*record
	// ring holds the members that observe each other, sorted by ringHash. It is kept only
	// for the router's own data centre.
	ring []*record
	sum  uint64
	// sumChanged is when sum last changed.
	sumChanged time.Time
	live       int
	isolated   int
	// lastHeard is when a router of this data centre was last heard, if it is not the
	// router's own, and firstExpected is when this router first expected to hear one.
	lastHeard     time.Time
	firstExpected time.Time
	// reps and cachedView are derived from the members. They are rebuilt if reps is nil or
	// dirty is set.
	reps       []string
	cachedView *dcView
	dirty      bool
}

// New returns the core of the router self. The caller must seed rnd and not use it for
// anything else.
func New(cfg Config, self Member, rnd *rand.Rand) *Core {
	c := &Core{cfg: cfg, rnd: rnd, byName: map[string]*record{}}
	c.self = &record{Member: self, ringHash: xxhash.Sum64String(self.Name)}
	c.home = c.dataCentre(self.DataCentre)
	c.byName[self.Name] = c.self
	c.insert(c.self)
	c.setState(c.self, Alive)
	return c
}

// Step applies one event at the time now and returns the actions to carry out, in order.
// now must come from a clock that counts suspension; a time before that of the previous
// call counts as the previous time.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.out = nil
	if c.start.IsZero() {
		c.startTimers(now)
	}
	if now.After(c.now) {
		c.now = now
	}
	c.handle(event)
	c.sendPushQueue()
	return c.out
}

// startTimers spreads the periodic tasks over their intervals, so that routers that start
// together do not act at the same time.
func (c *Core) startTimers(now time.Time) {
	c.start, c.now = now, now
	c.timers.heartbeat = now.Add(c.jitter(c.cfg.Heartbeat))
	c.timers.sync = now.Add(c.jitter(c.cfg.SyncEvery))
	c.timers.summary = now.Add(c.jitter(c.cfg.SummaryEvery))
	c.timers.heal = now.Add(c.jitter(c.cfg.HealEvery))
	c.timers.outbound = now
	c.timers.second = now.Add(time.Second)
	c.health.lastExternalContact = now
	c.health.lastPeerHeard = now
	c.self.lastHeard = now
	c.self.stateChanged = now
	c.home.sumChanged = now
}

func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(e.From, &e.Message)
	case Listed:
		c.receiveVMList(e.VMs)
	case NoticeReceived:
		c.receiveNotice(&e)
	case SendFailed:
		c.sendFailed(e.To)
	case ExternalContact:
		c.health.lastExternalContact = c.now
	case RevisionInForce:
		c.setRevision(e.Revision)
	case Leave:
		c.leave(e.Leaving)
	case NewerInstance:
		c.newerInstance(e.Incarnation)
	}
}

// tick runs everything that depends on time alone.
func (c *Core) tick() {
	c.detectSuspension()
	c.detectCutOff()
	c.checkHealth()
	if schedule.Due(&c.timers.heartbeat, c.now, c.cfg.Heartbeat) {
		c.sendHeartbeats()
	}
	c.observeAll()
	c.runIndirectProbes()
	if schedule.Due(&c.timers.sync, c.now, c.cfg.SyncEvery) {
		c.sendDigest()
	}
	if schedule.Due(&c.timers.summary, c.now, c.cfg.SummaryEvery) {
		c.sendSummaries()
	}
	if schedule.Due(&c.timers.heal, c.now, c.cfg.HealEvery) {
		c.pingUnreachable()
	}
	if schedule.Due(&c.timers.outbound, c.now, c.cfg.Heartbeat) {
		c.flushOutbound()
	}
	if schedule.Due(&c.timers.second, c.now, time.Second) {
		c.expire()
	}
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(d) + 1))
}

// setRevision records the configuration revision that this router has in force. An older
// revision is ignored.
func (c *Core) setRevision(revision uint64) {
	if revision <= c.self.revision {
		return
	}
	c.self.revision = revision
	c.self.revisionSince = c.now
}

// leave announces a planned stop. The announcement is pushed to several routers at once,
// since this router will not be running to repeat it.
func (c *Core) leave(leaving bool) {
	c.self.leaving = true
	c.left = c.left || !leaving
	c.raiseVersion()
	update := c.self.update()
	if c.left {
		update.State = Left
	}
	c.enqueue(update)
}

// raiseVersion raises the version of this router's own record, which supersedes all claims
// about earlier versions.
func (c *Core) raiseVersion() {
	before := c.self.digest()
	c.self.version++
	c.recordChanged(c.self, before)
}

// send adds a message to the actions and fills in this router's own state.
func (c *Core) send(to string, m Message) {
	m.Version = c.self.version
	m.HearsNobody = c.health.cutOff
	m.Leaving = c.self.leaving
	c.out = append(c.out, Send{To: to, Message: m})
}

// dataCentre returns the data centre with the name and creates it if it does not exist.
func (c *Core) dataCentre(name string) *dataCentre {
	i, ok := slices.BinarySearchFunc(c.dcs, name, func(d *dataCentre, n string) int {
		return strings.Compare(d.name, n)
	})
	if ok {
		return c.dcs[i]
	}
	d := &dataCentre{name: name, dirty: true}
	c.dcs = slices.Insert(c.dcs, i, d)
	c.view = nil
	return d
}
