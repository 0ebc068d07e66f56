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
	// configPause and leaderPause are kept between a change and the next watch, see
	// watcher.pause; configurations and leaders change seldom, at times in a storm.
	configPause = 100 * time.Millisecond
	leaderPause = 20 * time.Millisecond
	// routersPause is that of the routers' records, of which just the number counts.
	routersPause = 500 * time.Millisecond
	// targetsPause is that of the targets, which write every second or so. A leaving target
	// must get no new work within two seconds, of which the way to the followers and the
	// search for a lost leader take one.
	targetsPause = 500 * time.Millisecond
	// tablesPause is short, because keys that move wait for it.
	tablesPause = 15 * time.Millisecond
	// restingWait is how long a watch waits for what changes seldom. A store that stopped
	// answering is noticed sooner, by the renewals of this router's own record.
	// The store waits for at most 30 s; with 24 s two watches cost a router 5 calls a minute.
	restingWait = 24 * time.Second
	// targetsWait is shorter: the leader must know whether it still hears from the store.
	targetsWait = 400 * time.Millisecond
	// freshFor is how long ago the store may have answered for the leader to tell others
	// what it knows: a pause and a watch, and the time that a call takes when it is slow.
	freshFor = targetsPause + targetsWait + 150*time.Millisecond
	// feedPatience is how long a router waits for its first feed before it asks the store.
	feedPatience = 1500 * time.Millisecond
	// feedGrace is how long a router that was fed goes without before it asks the store. The
	// next leader is there sooner where one stopped in an orderly way; without the grace each
	// such stop has all routers list all targets at once.
	feedGrace = 600 * time.Millisecond
	// configPatience is how long a watch may take to bring a configuration that the leader
	// has: 200 kB take 0.2 s on a link of 10 Mbit/s, and the store may be busy with all routers.
	configPatience = 900 * time.Millisecond
	// followAgain is the pause before a lost leader is tried again.
	followAgain = 300 * time.Millisecond
)

// follow sees to it that this router knows the targets and the division of keys: from the
// leader where it is fed, else from the store.
type follow struct {
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
	term     *term
	standing []*watcher
	direct   []*watcher
	// fed says that the leader tells this router what the store knows.
	fed bool
	// asking says that the store is asked after a grace unless a leader feeds this router.
	asking bool
	// directTables says that the tables are among what direct watches.
	directTables bool
	// backs is the term of the leader that this router backs, until backsUntil.
	backs      kv.Revision
	backsUntil time.Time
	started    time.Time
	// newer is the version that the leader has and this router doesn't, since newerAt.
	newer   uint64
	newerAt time.Time
	// stopDirect ends the watches that only a router without a feed needs.
	stopDirect context.CancelFunc
}

func newFollow(g *Gateway) *follow {
	f := &follow{g: g, source: feed.NewSource(), moved: make(chan struct{}), started: time.Now()}
	a := &g.opts.Adapter
	f.standing = []*watcher{
		f.watcher(a.ConfigPrefix, configPause, restingWait), f.watcher(leaderPrefix, leaderPause, restingWait),
	}
	return f
}

func (f *follow) watcher(prefix string, pause, wait time.Duration) *watcher {
	return &watcher{
		store: f.g.opts.Store, log: f.g.log, prefix: prefix, pause: pause, wait: wait, lost: f.rewatch,
		gate: &f.g.gate, probe: f.g.members.wake,
		tell: func(message any) { f.g.beliefs.duty.Tell(&fromPrefix{prefix, message}) },
	}
}

// rewatch has all watches asked anew.
func (f *follow) rewatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range append(f.standing, f.direct...) {
		w.again()
	}
}

// sees reports whether a router is known to lead.
func (f *follow) sees() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader.present
}

// set tells who leads.
func (f *follow) set(leader leaderSeen) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !leader.present && leader.revision != 0 && leader.revision < f.leader.revision {
		return
	}
	f.leader = leader
	f.wake()
}

