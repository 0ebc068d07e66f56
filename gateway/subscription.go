package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

const (
	// configWatchPause is the pause between a change of the configuration and the next watch, see
	// watcher.pause. The configuration changes rarely, but sometimes many times in a row.
	configWatchPause = 100 * time.Millisecond
	// leaderDeletedWatchPause is the pause after the leader record was deleted, and
	// leaderFoundWatchPause the one after it has named a leader: long enough to subscribe to that
	// leader, which ends the watch.
	leaderDeletedWatchPause = 20 * time.Millisecond
	leaderFoundWatchPause   = 400 * time.Millisecond
	// routersWatchPause is the pause after a change of the routers' records. Only their number
	// matters.
	routersWatchPause = 500 * time.Millisecond
	// targetsWatchPause is the pause after a change of the targets' entries, which each target
	// writes about once a second. A draining target must stop getting new work within two seconds, and
	// sending the change to the followers and finding a new leader may take one of them.
	targetsWatchPause = 500 * time.Millisecond
	// tablesWatchPause is the pause after a change of a key table. It is short, because requests for
	// keys that are being moved wait for it.
	tablesWatchPause = 15 * time.Millisecond
	// maxRareChangeWait is the longest wait of a watch for records that change rarely, and
	// rareChangeHistoryShare the share of the store's history that the wait may take: a watch that
	// waits for longer than the store keeps history has to list everything again. Each wait is
	// shortened at random by a share of up to rareChangeJitter, to spread the routers' calls.
	maxRareChangeWait      = 24 * time.Second
	rareChangeHistoryShare = 0.6
	rareChangeJitter       = 0.25
	// targetsWatchWait is the longest wait of a watch for targets. It is shorter, because the leader
	// has to notice when the store no longer answers.
	targetsWatchWait = 400 * time.Millisecond
	// configWatchWait is the longest wait of a watch for the configuration and evacuations: half of a time limit for changes,
	// less the time of slow calls.
	configWatchWait = 700 * time.Millisecond
	// searchWatchWait is the longest wait of a watch for the leader's record at a router that doesn't lead, and tablesWatchWait
	// that of a watch for key tables: requests for keys that have moved are refused by their former holder meanwhile.
	searchWatchWait = 2 * time.Second
	tablesWatchWait = 3 * time.Second
	// routersWatchWait is the longest wait of a watch for the routers' records, shorter than countLag by a lost call.
	routersWatchWait = 2500 * time.Millisecond
	// freshnessLimit is how long ago the last answer to a targets watch may be while the leader still
	// counts as up to date: a pause, a wait, and the duration of a slow call.
	freshnessLimit = targetsWatchPause + targetsWatchWait + 150*time.Millisecond
	// initialFeedTimeout is how long a router waits for its first feed before it reads the state
	// from the store.
	initialFeedTimeout = 1500 * time.Millisecond
	// maxFallbackDelay is how long a router that has lost its feed waits at most before it reads the state from the store: until
	// the lease of a leader that has crashed has ended and the next one has read the store itself. Without the delay, all
	// routers would list everything at each change of the leader.
	maxFallbackDelay = 1800 * time.Millisecond
	// singleReadTime is how long a read of what is overdue may take before everything is read.
	singleReadTime = 150 * time.Millisecond
	// recoveryDelay is how long a router without a feed waits after the store has answered again.
	recoveryDelay = 600 * time.Millisecond
	// newLeaderGrace is how long a router at least waits for the feed of a leader that it has just
	// found, unless its state is overdue sooner: the new leader has to read the store first.
	newLeaderGrace = 300 * time.Millisecond
	// fallbackJitter spreads the routers' calls when all lose their leader at once.
	fallbackJitter = 100 * time.Millisecond
	// immediateSearchers is how many routers of a fleet, on average, ask the store immediately who
	// leads. The others do so after a delay between minSearchDelay and maxSearchDelay.
	immediateSearchers = 10
	minSearchDelay     = 150 * time.Millisecond
	maxSearchDelay     = 450 * time.Millisecond
	// staleSearchDelay is added to that delay if the leader is alive but can't reach the store:
	// its lease expires at about that time.
	staleSearchDelay = 250 * time.Millisecond
	// configLagTimeout is how long a router waits for the feed to bring a configuration that the
	// leader has, before it reads the configuration from the store.
	configLagTimeout = 900 * time.Millisecond
	// reconnectInterval is the pause before a router tries to subscribe to a lost leader again.
	reconnectInterval = 300 * time.Millisecond
)

