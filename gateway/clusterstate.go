package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/evacuation"
	"tarragongw/core/keyspace"
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

	directory   *directory.Directory
	evacuations *evacuation.Set
	// leaderTargets are the IDs of all targets that the leader has told of on its present feed.
	leaderTargets map[string]bool
	config        *routes.Config
	// configSuccession decides what replaces config, and awaited is what may do so later.
	configSuccession routes.Succession
	awaited          *awaitedConfig
	// tables are the key tables by service, with the revisions of their records.
	tables map[string]feed.Table
	// routers are the live routers by name.
	routers map[string]feed.Router
	// knownPrefixes has the prefixes whose records are known.
	knownPrefixes map[string]bool
	timer         *time.Timer
	tableLogs     map[string]tableLog

	unreadableEntries unreadableEntries
}

// stateConfirmed reports that parts of the state were the newest at a time. It follows the messages that have them.
type stateConfirmed struct {
	// config is set if the configuration of version was the newest, or a later one.
	config  bool
	version uint64
	targets bool
	// evacuations is set if the evacuated data centres were the newest.
	evacuations bool
	// at is by the clock that goes on during suspension.
	at time.Duration
}

// tick asks a duty to do what has become due.
type tick struct{}

// prefixMessage is a message of the watcher of one prefix, or the same from another source.
type prefixMessage struct {
	prefix  string
	message any
	// toldBy is who told of it in log lines; empty for the store.
	toldBy string
}

func newClusterState(g *Gateway) *clusterState {
	cs := &clusterState{
		g: g, directory: directory.New(), evacuations: evacuation.New(), leaderTargets: map[string]bool{}, tables: map[string]feed.Table{},
		routers: map[string]feed.Router{}, knownPrefixes: map[string]bool{}, tableLogs: map[string]tableLog{},
	}
	cs.duty = g.startDuty(cs.handle)
	return cs
}

func (cs *clusterState) handle(message any) {
	switch m := message.(type) {
	case *prefixMessage:
		cs.handleChange(m)
	case *feed.Update:
		cs.applyUpdate(m)
	case *feed.Table:
		cs.useNewerTable(m)
	case *stateConfirmed:
		cs.confirm(m)
	case *peerState:
		cs.useState(m)
	case limitsChanged:
		if cs.knownPrefixes[cs.g.opts.Adapter.TargetPrefix] {
			cs.publishTargets(true)
		}
	case *awaitedConfig:
		cs.useAwaited(m)
	case *leavingStated:
		cs.useStatedLeaving(m)
	case coldAnswers:
		cs.useColdAnswers(m)
	case tick:
		cs.publishTargets(cs.directory.Tick(time.Now()))
	}
}

// applyUpdate applies an update of the leader.
func (cs *clusterState) applyUpdate(u *feed.Update) {
	if len(u.ConfigValue) > 0 {
		cs.handleConfig(&change{records: []kv.Record{{Key: cs.g.opts.Adapter.ConfigKey, Value: u.ConfigValue}}}, cs.g.subscription.knownLeader().name)
	}
	if u.Evacuations != nil {
		cs.adoptEvacuations(u.Evacuations, cs.g.subscription.knownLeader().name)
	}
	changed := cs.directory.Adopt(time.Now(), u.TargetsComplete, u.Targets, cs.removedTargets(u), u.TargetsRevision)
	cs.logLeaving(cs.g.subscription.knownLeader().name)
	cs.publishTargets(changed)
	for _, t := range u.Tables {
		cs.useNewerTable(&t)
	}
	if u.Routers > 0 && u.Routers != cs.g.countedRouters() {
		cs.g.setRouters(u.Routers)
	}
	if !u.Stale {
		cs.markKnown(cs.g.opts.Adapter.TargetPrefix)
	}
}

