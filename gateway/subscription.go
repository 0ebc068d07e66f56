package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

const (
	// configPause is kept between a change and the next watch, see watcher.pause;
	// configurations change seldom, at times in a storm.
	configPause = 100 * time.Millisecond
	// leaderPause is that of the leader's record, and subscribePause where that names a
	// leader: time enough to subscribe to it before the record is asked for again.
	leaderPause    = 20 * time.Millisecond
	subscribePause = 400 * time.Millisecond
	// routersPause is that of the routers' records, of which just the number counts.
	routersPause = 500 * time.Millisecond
	// targetsPause is that of the targets, which write every second or so. A leaving target
	// must get no new work within two seconds, of which the way to the followers and the
	// search for a lost leader take one.
	targetsPause = 500 * time.Millisecond
	// tablesPause is short, because keys that move wait for it.
	tablesPause = 15 * time.Millisecond
	// maxRestingWait is the longest wait of a watch for what changes seldom, and
	// restingShare the part of the store's history that it may take: a watch that waits
	// for longer than the store keeps history has to list everything again. Each wait is
	// shortened by up to restingJitter of it, so that routers don't ask all at once.
	maxRestingWait = 24 * time.Second
	restingShare   = 0.6
	restingJitter  = 0.25
	// targetsWait is shorter: the leader must know whether it still hears from the store.
	targetsWait = 400 * time.Millisecond
	// freshFor is how long ago the store may have answered for the leader to tell others
	// what it knows: a pause and a watch, and the time that a call takes when it is slow.
	freshFor = targetsPause + targetsWait + 150*time.Millisecond
	// initialFeedTimeout is how long a router waits for its first feed before it asks the
	// store.
	initialFeedTimeout = 1500 * time.Millisecond
	// minFallbackDelay and maxFallbackDelay bound how long a router that was fed goes
	// without before it asks the store. The next leader is there sooner where one stopped in
	// an orderly way; without the delay each such stop has all routers list all targets at
	// once.
	minFallbackDelay = 600 * time.Millisecond
	maxFallbackDelay = 1400 * time.Millisecond
	// fallbackRest is what of the time within which changes must be known is left for the
	// silence after which a leader counts as lost, and for asking the store.
	fallbackRest = 1400 * time.Millisecond
	// newLeaderGrace is by how much longer a router waits once it has found the next leader,
	// which has to read the store first, where changes need not be known any sooner.
	newLeaderGrace = 300 * time.Millisecond
	// fallbackJitter spreads the routers' calls when all lose their leader at once.
	fallbackJitter = 100 * time.Millisecond
	// firstSearchers is how many routers of a fleet, on average, ask the store at once who
	// leads; the others do after a delay between minSearchDelay and maxSearchDelay.
	firstSearchers = 10
	minSearchDelay = 150 * time.Millisecond
	maxSearchDelay = 450 * time.Millisecond
	// staleSearchDelay is added to it where the leader lives but doesn't hear from the
	// store: its lease lapses about then.
	staleSearchDelay = 250 * time.Millisecond
	// configLagTimeout is how long after the leader has a configuration a router asks the
	// store for it, where the feed didn't bring it.
	configLagTimeout = 900 * time.Millisecond
	// reconnectInterval is the pause before a lost leader is tried again.
	reconnectInterval = 300 * time.Millisecond
)

// subscription sees to it that this router knows the targets and the division of keys: from the
// leader where it is fed, else from the store.
type subscription struct {
	g *Gateway
	// source is what this router tells others while it leads.
	source *feed.Source
	// followers counts the routers that report to this one.
	followers atomic.Int64

	mu     sync.Mutex
	leader leaderSeen
	// moved is closed when the leader changes.
	moved chan struct{}
	// term is this router's own, nil while it doesn't lead.
	term *term
	// watches are what this router asks the store for itself; nil where it asks for
	// nothing, because a leader feeds it.
	leaderWatch, configWatch, targetsWatch *watch
	restWatches                            []*watch
	// subscribed says that the leader tells this router what the store knows.
	subscribed bool
	// connected says that a leader tells this router anything, searching that the store is
	// asked after a delay who leads.
	connected, searching bool
	// fallbackPending says that the store is asked after a delay unless a leader feeds this
	// router before. losses counts the times that one has: a delay belongs to one loss.
	// fallbackDue is when that is.
	fallbackPending bool
	fallbackDue     time.Time
	losses          int
	// backs is the term of the leader that this router backs, until backsUntil.
	backs      kv.Revision
	backsUntil time.Time
	started    time.Time
	// newer is the version that the leader has and this router doesn't, since newerAt.
	newer   uint64
	newerAt time.Time
}

func newSubscription(g *Gateway) *subscription {
	return &subscription{g: g, source: feed.NewSource(), moved: make(chan struct{}), started: time.Now()}
}

