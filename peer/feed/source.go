package feed

import (
	"sync"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/evacuation"
	"tarragongw/core/quarantine"
	"tarragongw/core/targetlimit"
	"tarragongw/peer/feedpb"
)

// Source holds the state that a leader publishes, and at which version each part of it last
// changed, so that a follower is sent only what it doesn't have. It is safe for concurrent use.
type Source struct {
	mu sync.Mutex
	// version grows with each change of the state.
	version uint64
	targets map[string]versionedTarget
	// targetsRevision is the store's revision up to which targets has all changes.
	targetsRevision uint64
	// gone has the version at which each target that doesn't exist any more was removed.
	gone map[string]uint64
	// tables are the last tables of each service, oldest first; a follower that has one of
	// them is sent a patch.
	tables map[string][]versionedTable
	// config is the version number of the configuration in force.
	config uint64
	// configValue is that configuration, and configChanged the version at which it was set.
	// compressedConfig is what the feed carries of it; nil until a follower first needs it.
	configValue      []byte
	compressedConfig *[]byte
	configChanged    uint64
	routers          int
	// serviceTimes are by service and target.
	serviceTimes map[string]map[string]versionedServiceTime
	// limits are by service.
	limits map[string]versionedLimits
	// quarantine is the list of suspected requests, and quarantineChanged the version at which it was set.
	quarantine        *quarantine.List
	quarantineChanged uint64
	// relays are the routers that reach targets, and relaysChanged the version at which they were set.
	relays        *Relays
	relaysChanged uint64
	// contacts are some routers that answer AskState, and contactsChanged the version at which they were set.
	contacts        []string
	contactsChanged uint64
	// standbys take over when the leader is lost, and standbysChanged is the version at which they were set.
	standbys        []string
	standbysChanged uint64
	// targetLimits are the limits that targets state, and targetLimitsChanged the version at which they were set.
	targetLimits        []targetlimit.Limit
	targetLimitsChanged uint64
	// leaving are the targets that have stated that they leave, and leavingChanged the version at which they were set.
	leaving        []LeavingTarget
	leavingChanged uint64
	// evacuations are the evacuated data centres, nil if unknown, and evacuationsChanged the version at which they were set.
	evacuations        *evacuation.Snapshot
	evacuationsChanged uint64
	// targetsComplete says that all targets have been read from the store once.
	targetsComplete bool
	// changed is closed and replaced at each change that wakes the feeds.
	changed chan struct{}
	// frames are the updates already encoded at this version, shared by followers in the same
	// state.
	frames map[frameKey]*frame
}

// frameKey identifies a frame by the state of the follower, whether that unpacks compressed
// updates, and whether the update is marked as stale.
type frameKey struct {
	state          sentState
	unpacks, stale bool
}

type versionedTarget struct {
	target  directory.Target
	version uint64
}

type versionedTable struct {
	table   Table
	version uint64
}

type versionedServiceTime struct {
	stats   dispatch.TargetStats
	version uint64
}

type versionedLimits struct {
	limits  Limits
	version uint64
}

// NewSource returns a source without any state.
func NewSource() *Source {
	return &Source{
		targets: map[string]versionedTarget{}, gone: map[string]uint64{}, tables: map[string][]versionedTable{},
		serviceTimes: map[string]map[string]versionedServiceTime{}, limits: map[string]versionedLimits{}, changed: make(chan struct{}),
		frames: map[frameKey]*frame{},
	}
}

// nextVersion starts a new version; the caller holds the lock.
func (s *Source) nextVersion() {
	s.version++
	clear(s.frames)
}

// nextVersionAndWake starts a new version and wakes the feeds, so that they send it at once;
// the caller holds the lock.
func (s *Source) nextVersionAndWake() {
	s.nextVersion()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetTargets publishes the complete list of targets, as of a revision of the store; zero if unknown.
func (s *Source) SetTargets(targets []directory.Target, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.targetsRevision = revision
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		version := s.version
		if old, known := s.targets[t.ID]; known && saysTheSame(old.target, t) {
			version = old.version
		}
		s.targets[t.ID] = versionedTarget{t, version}
		delete(s.gone, t.ID)
	}
	for id, t := range s.targets {
		if !present[id] {
			delete(s.targets, id)
			delete(s.serviceTimes[t.target.Service], id)
			s.gone[id] = s.version
		}
	}
}