// removedTargets returns the targets that an update says are gone: those that it names, and those that its leader would
// know if they were there. A target that came and went between two readings of the leader was never told of.
func (cs *clusterState) removedTargets(u *feed.Update) []string {
	if u.TargetsComplete {
		cs.leaderTargets = make(map[string]bool, len(u.Targets))
	}
	for i := range u.Targets {
		cs.leaderTargets[u.Targets[i].ID] = true
	}
	for _, id := range u.RemovedTargets {
		delete(cs.leaderTargets, id)
	}
	if u.TargetsRevision == 0 {
		return u.RemovedTargets
	}
	return append(slices.Clone(u.RemovedTargets), cs.directory.IDsExcept(cs.leaderTargets)...)
}

// confirm records that the state was the newest at a time.
func (cs *clusterState) confirm(m *stateConfirmed) {
	if cs.config == nil || cs.config.Version < m.version {
		return
	}
	if m.config {
		cs.g.configAge.confirm(m.at)
		cs.g.configFresh.confirm(m.at)
	}
	if m.targets {
		cs.g.stateAge.confirm(m.at)
		cs.g.sends.confirm(m.at)
		if cs.directory.Confirm(time.Now().Add(m.at - cs.g.opts.Clock.Now())) {
			cs.publishTargets(false) // missing entries are waited for until a time now
		}
	}
	if m.evacuations {
		cs.confirmEvacuations(m.at)
	}
}

// markKnown records that the records under the prefix are known.
func (cs *clusterState) markKnown(prefix string) {
	cs.knownPrefixes[prefix] = true
	a := &cs.g.opts.Adapter
	if prefix == a.TargetPrefix {
		cs.g.subscription.source.SetTargetsComplete()
	}
	evacuationsKnown := cs.evacuations.Known() || !cs.g.evacuates()
	cs.g.setSynced(cs.config != nil && cs.knownPrefixes[a.TargetPrefix] && evacuationsKnown)
}

func (cs *clusterState) handleChange(m *prefixMessage) {
	if outage, ok := m.message.(*storeUnreachable); ok {
		if m.prefix == cs.g.opts.Adapter.TargetPrefix {
			cs.directory.StoreUnreachable(time.Now())
		}
		cs.g.leader.duty.Tell(outage)
		return
	}
	c, ok := m.message.(*change)
	if !ok {
		return
	}
	switch m.prefix {
	case cs.g.opts.Adapter.ConfigPrefix:
		cs.handleConfig(c, cmp.Or(m.toldBy, toldByStore))
		cs.handleEvacuations(c)
	case cs.g.opts.Adapter.TargetPrefix:
		cs.handleTargets(c)
	case leaderPrefix:
		cs.handleLeader(c)
	case routerPrefix:
		cs.handleRouters(c)
	case tablePrefix:
		cs.handleTables(c)
	}
	cs.markKnown(m.prefix)
}

// awaitedConfig is a configuration that was the newest when it came, but has a version far below that in force.
type awaitedConfig struct {
	record kv.Record
	toldBy string
}

// handleConfig applies the configuration of a change.
func (cs *clusterState) handleConfig(c *change, toldBy string) {
	for _, r := range c.records {
		if r.Key == cs.g.opts.Adapter.ConfigKey && !r.Deleted {
			cs.awaited = nil
			cs.useConfig(r, toldBy)
		}
	}
}

// useAwaited puts a configuration in force that has been the newest for long enough.
func (cs *clusterState) useAwaited(m *awaitedConfig) {
	if cs.awaited == m {
		cs.awaited = nil
		cs.useConfig(m.record, m.toldBy)
	}
}

