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

// Keys and key prefixes of the records that the routers write.
const (
	tablePrefix  = "tarragongw/keys/"
	leaderPrefix = "tarragongw/leader/"
	leaderKey    = leaderPrefix + "record"
	routerPrefix = "tarragongw/routers/"
)

// clusterState is the duty that turns records of the store and updates of the leader into the state
// that the request path reads.
type clusterState struct {
	g    *Gateway
	duty *duty.Duty

	directory *directory.Directory
	config    *routes.Config
	// tables are the key tables by service, with the revisions of their records.
	tables map[string]feed.Table
	// routers has the names of the live routers.
	routers map[string]bool
	// knownPrefixes has the prefixes whose records are known.
	knownPrefixes map[string]bool
	timer         *time.Timer
	tableLogs     map[string]tableLog
}

// tick asks a duty to do what has become due.
type tick struct{}

// prefixMessage is a message of the watcher of one prefix.
type prefixMessage struct {
	prefix  string
	message any
}

func newClusterState(g *Gateway) *clusterState {
	b := &clusterState{
		g: g, directory: directory.New(), tables: map[string]feed.Table{}, routers: map[string]bool{}, knownPrefixes: map[string]bool{},
		tableLogs: map[string]tableLog{},
	}
	b.duty = g.startDuty(b.handle)
	return b
}

func (b *clusterState) handle(message any) {
	switch m := message.(type) {
	case *prefixMessage:
		b.handleChange(m)
	case *feed.Update:
		b.applyUpdate(m)
	case *feed.Table:
		b.useNewerTable(m)
	case tick:
		b.publishTargets(b.directory.Tick(time.Now()))
	}
}