// saysTheSame reports whether two reports of a target differ at most in what followers need not know.
func saysTheSame(a, b directory.Target) bool {
	a.Seq, a.Revision, a.LeavingAfter = b.Seq, b.Revision, b.LeavingAfter
	return a == b
}

// SetTargetsComplete records that all targets have been read from the store. Until then updates are
// stale: a follower would take those read so far for the complete list, and the others for
// gone.
func (s *Source) SetTargetsComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targetsComplete {
		s.targetsComplete = true
		s.nextVersionAndWake()
	}
}

// SetConfig publishes the configuration in force and its version.
func (s *Source) SetConfig(version uint64, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.config, s.configValue, s.compressedConfig, s.configChanged = version, value, nil, s.version
}

// Config returns the configuration in force and its version.
func (s *Source) Config() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.configValue
}

// feedConfig returns the configuration as a feed carries it; the caller holds the lock.
func (s *Source) feedConfig() []byte {
	if s.compressedConfig == nil {
		compressed := compressConfig(s.configValue)
		s.compressedConfig = &compressed
	}
	return *s.compressedConfig
}

// SetEvacuations publishes the evacuated data centres.
func (s *Source) SetEvacuations(all evacuation.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.evacuations, s.evacuationsChanged = &all, s.version
}

// Evacuations returns the evacuated data centres; nil if unknown.
func (s *Source) Evacuations() *evacuation.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// SetRouters publishes the number of live routers.
func (s *Source) SetRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.routers = n
}

// SetServiceTimes publishes the service times of some targets of a service. It doesn't wake the
// feeds: the next heartbeat carries them soon enough.
func (s *Source) SetServiceTimes(p ServiceTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersion()
	byTarget := s.serviceTimes[p.Service]
	if byTarget == nil {
		byTarget = map[string]versionedServiceTime{}
		s.serviceTimes[p.Service] = byTarget
	}
	for _, stats := range p.Targets {
		byTarget[stats.Target] = versionedServiceTime{stats, s.version}
	}
}

// SetLimits publishes the limited keys of a service.
func (s *Source) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.limits[l.Service] = versionedLimits{l, s.version}
}

// SetQuarantine publishes the list of suspected requests.
func (s *Source) SetQuarantine(l *quarantine.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.quarantine, s.quarantineChanged = l, s.version
}

// SetRelays publishes the routers through which others may reach targets.
func (s *Source) SetRelays(r *Relays) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.relays, s.relaysChanged = r, s.version
}

// SetTargetLimits publishes the limits that targets state.
func (s *Source) SetTargetLimits(all []targetlimit.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.targetLimits, s.targetLimitsChanged = all, s.version
}

// SetLeaving publishes the targets that have stated in answers that they leave.
func (s *Source) SetLeaving(all []LeavingTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.leaving, s.leavingChanged = all, s.version
}

// SetContacts publishes the addresses of some routers that answer AskState. The next heartbeat carries them.
func (s *Source) SetContacts(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersion()
	s.contacts, s.contactsChanged = addresses, s.version
}

// SetTable publishes a key table if it is newer than the last one published.
func (s *Source) SetTable(t Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := t.Table.Service
	kept := s.tables[name]
	if n := len(kept); n > 0 && !t.Newer(&kept[n-1].table) {
		return
	}
	s.nextVersionAndWake()
	if len(kept) == keptTables {
		kept = append(kept[:0], kept[1:]...)
	}
	s.tables[name] = append(kept, versionedTable{t, s.version})
}

// keptTables is how many tables of a service are kept as a base for patches: followers are
// rarely more than a few changes behind.
const keptTables = 8

// tableSince returns the patch or table that brings a follower at the version to the last of
// a service's tables; nil if it has that.
func tableSince(kept []versionedTable, version uint64) *feedpb.Table {
	last := kept[len(kept)-1]
	if last.version <= version {
		return nil
	}
	for i := len(kept) - 2; i >= 0; i-- {
		if kept[i].version <= version {
			return encodePatch(kept[i].table, last.table)
		}
	}
	return encodeTable(last.table)
}

