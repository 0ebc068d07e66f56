package gateway

import (
	"math/rand/v2"
	"strings"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/core/retry"
	"tarragongw/core/routes"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// Keys that the routers write themselves.
const (
	tablePrefix  = "tarragongw/keys/"
	leaderPrefix = "tarragongw/leader/"
	leaderKey    = leaderPrefix + "record"
	routerPrefix = "tarragongw/routers/"
)

// clusterState is the duty that turns what the store says into what the request path reads.
type clusterState struct {
	g    *Gateway
	duty *duty.Duty

	directory *directory.Directory
	config    *routes.Config
	// tables are the divisions of keys by service, with the revisions of their records.
	tables map[string]feed.Table
	// routers are the live routers' records, and leader the revision of the leader's.
	routers map[string]bool
	// known says which prefixes have been listed.
	known     map[string]bool
	timer     *time.Timer
	tableLogs map[string]tableLog
}

// tick asks the duty to look at what has become due.
type tick struct{}

// fromPrefix is what the watcher of one prefix tells.
type fromPrefix struct {
	prefix  string
	message any
}

func newClusterState(g *Gateway) *clusterState {
	b := &clusterState{
		g: g, directory: directory.New(), tables: map[string]feed.Table{}, routers: map[string]bool{}, known: map[string]bool{},
		tableLogs: map[string]tableLog{},
	}
	b.duty = g.startDuty(b.handle)
	return b
}

func (b *clusterState) handle(message any) {
	switch m := message.(type) {
	case *fromPrefix:
		b.handleChange(m)
	case *feed.Update:
		b.adopt(m)
	case *feed.Table:
		b.useNewerTable(m)
	case tick:
		b.publishTargets(b.directory.Tick(time.Now()))
	}
}

// adopt takes over what the leader tells.
func (b *clusterState) adopt(u *feed.Update) {
	if len(u.ConfigValue) > 0 {
		b.handleConfig(&change{records: []kv.Record{{Key: b.g.opts.Adapter.ConfigKey, Value: u.ConfigValue}}})
	}
	changed := b.directory.Adopt(time.Now(), u.Whole, u.Targets, u.Gone)
	b.publishTargets(changed)
	for _, t := range u.Tables {
		b.useNewerTable(&t)
	}
	if u.Routers > 0 && u.Routers != b.g.countedRouters() {
		b.g.setRouters(u.Routers)
	}
	if !u.Stale {
		b.markKnown(b.g.opts.Adapter.TargetPrefix)
	}
}

// markKnown notes that what stands under the prefix is known.
func (b *clusterState) markKnown(prefix string) {
	b.known[prefix] = true
	a := &b.g.opts.Adapter
	if prefix == a.TargetPrefix {
		b.g.subscription.source.SetKnown()
	}
	b.g.setKnown(b.config != nil && b.known[a.TargetPrefix])
}

func (b *clusterState) handleChange(m *fromPrefix) {
	if lost, ok := m.message.(*absence); ok {
		if m.prefix == b.g.opts.Adapter.TargetPrefix {
			b.directory.StoreAway()
		}
		b.g.leader.duty.Tell(lost)
		return
	}
	c, ok := m.message.(*change)
	if !ok {
		return
	}
	switch m.prefix {
	case b.g.opts.Adapter.ConfigPrefix:
		b.handleConfig(c)
	case b.g.opts.Adapter.TargetPrefix:
		b.handleTargets(c)
	case leaderPrefix:
		b.handleLeader(c)
	case routerPrefix:
		b.handleRouters(c)
	case tablePrefix:
		b.handleTables(c)
	}
	b.markKnown(m.prefix)
}

// handleConfig puts a configuration in force unless a newer one is. One that can't be read
// leaves the one in force.
func (b *clusterState) handleConfig(c *change) {
	for _, r := range c.records {
		if r.Key != b.g.opts.Adapter.ConfigKey || r.Deleted {
			continue
		}
		config, err := b.g.opts.Adapter.DecodeConfig(r.Value)
		if err != nil {
			b.g.log.Error("configuration not readable", "revision", r.Revision, "err", err)
			continue
		}
		if b.config != nil && config.Version == b.config.Version {
			continue // the feed of another leader begins with it
		}
		if b.config != nil && config.Version < b.config.Version {
			b.g.log.Info("older configuration passed over", "version", config.Version, "in_force", b.config.Version)
			continue
		}
		b.config = config
		b.g.log.Info("configuration in force", "version", config.Version, "revision", r.Revision,
			"routes", len(config.Routes), "services", len(config.Services))
		b.g.subscription.source.SetConfig(config.Version, r.Value)
		b.putInForce(config)
	}
}

func (b *clusterState) putInForce(config *routes.Config) {
	g := b.g
	g.setServices(config)
	g.view.Store(newView(config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	g.handler.SetModel(callerModel(config, g.opts.Adapter.Headers))
	for _, t := range b.tables {
		b.useTable(t.Table)
	}
	// Before the targets are known there are none to hand out: the leader would take the
	// holders of all keys for gone.
	if b.known[g.opts.Adapter.TargetPrefix] {
		b.publishTargets(true)
	}
}

// handleTargets notes what targets say of themselves.
func (b *clusterState) handleTargets(c *change) {
	a := &b.g.opts.Adapter
	restored := c.listed && b.g.restoredSince(c.at.Add(-directory.ReturnGrace))
	if c.absent >= outage || restored {
		b.directory.StoreAway()
	}
	b.directory.StoreBack(c.at)
	if restored {
		b.publishTargets(b.directory.Restore(c.at, b.readTargets(c.records)))
		return
	}
	if c.listed {
		b.publishTargets(b.directory.Replace(c.at, b.readTargets(c.records)))
		return
	}
	changed := false
	for _, r := range c.records {
		if r.Deleted {
			changed = b.directory.Remove(c.at, a.TargetID(r.Key)) || changed
		} else if t, ok := b.readTarget(r); ok {
			changed = b.directory.Put(c.at, t) || changed
		}
	}
	b.publishTargets(changed)
}

func (b *clusterState) readTargets(records []kv.Record) []directory.Target {
	var all []directory.Target
	for _, r := range records {
		if t, ok := b.readTarget(r); ok {
			all = append(all, t)
		}
	}
	return all
}

// readTarget reads an entry; one that can't be read names no target.
func (b *clusterState) readTarget(r kv.Record) (directory.Target, bool) {
	t, err := b.g.opts.Adapter.DecodeTarget(r.Key, r.Value)
	if err != nil {
		b.g.log.Warn("entry of a target passed over", "key", r.Key, "err", err)
	}
	return t, err == nil
}

// publishTargets hands the targets out where they have changed, and sees to it that what becomes
// due later is looked at.
func (b *clusterState) publishTargets(changed bool) {
	if changed {
		targets := b.directory.Targets()
		b.g.setTargets(targets)
		b.g.subscription.source.SetTargets(targets)
		b.g.leader.duty.Tell(&targetsSeen{targets, b.directory.Ended()})
		b.g.log.Info("targets changed", "known", len(targets))
	}
	next := b.directory.Next()
	if next.IsZero() {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(max(time.Until(next), time.Millisecond), func() { b.duty.Tell(tick{}) })
}

// handleLeader notes who leads.
func (b *clusterState) handleLeader(c *change) {
	there := false
	for _, r := range c.records {
		if r.Key == leaderKey {
			there = true
			b.observeLeader(r)
		}
	}
	if c.listed && !there {
		b.observeLeader(kv.Record{Key: leaderKey, Deleted: true})
	}
}

func (b *clusterState) observeLeader(r kv.Record) {
	seen := &leaderSeen{revision: r.Revision, present: !r.Deleted}
	seen.name, seen.address, _ = strings.Cut(string(r.Value), leaderSeparator)
	b.g.leader.duty.Tell(seen)
	b.g.subscription.setLeader(*seen)
}

// handleRouters notes who is there.
func (b *clusterState) handleRouters(c *change) {
	before, changed := len(b.routers), 0
	seen := make(map[string]bool, len(c.records))
	for _, r := range c.records {
		name := strings.TrimPrefix(r.Key, routerPrefix)
		seen[name] = !r.Deleted
		changed += b.setRouter(name, !r.Deleted)
	}
	for name := range b.routers {
		if c.listed && !seen[name] {
			changed += b.setRouter(name, false)
		}
	}
	if changed == 0 && !c.listed {
		return
	}
	b.g.log.Info("routers changed", "changes", changed, "before", before, "known", len(b.routers))
	b.g.setRouters(max(len(b.routers), 1))
	b.g.subscription.source.SetRouters(max(len(b.routers), 1))
	b.g.leader.duty.Tell(routersCounted{})
}

// setRouter notes whether a router is there, and returns 1 where that has changed.
func (b *clusterState) setRouter(name string, there bool) int {
	if there == b.routers[name] {
		return 0
	}
	if there {
		b.routers[name] = true
		return 1
	}
	delete(b.routers, name)
	if name == b.g.opts.Name {
		b.g.members.renewNow()
	}
	return 1
}

// handleTables notes divisions of keys as they stand in the store.
func (b *clusterState) handleTables(c *change) {
	for _, r := range c.records {
		if r.Deleted {
			continue
		}
		t, err := decodeTable(r.Value)
		if err != nil {
			b.g.log.Error("division of keys not readable", "key", r.Key, "revision", r.Revision, "err", err)
			continue
		}
		b.useNewerTable(&feed.Table{Revision: uint64(tableVersion(t, r.Revision)), Table: t})
	}
}

// useNewerTable puts a division in force unless a newer one is.
func (b *clusterState) useNewerTable(t *feed.Table) {
	name := t.Table.Service
	if old, known := b.tables[name]; known && !t.Newer(&old) {
		return
	}
	b.tables[name] = *t
	b.g.tables.Store(name, *t)
	b.g.subscription.source.SetTable(*t)
	b.logTable(t)
	b.useTable(t.Table)
}

// tableLogInterval is the least time between two lines that tell of one service's table:
// with hundreds of targets it changes some ten times a second.
const tableLogInterval = time.Second

// tableLog is when a service's table was logged last, and how many changes were not.
type tableLog struct {
	at      time.Time
	skipped int
}

func (b *clusterState) logTable(t *feed.Table) {
	l := b.tableLogs[t.Table.Service]
	if now := time.Now(); now.Sub(l.at) >= tableLogInterval {
		b.g.log.Info("key table updated", "service", t.Table.Service, "revision", t.Revision, "sequence", t.Sequence,
			"segments", len(t.Table.Segments), "changes_before", l.skipped)
		l = tableLog{at: now}
	} else {
		l.skipped++
	}
	b.tableLogs[t.Table.Service] = l
}

func (b *clusterState) useTable(t *keyspace.Table) {
	if s := b.g.service(t.Service); s != nil && s.byKey {
		s.setTable(t)
	}
}

// newBudget returns the budget of retries of one service.
//
// The platform counts attempts beyond the first over all routers in any window, as a share
// of the requests and a number that is free. Half of what is free may be saved up and half
// comes back within a window, so that no window sees more; a tenth is left for routers
// whose count of routers is behind.
func (g *Gateway) newBudget() *retry.Budget {
	free := g.opts.RetryMin * budgetCaution / 2
	return retry.NewBudget(retry.BudgetConfig{
		Share: g.opts.RetryShare * budgetCaution, Burst: max(free, 1), Shared: true, MinPerSecond: free / g.opts.RetryWindow.Seconds(),
	}, g.routerCount())
}

const budgetCaution = 0.9