// lead tells that this router leads, or that it doesn't any more.
func (f *follow) lead(t *term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = t
	f.wake()
}

// wake has the loop look again; the lock is held.
func (f *follow) wake() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// run follows one leader after the other until the router ends.
//
// The watches begin here and not with the follow itself: a store that answers before the
// router has it finds beliefs that rest on nothing, and its first configuration is lost.
func (f *follow) run() {
	for _, w := range f.standing {
		f.g.goRun(func() { w.run(f.g.lifetime) })
	}
	f.unfed(feedPatience)
	for f.g.lifetime.Err() == nil {
		f.mu.Lock()
		leader, leads, moved := f.leader, f.term != nil, f.moved
		f.mu.Unlock()
		if leads {
			f.askStore(false)
		} else {
			if leader.present && leader.name != f.g.opts.Name && leader.address != "" {
				err := f.followOnce(leader, moved)
				f.g.log.Info("feed lost", "leader", leader.name, "term", leader.revision, "err", err)
			}
			f.unfed(feedGrace)
		}
		f.pause(moved, leads)
	}
}

// pause waits for a change of the leader, or for the time to try again.
func (f *follow) pause(moved <-chan struct{}, leads bool) {
	again := followAgain
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

// followOnce follows the leader until it is lost or another one leads.
func (f *follow) followOnce(leader leaderSeen, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancel(f.g.lifetime)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	fed := false
	follower := &feed.Follower{
		Router: f.g.opts.Name, Address: leader.address, Term: uint64(leader.revision), Reports: f.reports,
		Promised: f.promisedElsewhere(leader), Backs: f.g.gate.isShut,
		Backed: func(until time.Time) { f.promise(leader, until) },
		Update: func(u *feed.Update) {
			if u.Stale {
				if fed {
					f.g.log.Info("leader doesn't hear from the store", "leader", leader.name, "term", leader.revision)
				}
				fed = false
				f.unfed(0)
				if len(u.Tables) > 0 {
					f.g.beliefs.duty.Tell(u)
				}
				return
			}
			if !fed {
				fed = true
				f.g.log.Info("fed", "leader", leader.name, "term", leader.revision)
				f.leaveStore()
			}
			f.compare(u.Config)
			f.g.setPaces(u.Paces)
			if u.Whole || len(u.Targets)+len(u.Gone)+len(u.Tables) > 0 || u.Routers > 0 && u.Routers != f.g.routerCount() {
				f.g.beliefs.duty.Tell(u)
			}
		},
	}
	return follower.Run(ctx)
}

// compare asks the store again where the leader has a newer configuration than this
// router for longer than a watch takes to bring it: one that the store passed over while it
// dropped history hears of nothing.
//
// A watch must not be cut while it brings the configuration: a long one takes a router on a
// slow link most of a second, and each update would make it begin anew.
func (f *follow) compare(version uint64) {
	v := f.g.view.Load()
	if v == nil || v.config.Version >= version {
		return
	}
	f.mu.Lock()
	now := time.Now()
	if f.newer != version {
		f.newer, f.newerAt = version, now
	}
	late := now.Sub(f.newerAt) >= configPatience
	if late {
		f.newerAt = now
	}
	f.mu.Unlock()
	if late {
		f.g.log.Info("leader has a newer configuration", "version", version, "in_force", v.config.Version)
		f.rewatch()
	}
}

// promise notes that this router backs a leader until a time, and follows no other before.
func (f *follow) promise(leader leaderSeen, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backs, f.backsUntil = leader.revision, until
}

// promisedElsewhere is for how long this router still backs another leader; negative is how
// long ago that has ended. What it did before its start it doesn't know, and so may have
// backed one until then.
func (f *follow) promisedElsewhere(leader leaderSeen) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backs == leader.revision || f.backsUntil.Before(f.started) {
		return time.Until(f.started)
	}
	return time.Until(f.backsUntil)
}