// useConfig applies a configuration unless a newer one is in force. One that can't be decoded, or that can't be put in
// force, is refused, and the one in force stays whole.
func (cs *clusterState) useConfig(r kv.Record, toldBy string) {
	config, err := cs.g.opts.Adapter.DecodeConfig(r.Value)
	if err != nil {
		cs.refuseConfig(reasonMalformed, err, r.Revision, toldBy)
		return
	}
	replaces, wait := cs.configSuccession.Decide(time.Now(), cs.config, config)
	if !replaces {
		cs.setConfigAside(config, r, toldBy, wait)
		return
	}
	var invalid *routes.CheckError
	if errors.As(config.Check(), &invalid) {
		cs.refuseConfig(invalid.Reason(), invalid, r.Revision, toldBy)
		return
	}
	changes := config.ChangesSince(cs.config)
	cs.config = config
	cs.g.unreadStatements.report("configuration", cs.g.opts.Adapter.UnreadConfigFields(r.Value))
	cs.g.log.Info("configuration in force", "version", config.Version, "revision", r.Revision, "routes", len(config.Routes),
		"services", len(config.Services), "changes", changes, "told_by", toldBy, "confirmed", cs.g.configAge.age())
	cs.g.subscription.source.SetConfig(config.Version, r.Value)
	cs.applyConfig(config)
}

// setConfigAside logs that a configuration is not put in force as its version is lower, and has it looked at again after the
// wait, if there is one.
func (cs *clusterState) setConfigAside(config *routes.Config, r kv.Record, toldBy string, wait time.Duration) {
	switch {
	case config.Version == cs.config.Version: // sent again at the beginning of another leader's feed
	case wait <= 0:
		cs.g.log.Info("older configuration ignored", "version", config.Version, "in_force", cs.config.Version)
	default:
		cs.g.log.Warn("configuration set aside, as its version is far below the one in force", "version", config.Version,
			"in_force", cs.config.Version, "revision", r.Revision, "told_by", toldBy, "for", wait)
		if tel := cs.g.opts.Telemetry; tel != nil {
			tel.Scope().Counter("configurations_set_aside_total").Inc(1)
		}
		m := &awaitedConfig{r, toldBy}
		cs.awaited = m
		time.AfterFunc(wait, func() { cs.duty.Tell(m) })
	}
}

// reasonMalformed is why a configuration that can't be decoded is refused.
const reasonMalformed = "malformed"

// refuseConfig logs and counts a configuration that is not put in force.
func (cs *clusterState) refuseConfig(reason string, err error, revision kv.Revision, toldBy string) {
	inForce := uint64(0)
	if cs.config != nil {
		inForce = cs.config.Version
	}
	cs.g.log.Error("configuration refused", "reason", reason, "err", err, "revision", revision, "told_by", toldBy, "in_force", inForce)
	if tel := cs.g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"reason": reason}).Counter("configurations_refused_total").Inc(1)
	}
}