// leaderKnown reports whether a router is known to lead.
func (f *subscription) leaderKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader.present
}

// setLeader notes who leads.
func (f *subscription) setLeader(leader leaderSeen) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !leader.present && leader.revision != 0 && leader.revision < f.leader.revision {
		return
	}
	if f.leader == leader {
		return // a listing that says the same again ends no feed
	}
	f.leader = leader
	if leader.present {
		f.awaitFeed()
	}
	f.signal()
}

// setTerm notes that this router leads, or that it doesn't any more.
func (f *subscription) setTerm(t *term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = t
	f.signal()
}

// signal has the loop look again; the lock is held.
func (f *subscription) signal() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// run follows one leader after the other until the router ends.
//
// The watches begin here and not with the subscription itself: a store that answers before the
// router has it finds state that rests on nothing, and its first answer is lost.
func (f *subscription) run() {
	f.watchLeader()
	f.unsubscribed(initialFeedTimeout)
	for f.g.lifetime.Err() == nil {
		f.mu.Lock()
		leader, leads, moved := f.leader, f.term != nil, f.moved
		f.mu.Unlock()
		if leads {
			f.watchStore(false)
		} else {
			if leader.present && leader.name != f.g.opts.Name && leader.address != "" {
				err := f.subscribe(leader, moved)
				f.g.log.Info("feed lost", "leader", leader.name, "term", leader.revision, "err", err)
			}
			f.searchLeader(0)
			f.unsubscribed(f.fallbackDelay())
		}
		f.pause(moved, leads)
	}
}

// pause waits for a change of the leader, or for the time to try again.
func (f *subscription) pause(moved <-chan struct{}, leads bool) {
	again := reconnectInterval
	if leads {
		again = time.Hour
	}
	timer := time.NewTimer(again)
	defer timer.Stop()
	select {
	case <-moved:
	case <-timer.C:
	case <-f.g.lifetime.Done():
	}
}

// subscribe follows the leader until it is lost or another one leads.
func (f *subscription) subscribe(leader leaderSeen, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancel(f.g.lifetime)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() {
		if f.setConnected(false) {
			f.g.members.renewNow() // nobody says any more when the store is back
		}
	}()
	handler := &updateHandler{f: f, leader: leader}
	follower := &feed.Follower{
		Router: f.g.opts.Name, Address: leader.address, Term: uint64(leader.revision), Reports: f.reports,
		Promised: f.promisedElsewhere(leader), Backs: f.g.gate.isShut,
		Backed: func(until time.Time) { f.promise(leader, until) },
		Update: handler.handle,
	}
	return follower.Run(ctx)
}

// compare asks the store where the leader has a newer configuration than this router for
// longer than the feed takes to bring it: one that is too long for it.
func (f *subscription) compare(version uint64) {
	inForce := uint64(0) // without a configuration
	if v := f.g.view.Load(); v != nil {
		inForce = v.config.Version
	}
	if inForce >= version {
		return
	}
	f.mu.Lock()
	now := time.Now()
	if f.newer != version {
		f.newer, f.newerAt = version, now
	}
	late := now.Sub(f.newerAt) >= configLagTimeout
	if late {
		f.newerAt = now
	}
	f.mu.Unlock()
	if late {
		f.g.log.Info("leader has a newer configuration", "version", version, "in_force", inForce)
		f.g.goRun(f.fetchConfig)
	}
}

// fetchConfig reads the configuration from the store.
func (f *subscription) fetchConfig() {
	a := &f.g.opts.Adapter
	r, err := f.g.storeFor(forConfig).Get(f.g.lifetime, a.ConfigKey)
	if err != nil {
		f.g.log.Warn("configuration not read", "err", err)
		return
	}
	f.g.state.duty.Tell(&fromPrefix{a.ConfigPrefix, &change{records: []kv.Record{r}, at: time.Now()}})
}

// promise notes that this router backs a leader until a time, and follows no other before.
func (f *subscription) promise(leader leaderSeen, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backs, f.backsUntil = leader.revision, until
}

// promisedElsewhere is for how long this router still backs another leader; negative is how
// long ago that has ended. What it did before its start it doesn't know, and so may have
// backed one until then.
func (f *subscription) promisedElsewhere(leader leaderSeen) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backs == leader.revision || f.backsUntil.Before(f.started) {
		return time.Until(f.started)
	}
	return time.Until(f.backsUntil)
}

// setConnected notes whether a leader, fed by the store or not, tells this router anything,
// and returns what was noted before.
func (f *subscription) setConnected(connected bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.connected
	f.connected = connected
	return before
}

// waits reports whether a leader will tell this router when the store answers again.
func (f *subscription) waits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connected && f.term == nil
}

// isSubscribed reports whether a leader tells this router what the store knows.
func (f *subscription) isSubscribed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.subscribed
}