// reports returns what this router saw of its services since the last call.
func (f *follow) reports() []feed.Report {
	var all []feed.Report
	f.g.mu.RLock()
	defer f.g.mu.RUnlock()
	for name, s := range f.g.services {
		if s.byKey {
			all = append(all, feed.Report{Service: name, Keys: s.heat.take(), Paces: s.takePaces()})
		}
	}
	return all
}

// askStore begins to watch the store for the targets, and for the division of keys unless
// this router is the one that writes it.
func (f *follow) askStore(tables bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopDirect != nil && (f.directTables || !tables) {
		return
	}
	if f.stopDirect != nil {
		f.stopDirect()
	}
	ctx, cancel := context.WithCancel(f.g.lifetime)
	f.stopDirect = cancel
	f.direct = []*watcher{
		f.watcher(f.g.opts.Adapter.TargetPrefix, targetsPause, targetsWait), f.watcher(routerPrefix, routersPause, restingWait),
	}
	f.directTables = tables
	if tables {
		f.direct = append(f.direct, f.watcher(tablePrefix, tablesPause, restingWait))
	}
	for _, w := range f.direct {
		f.g.goRun(func() { w.run(ctx) })
	}
}

// unfed notes that no leader tells this router what the store knows. It asks the store
// itself unless one does again within the grace.
func (f *follow) unfed(grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fed = false
	if !f.asking && !(f.stopDirect != nil && f.directTables) {
		f.asking = true
		time.AfterFunc(grace, f.askUnlessFed)
	}
}

func (f *follow) askUnlessFed() {
	f.mu.Lock()
	f.asking = false
	needless := f.fed || f.term != nil
	f.mu.Unlock()
	if !needless && f.g.lifetime.Err() == nil {
		f.askStore(true)
	}
}

// leaveStore ends what askStore began, because a leader tells it all.
func (f *follow) leaveStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fed = true
	if f.stopDirect != nil {
		f.stopDirect()
		f.stopDirect, f.direct = nil, nil
	}
}

// fresh reports whether this router has heard of the targets from the store of late.
func (f *follow) fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.direct) == 0 {
		return false
	}
	heard := f.direct[0].heard.Load()
	return heard != nil && time.Since(*heard) < freshFor
}

// unseen is by how much the routers' requests exceed those that this router hears of.
func (f *follow) unseen() float64 {
	return float64(f.g.routerCount()) / float64(min(f.followers.Load()+1, f.g.routers.Load()))
}

// serveFollowers feeds the routers that follow this one.
func (g *Gateway) serveFollowers() {
	server := &feed.Server{
		Log: g.log, Fresh: g.follow.fresh, Lead: g.follow.leads,
		Reported: g.hearReport, Clock: g.opts.Clock,
		Joined: func(router string, term uint64, promised time.Duration) {
			g.leader.duty.Tell(&followerJoined{router, kv.Revision(term), promised})
		},
		Backed: g.follow.backed,
	}
	if err := server.Serve(g.lifetime, g.peerListener); err != nil {
		g.log.Error("followers are fed no more", "err", err)
	}
}

// leads returns what followers of the term are told.
func (f *follow) leads(term uint64) (context.Context, *feed.Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == nil || uint64(f.term.revision) != term {
		return nil, nil
	}
	f.followers.Add(1)
	context.AfterFunc(f.term.ctx, func() { f.followers.Store(0) })
	return f.term.ctx, f.source
}

// backed notes that a router backs this one as the leader of a term.
func (f *follow) backed(router string, term uint64, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != nil && uint64(f.term.revision) == term {
		f.term.backing.back(router, until)
	}
}

// hearReport takes in what another router saw of a service.
func (g *Gateway) hearReport(r feed.Report) {
	s := g.service(r.Service)
	if s == nil {
		return
	}
	for _, k := range r.Keys {
		s.heat.add(k)
	}
	s.learnPaces(r.Paces)
}

// setPaces puts in force what the leader tells of the targets' speed.
func (g *Gateway) setPaces(all []feed.Paces) {
	for _, p := range all {
		if s := g.service(p.Service); s != nil {
			s.setPaces(p.Paces)
		}
	}
}