// sentState is what a follower has been sent so far.
type sentState struct {
	// all is the version up to which everything was sent, and tables the version up to which the
	// tables, the list of suspected requests, the limits and the leaving of targets, the relays, the contacts and the standbys
	// were; a stale leader sends only these.
	all, tables uint64
}

// frameSince returns the frame with what a follower in the state has not been sent, and a
// channel that is closed at the next change.
//
// Each change wakes hundreds of followers at the same moment. Followers in the same state
// share a frame, so that the changes are looked up among thousands of targets, encoded and
// compressed only once.
func (s *Source) frameSince(state sentState, unpacks, stale bool) (*frame, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, now := frameKey{state, unpacks, stale || !s.targetsComplete}, time.Now()
	if f := s.frames[key]; f != nil && now.Sub(f.encodedAt) < frameTTL {
		return f, s.changed, nil
	}
	u, after := s.updateSince(state, key.stale)
	f, err := newFrame(u, after, unpacks, now)
	if err != nil {
		return nil, nil, err
	}
	s.frames[key] = f
	return f, s.changed, nil
}

// updateSince returns the update for a follower in the state, and the follower's state after
// it; the caller holds the lock. A stale leader sends only tables, suspected requests, what targets state of
// themselves, relays, contacts and standbys: it keeps these itself, so they are right without an answer from the store.
func (s *Source) updateSince(state sentState, stale bool) (*feedpb.Update, sentState) {
	u := &feedpb.Update{Stale: stale}
	for _, kept := range s.tables {
		if table := tableSince(kept, state.tables); table != nil {
			u.Tables = append(u.Tables, table)
		}
	}
	if s.quarantineChanged > state.tables {
		u.Quarantine = encodeQuarantine(s.quarantine, time.Now())
	}
	if s.targetLimitsChanged > state.tables || state.tables == 0 {
		// A new follower may know of limits that have ended.
		u.TargetLimits = encodeTargetLimits(s.targetLimits)
	}
	if s.leavingChanged > state.tables {
		u.LeavingTargets = &feedpb.LeavingTargets{Targets: encodeLeaving(s.leaving, time.Now())}
	}
	if s.relaysChanged > state.tables {
		u.Relays = encodeRelays(s.relays)
	}
	if s.contactsChanged > state.tables {
		u.Contacts = &feedpb.Contacts{Addresses: s.contacts}
	}
	if s.standbysChanged > state.tables {
		u.Standbys = &feedpb.Standbys{Routers: s.standbys}
	}
	state.tables = s.version
	if !stale {
		s.addChanges(u, state.all)
		state.all = s.version
	}
	return u, state
}

// addChanges adds everything but the tables that has changed after the version; the caller
// holds the lock.
func (s *Source) addChanges(u *feedpb.Update, version uint64) {
	now := time.Now()
	u.Whole, u.Config, u.Routers = version == 0, s.config, uint32(s.routers)
	u.TargetsRevision = s.targetsRevision
	if s.configChanged > version {
		u.ConfigValue = s.feedConfig()
	}
	if s.evacuations != nil && s.evacuationsChanged > version {
		u.Evacuations = encodeEvacuations(s.evacuations)
	}
	for _, t := range s.targets {
		if t.version > version {
			u.Targets = append(u.Targets, encodeTarget(&t.target, now))
		}
	}
	for id, gone := range s.gone {
		if version > 0 && gone > version {
			u.Gone = append(u.Gone, id)
		}
	}
	for _, l := range s.limits {
		if l.version > version {
			u.Limits = append(u.Limits, encodeLimits(l.limits))
		}
	}
	for service, byTarget := range s.serviceTimes {
		var changed []dispatch.TargetStats
		for _, entry := range byTarget {
			if entry.version > version {
				changed = append(changed, entry.stats)
			}
		}
		if len(changed) > 0 {
			u.ServiceTimes = append(u.ServiceTimes, encodeServiceTimes(service, changed))
		}
	}
}