// applyUpdate applies an update of the leader.
func (b *clusterState) applyUpdate(u *feed.Update) {
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

// markKnown records that the records under the prefix are known.
func (b *clusterState) markKnown(prefix string) {
	b.knownPrefixes[prefix] = true
	a := &b.g.opts.Adapter
	if prefix == a.TargetPrefix {
		b.g.subscription.source.SetKnown()
	}
	b.g.setSynced(b.config != nil && b.knownPrefixes[a.TargetPrefix])
}

func (b *clusterState) handleChange(m *prefixMessage) {
	if outage, ok := m.message.(*storeUnreachable); ok {
		if m.prefix == b.g.opts.Adapter.TargetPrefix {
			b.directory.StoreAway()
		}
		b.g.leader.duty.Tell(outage)
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

// handleConfig applies a configuration unless a newer one is in force. A configuration that can't be
// decoded is ignored.
func (b *clusterState) handleConfig(c *change) {
	for _, r := range c.records {
		if r.Key != b.g.opts.Adapter.ConfigKey || r.Deleted {
			continue
		}
		config, err := b.g.opts.Adapter.DecodeConfig(r.Value)
		if err != nil {
			b.g.log.Error("configuration not decoded", "revision", r.Revision, "err", err)
			continue
		}
		if b.config != nil && config.Version == b.config.Version {
			continue // sent again at the beginning of another leader's feed
		}
		if b.config != nil && config.Version < b.config.Version {
			b.g.log.Info("older configuration ignored", "version", config.Version, "in_force", b.config.Version)
			continue
		}
		b.config = config
		b.g.log.Info("configuration in force", "version", config.Version, "revision", r.Revision,
			"routes", len(config.Routes), "services", len(config.Services))
		b.g.subscription.source.SetConfig(config.Version, r.Value)
		b.applyConfig(config)
	}
}

func (b *clusterState) applyConfig(config *routes.Config) {
	g := b.g
	g.setServices(config)
	g.view.Store(newView(config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	g.handler.SetModel(callerModel(config, g.opts.Adapter.Headers))
	for _, t := range b.tables {
		b.useTable(t.Table)
	}
	// An empty list of targets must not be published before they are known: the leader would
	// take the holders of all keys for gone.
	if b.knownPrefixes[g.opts.Adapter.TargetPrefix] {
		b.publishTargets(true)
	}
}

// handleTargets records the targets' entries in the store.
func (b *clusterState) handleTargets(c *change) {
	a := &b.g.opts.Adapter
	restored := c.listed && b.g.restoredSince(c.at.Add(-directory.ReturnGrace))
	if c.unreachableFor >= minOutage || restored {
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

// readTarget decodes an entry; it returns false if that fails.
func (b *clusterState) readTarget(r kv.Record) (directory.Target, bool) {
	t, err := b.g.opts.Adapter.DecodeTarget(r.Key, r.Value)
	if err != nil {
		b.g.log.Warn("entry of a target ignored", "key", r.Key, "err", err)
	}
	return t, err == nil
}

// publishTargets publishes the targets if they have changed, and schedules a tick for the next change
// that comes with time.
func (b *clusterState) publishTargets(changed bool) {
	if changed {
		targets := b.directory.Targets()
		b.g.setTargets(targets)
		b.g.subscription.source.SetTargets(targets)
		b.g.leader.duty.Tell(&targetStatus{targets, b.directory.Ended()})
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

// handleLeader records who leads.
func (b *clusterState) handleLeader(c *change) {
	found := false
	for _, r := range c.records {
		if r.Key == leaderKey {
			found = true
			b.observeLeader(r)
		}
	}
	if c.listed && !found {
		b.observeLeader(kv.Record{Key: leaderKey, Deleted: true})
	}
}

func (b *clusterState) observeLeader(r kv.Record) {
	status := &leaderStatus{revision: r.Revision, present: !r.Deleted}
	status.name, status.address, _ = strings.Cut(string(r.Value), leaderSeparator)
	b.g.leader.duty.Tell(status)
	b.g.subscription.setLeader(*status)
}

// handleRouters records which routers are live.
func (b *clusterState) handleRouters(c *change) {
	before, changed := len(b.routers), 0
	present := make(map[string]bool, len(c.records))
	for _, r := range c.records {
		name := strings.TrimPrefix(r.Key, routerPrefix)
		present[name] = !r.Deleted
		changed += b.setRouter(name, !r.Deleted)
	}
	for name := range b.routers {
		if c.listed && !present[name] {
			changed += b.setRouter(name, false)
		}
	}
	if changed == 0 && !c.listed {
		return
	}
	b.g.log.Info("routers changed", "changes", changed, "before", before, "known", len(b.routers))
	b.g.setRouters(max(len(b.routers), 1))
	b.g.subscription.source.SetRouters(max(len(b.routers), 1))
	b.g.leader.duty.Tell(routerCountRead{})
}

// setRouter records whether a router is live, and returns 1 if that has changed, else 0.
func (b *clusterState) setRouter(name string, present bool) int {
	if present == b.routers[name] {
		return 0
	}
	if present {
		b.routers[name] = true
		return 1
	}
	delete(b.routers, name)
	if name == b.g.opts.Name {
		b.g.membership.renewNow()
	}
	return 1
}

// handleTables records key tables from the store.
func (b *clusterState) handleTables(c *change) {
	for _, r := range c.records {
		if r.Deleted {
			continue
		}
		t, err := decodeTable(r.Value)
		if err != nil {
			b.g.log.Error("key table not decoded", "key", r.Key, "revision", r.Revision, "err", err)
			continue
		}
		b.useNewerTable(&feed.Table{Revision: uint64(tableVersion(t, r.Revision)), Table: t})
	}
}

// useNewerTable applies a key table unless a newer one is in force.
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

// tableLogInterval is the least time between two log lines about one service's key table: with
// hundreds of targets it changes about ten times a second.
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

// newBudget returns the retry budget of one service.
//
// The platform limits the attempts beyond the first of all routers together in any window of time:
// to a share of the requests plus a fixed number. Half of the fixed number may accumulate as a burst
// and half is refilled within a window, so that no window gets more. A tenth of the limit is left
// unused, for routers whose count of routers is out of date.
func (g *Gateway) newBudget() *retry.Budget {
	minRetries := g.opts.RetryMin * budgetUsableShare / 2
	return retry.NewBudget(retry.BudgetConfig{
		Share: g.opts.RetryShare * budgetUsableShare, Burst: max(minRetries, 1), Shared: true, MinPerSecond: minRetries / g.opts.RetryWindow.Seconds(),
	}, g.routerCount())
}

// budgetUsableShare is the part of the platform's limit that is used, see newBudget.
const budgetUsableShare = 0.9