// subscription keeps this router's knowledge of the configuration, the targets and the key tables up
// to date: from the leader's feed, or from the store while there is no feed.
type subscription struct {
	g *Gateway
	// source is what this router sends to its followers while it leads.
	source *feed.Source
	// followers counts the routers that report to this one.
	followers atomic.Int64

	mu     sync.Mutex
	leader leaderStatus
	// changed is closed when the leader or this router's term changes.
	changed chan struct{}
	// term is this router's own, nil while it doesn't lead.
	term *term
	// The watches on the store; nil if not running, because the leader's feed replaces them.
	// otherWatches are those of the routers' records and the key tables.
	leaderWatch, configWatch, targetsWatch *watch
	otherWatches                           []*watch
	// subscribed is set while the feed of a leader that reaches the store is up.
	subscribed bool
	// connected is set while the feed of any leader is up, whether it reaches the store or not.
	// searching is set while a delayed search for the leader is scheduled.
	connected, searching bool
	// fallbackPending is set while this router waits until fallbackLatest at most for a feed, before it reads
	// the state from the store. fallbackGeneration changes with each feed that comes up, so that
	// the timers of earlier losses have no effect.
	fallbackPending    bool
	fallbackLatest     time.Time
	fallbackGeneration int
	// promisedTerm is the term of the leader to which this router has promised to follow no other
	// leader until promisedUntil, see quorum.
	promisedTerm  kv.Revision
	promisedUntil time.Time
	started       time.Time
	// missingVersion is the version of a configuration that the leader has and this router lacks;
	// missingSince is when that was noticed, or when the store was last asked for it.
	missingVersion uint64
	missingSince   time.Time
}

func newSubscription(g *Gateway) *subscription {
	return &subscription{g: g, source: feed.NewSource(), changed: make(chan struct{}), started: time.Now()}
}

// leaderKnown reports whether a router is known to lead.
func (sub *subscription) leaderKnown() bool { return sub.knownLeader().present }

// knownLeader returns the last known leader.
func (sub *subscription) knownLeader() leaderStatus {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.leader
}

// leaderRevision returns the revision at which the last known leader was recorded, or its absence.
func (sub *subscription) leaderRevision() kv.Revision { return sub.knownLeader().revision }

// leaderAddress returns the address of the last known leader; empty if none is known.
func (sub *subscription) leaderAddress() string { return sub.knownLeader().address }

// setLeader records who leads.
func (sub *subscription) setLeader(leader leaderStatus) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if !leader.present && leader.revision != 0 && leader.revision < sub.leader.revision {
		return
	}
	if sub.leader == leader {
		return // an unchanged leader must not end the feed
	}
	sub.leader = leader
	if leader.present {
		sub.postponeFallback()
	}
	sub.signalChange()
}

// setTerm records that this router leads, or with nil that it no longer does.
func (sub *subscription) setTerm(t *term) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.term = t
	sub.g.leading.Store(t != nil)
	sub.signalChange()
}

// signalChange wakes the loop in run; the caller holds the lock.
func (sub *subscription) signalChange() {
	close(sub.changed)
	sub.changed = make(chan struct{})
}

// run follows one leader after the other until the router ends.
//
// The watches are started here and not in newSubscription: if the store answered before the Gateway
// is complete, its first answer would be lost.
func (sub *subscription) run() {
	sub.watchLeader()
	sub.scheduleFallback(initialFeedTimeout)
	for sub.g.lifetime.Err() == nil {
		sub.mu.Lock()
		leader, leads, changed := sub.leader, sub.term != nil, sub.changed
		sub.mu.Unlock()
		if leads {
			sub.watchStore(false)
		} else {
			if leader.present && leader.name != sub.g.opts.Name && leader.address != "" {
				err := sub.subscribe(leader, changed)
				sub.g.log.Info("feed lost", "leader", leader.name, "term", leader.revision, "confirmed", sub.g.configAge.age(), "err", err)
			}
			sub.searchLeader(0)
			sub.scheduleFallback(fallbackDelay())
		}
		sub.waitForChange(changed, leads)
	}
}

// waitForChange waits for a change of the leader, or until it is time to connect again.
func (sub *subscription) waitForChange(changed <-chan struct{}, leads bool) {
	timeout := reconnectInterval
	if leads {
		timeout = time.Hour
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-sub.g.lifetime.Done():
	}
}

// subscribe follows the leader until it is lost or another one leads.
func (sub *subscription) subscribe(leader leaderStatus, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(sub.g.lifetime)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() {
		if sub.setConnected(false) {
			sub.g.membership.probeNow() // no feed tells this router any more whether the store answers
		}
	}()
	sub.g.guard.Retell()
	sub.g.paths.retell()
	sub.g.statedLimits.retell()
	sub.g.statedLeaving.retell()
	handler := &updateHandler{subscription: sub, leader: leader}
	follower := &feed.Follower{
		Router: sub.g.asRouter(), Address: leader.address, Term: uint64(leader.revision), Reports: sub.reports,
		Promised: sub.promisedToOther(leader), Backs: sub.g.gate.isShut,
		OnBacked:  func(until time.Time) { sub.recordPromise(leader, until) },
		OnUpdate:  handler.handle,
		Candidacy: sub.g.candidacy,
		Clock:     sub.g.opts.Clock, Observations: sub.g.guard.Take, Wake: sub.g.guard.Wake(), Reach: sub.g.paths.news, WakeReach: sub.g.paths.wake,
		TargetNews: sub.g.takeTargetNews, WakeNews: sub.g.statedLimits.wake,
	}
	return follower.Run(ctx)
}