func (cs *clusterState) applyConfig(config *routes.Config) {
	g := cs.g
	g.setServices(config)
	g.formerView.Store(g.view.Load())
	g.view.Store(newView(config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	g.handler.SetModel(callerModel(config, g.opts.Adapter.Headers))
	for _, t := range cs.tables {
		cs.useTable(t.Table)
	}
	// An empty list of targets must not be published before they are known: the leader would
	// take the holders of all keys for gone.
	if cs.knownPrefixes[g.opts.Adapter.TargetPrefix] {
		cs.publishTargets(true)
	}
}

// handleTargets records the targets' entries in the store.
func (cs *clusterState) handleTargets(c *change) {
	a := &cs.g.opts.Adapter
	restored := c.listed && cs.g.restoredSince(c.at.Add(-directory.ReturnGrace))
	if c.unreachableFor >= minOutage || restored {
		cs.directory.StoreUnreachable(c.at)
	}
	cs.directory.StoreReachable(c.at)
	if c.listed {
		targets, unreadable := cs.readTargets(c.records)
		record := cs.directory.Replace
		if restored {
			record = cs.directory.Restore
		}
		cs.publishTargets(record(c.at, targets, uint64(c.revision), unreadable...))
		return
	}
	changed := false
	for _, r := range c.records {
		if r.Deleted {
			changed = cs.directory.Remove(c.at, a.TargetID(r.Key), uint64(r.Revision)) || changed
		} else if t, ok := cs.readTarget(r); ok {
			changed = cs.directory.Put(c.at, t) || changed
		} else {
			cs.directory.Doubt(c.at, a.TargetID(r.Key), uint64(r.Revision))
		}
	}
	cs.directory.Applied(uint64(c.revision))
	cs.publishTargets(changed)
}

// readTargets decodes entries. It returns the IDs of those that name no target too.
func (cs *clusterState) readTargets(records []kv.Record) (targets []directory.Target, unreadable []string) {
	for _, r := range records {
		if t, ok := cs.readTarget(r); ok {
			targets = append(targets, t)
		} else {
			unreadable = append(unreadable, cs.g.opts.Adapter.TargetID(r.Key))
		}
	}
	return targets, unreadable
}

// readTarget decodes an entry; it returns false if that names no target.
func (cs *clusterState) readTarget(r kv.Record) (directory.Target, bool) {
	t, err := cs.g.opts.Adapter.DecodeTarget(r.Key, r.Value)
	if err == nil && cs.directory.Contradicts(&t) {
		err = errOtherService
	}
	if err != nil {
		cs.unreadableEntries.observe(cs.g, r.Key, err)
	}
	t.Revision, t.Created = uint64(r.Revision), uint64(r.Created)
	if err == nil && !cs.directory.Knows(t.Holder()) {
		cs.g.unreadStatements.report("entry", cs.g.opts.Adapter.UnreadEntryFields(r.Value))
	}
	return t, err == nil
}

// publishTargets publishes the targets if they have changed, and schedules a tick for the next change
// that comes with time.
func (cs *clusterState) publishTargets(changed bool) {
	cs.logLeaving(toldByStore)
	if changed {
		cs.g.subscription.source.SetTargets(cs.directory.KnownTargets(), cs.directory.Revision())
		targets := cs.g.statedLimits.mark(cs.markEvacuated(cs.directory.Targets()))
		cs.g.sends.setLeaving(cs.directory.LeavingOrGone())
		cs.g.sends.setEvacuated(targets)
		cs.g.setTargets(targets)
		departed := cs.directory.Departed()
		cs.g.identities.retain(targets, departed)
		cs.g.leader.duty.Tell(&targetStatus{targets, cs.directory.Claimed(), departed})
		cs.g.log.Info("targets changed", "known", len(targets))
	}
	next := cs.directory.Next()
	if next.IsZero() {
		return
	}
	if cs.timer != nil {
		cs.timer.Stop()
	}
	cs.timer = time.AfterFunc(max(time.Until(next), time.Millisecond), func() { cs.duty.Tell(tick{}) })
}

// toldByStore is who told in log lines, if it was no leader.
const toldByStore = "store"

// toldByRouter is who told in log lines, if it was a router that was asked for its state.
const toldByRouter = "another router"

// logLeaving logs and counts what was learned about leaving targets, and from whom.
func (cs *clusterState) logLeaving(toldBy string) {
	for _, n := range cs.directory.Notices() {
		message := "target leaves"
		switch n.Kind {
		case directory.NoticeBack:
			message = "target is back"
		case directory.NoticeOutdated:
			message = "older report of a leaving target not used"
		case directory.NoticeOutlived:
			message = "entry with a later start not believed any more"
		}
		t := &n.Target
		cs.g.log.Info(message, "target", t.ID, "born", t.StartUnixMilli, "service", t.Service, "how", n.Kind, "told_by", toldBy,
			"seq", t.Seq, "revision", t.Revision, "unconfirmed", cs.g.stateAge.age())
		if tel := cs.g.opts.Telemetry; tel != nil {
			tel.Scope().Tagged(map[string]string{"service": t.Service, "how": n.Kind.String()}).Counter("leaving_targets_total").Inc(1)
		}
	}
}

// handleLeader records who leads.
func (cs *clusterState) handleLeader(c *change) {
	found := false
	for _, r := range c.records {
		switch r.Key {
		case quarantineKey:
			cs.handleQuarantine(r)
		case standbysKey:
			cs.g.succession.readRecord(r)
		}
	}
	for _, r := range c.records {
		if r.Key == leaderKey {
			found = true
			cs.observeLeader(r)
		}
	}
	if c.listed && !found {
		cs.observeLeader(kv.Record{Key: leaderKey, Deleted: true})
	}
}

func (cs *clusterState) observeLeader(r kv.Record) {
	status := &leaderStatus{revision: r.Revision, present: !r.Deleted}
	status.name, status.address, _ = strings.Cut(string(r.Value), leaderSeparator)
	cs.g.leader.duty.Tell(status)
	cs.g.subscription.setLeader(*status)
}

// handleRouters records which routers are live.
func (cs *clusterState) handleRouters(c *change) {
	before, changed := len(cs.routers), 0
	present := make(map[string]bool, len(c.records))
	for _, r := range c.records {
		router := decodeRouter(strings.TrimPrefix(r.Key, routerPrefix), r.Value)
		present[router.Name] = !r.Deleted
		changed += cs.setRouter(router, !r.Deleted)
	}
	for name, router := range cs.routers {
		if c.listed && !present[name] {
			changed += cs.setRouter(router, false)
		}
	}
	if changed == 0 && !c.listed {
		return
	}
	cs.g.log.Info("routers changed", "changes", changed, "before", before, "known", len(cs.routers))
	cs.g.contacts.setRecorded(cs.routers)
	cs.g.setRouters(max(len(cs.routers), 1))
	cs.g.subscription.source.SetRouters(max(len(cs.routers), 1))
	cs.g.leader.duty.Tell(routerCountRead{})
}

// setRouter records whether a router is live, and returns 1 if that or its address has changed, else 0.
func (cs *clusterState) setRouter(router feed.Router, present bool) int {
	known, before := cs.routers[router.Name]
	if present == before && (!present || known == router) {
		return 0
	}
	if present {
		cs.routers[router.Name] = router
		return 1
	}
	delete(cs.routers, router.Name)
	if router.Name == cs.g.opts.Name {
		cs.g.membership.renewNow()
	}
	return 1
}

// handleTables records key tables from the store.
func (cs *clusterState) handleTables(c *change) {
	for _, r := range c.records {
		if r.Deleted {
			continue
		}
		t, err := decodeTable(r.Value)
		if err != nil {
			cs.g.log.Error("key table not decoded", "key", r.Key, "revision", r.Revision, "err", err)
			continue
		}
		cs.useNewerTable(&feed.Table{Revision: uint64(tableVersion(t, r.Revision)), Table: t})
	}
}

// useNewerTable applies a key table unless a newer one is in force.
func (cs *clusterState) useNewerTable(t *feed.Table) {
	name := t.Table.Service
	if old, known := cs.tables[name]; known && !t.Newer(&old) {
		return
	}
	cs.tables[name] = *t
	cs.g.tables.Store(name, *t)
	cs.g.subscription.source.SetTable(*t)
	cs.logTable(t)
	cs.useTable(t.Table)
}

// tableLogInterval is the least time between two log lines about one service's key table: with
// hundreds of targets it changes about ten times a second.
const tableLogInterval = time.Second

// tableLog is when a service's table was logged last, and how many changes were not.
type tableLog struct {
	at      time.Time
	skipped int
}

func (cs *clusterState) logTable(t *feed.Table) {
	l := cs.tableLogs[t.Table.Service]
	if now := time.Now(); now.Sub(l.at) >= tableLogInterval {
		cs.g.log.Info("key table updated", "service", t.Table.Service, "revision", t.Revision, "sequence", t.Sequence,
			"segments", len(t.Table.Segments), "changes_before", l.skipped)
		l = tableLog{at: now}
	} else {
		l.skipped++
	}
	cs.tableLogs[t.Table.Service] = l
}

func (cs *clusterState) useTable(t *keyspace.Table) {
	if s := cs.g.service(t.Service); s != nil && s.byKey {
		s.setTable(t)
	}
}