// checkConfigVersion reads the configuration from the store if the leader has had a newer one than
// this router for longer than configLagTimeout, because it is too long for the feed.
func (sub *subscription) checkConfigVersion(version uint64) {
	inForce := uint64(0) // zero if there is no configuration
	if v := sub.g.view.Load(); v != nil {
		inForce = v.config.Version
	}
	if inForce >= version {
		return
	}
	sub.mu.Lock()
	now := time.Now()
	if sub.missingVersion != version {
		sub.missingVersion, sub.missingSince = version, now
	}
	late := now.Sub(sub.missingSince) >= configLagTimeout
	if late {
		sub.missingSince = now
	}
	sub.mu.Unlock()
	if late {
		sub.g.log.Info("leader has a newer configuration", "version", version, "in_force", inForce)
		sub.g.goRun(sub.refreshConfig)
	}
}

// fetchConfig reads the configuration from the store, together with the evacuated data centres where there may be such,
// and has both confirmed.
func (sub *subscription) fetchConfig() error {
	a, began := &sub.g.opts.Adapter, sub.g.opts.Clock.Now()
	read, err := sub.readConfig()
	if err != nil {
		sub.g.log.Warn("configuration not read", "err", err)
		if !errors.Is(err, kv.ErrNotFound) {
			sub.g.membership.probeNow() // it shuts the gate if the store doesn't answer
		}
		return err
	}
	read.at = time.Now()
	sub.g.state.duty.Tell(&prefixMessage{prefix: a.ConfigPrefix, message: read})
	sub.g.state.duty.Tell(&stateConfirmed{config: true, at: began, evacuations: read.listed})
	return nil
}

// readConfig reads what fetchConfig needs from the store, by one call.
func (sub *subscription) readConfig() (*change, error) {
	a, store, ctx := &sub.g.opts.Adapter, sub.g.storeFor(purposeConfig), kv.NewConn(sub.g.lifetime)
	if !sub.g.evacuates() {
		r, err := store.Get(ctx, a.ConfigKey)
		return &change{records: []kv.Record{r}}, err
	}
	records, revision, err := store.List(ctx, a.ConfigPrefix)
	return &change{listed: true, records: records, revision: revision}, err
}

// refreshConfig reads the configuration from the store, where nothing depends on that; a failure is logged.
func (sub *subscription) refreshConfig() { _ = sub.fetchConfig() }

// fetchTargets reads the targets from the store, and has the state confirmed by them.
func (sub *subscription) fetchTargets() error {
	a, began := &sub.g.opts.Adapter, sub.g.opts.Clock.Now()
	records, revision, err := sub.g.storeFor(purposeTargets).List(kv.NewConn(sub.g.lifetime), a.TargetPrefix)
	if err != nil {
		sub.g.log.Warn("targets not read", "err", err)
		sub.g.membership.probeNow() // it shuts the gate if the store doesn't answer
		return err
	}
	sub.g.state.duty.Tell(&prefixMessage{prefix: a.TargetPrefix, message: &change{listed: true, records: records, revision: revision, at: time.Now()}})
	sub.g.state.duty.Tell(&stateConfirmed{at: began, targets: true})
	return nil
}

// recordPromise records that this router has promised a leader to follow no other until a time.
func (sub *subscription) recordPromise(leader leaderStatus, until time.Time) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.promisedTerm, sub.promisedUntil = leader.revision, until
}

// promisedToOther returns for how long this router's promise to another leader still holds; if
// negative, how long ago it ended. This router doesn't know what it promised before its start, so it counts as
// having promised something right before that.
func (sub *subscription) promisedToOther(leader leaderStatus) time.Duration {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	before := sub.started.Add(feed.BackedFor)
	if sub.promisedTerm == leader.revision || sub.promisedUntil.Before(before) {
		return time.Until(before)
	}
	return time.Until(sub.promisedUntil)
}

// setConnected sets connected, and returns its previous value.
func (sub *subscription) setConnected(connected bool) bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	before := sub.connected
	sub.connected = connected
	return before
}

// hasConnectedLeader reports whether a leader will tell this router when the store answers again.
func (sub *subscription) hasConnectedLeader() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.connected && sub.term == nil
}

// isConnected reports whether the feed of any leader is up.
func (sub *subscription) isConnected() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.connected
}

// currentTerm returns the term in which this router leads; nil if it doesn't.
func (sub *subscription) currentTerm() *term {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.term
}

// leads reports whether this router leads.
func (sub *subscription) leads() bool { return sub.currentTerm() != nil }

// isSubscribed reports whether the feed of a leader that reaches the store is up.
func (sub *subscription) isSubscribed() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.subscribed
}
