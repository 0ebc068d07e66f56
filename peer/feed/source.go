package feed

import (
	"sync"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/peer/feedpb"
)

// Source is what a leader publishes, with what changed when, so that each follower gets just
// what it doesn't have. It is safe for concurrent use.
type Source struct {
	mu      sync.Mutex
	version uint64
	targets map[string]versionedTarget
	gone    map[string]uint64
	// tables are the last ones of each service, in order; followers that have one of them
	// get just what has changed since.
	tables map[string][]versionedTable
	config uint64
	// configValue is the configuration, deflated once somebody needs it, and configChanged
	// the version at which it came.
	configValue   []byte
	configPacked  bool
	configChanged uint64
	routers       int
	// serviceTimes are by service and target.
	serviceTimes map[string]map[string]versionedServiceTime
	// limits are by service.
	limits map[string]versionedLimits
	// known says that the targets have been read from the store once.
	known   bool
	changed chan struct{}
	// frames are the updates of this version that were encoded already: followers that know
	// the same share them.
	frames map[frameKey]*frame
}

// frameKey is what a follower knows, whether it unpacks, and whether it is told that the
// leader is stale.
type frameKey struct {
	known          sentState
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
	sample  dispatch.TargetStats
	version uint64
}

type versionedLimits struct {
	limits  Limits
	version uint64
}

// NewSource returns a source that has nothing to publish yet.
func NewSource() *Source {
	return &Source{
		targets: map[string]versionedTarget{}, gone: map[string]uint64{}, tables: map[string][]versionedTable{},
		serviceTimes: map[string]map[string]versionedServiceTime{}, limits: map[string]versionedLimits{}, changed: make(chan struct{}),
		frames: map[frameKey]*frame{},
	}
}

// nextVersion begins a new version; the lock is held.
func (s *Source) nextVersion() {
	s.version++
	clear(s.frames)
}

// bump begins a new version and wakes the followers' feeds; the lock is held.
func (s *Source) bump() {
	s.nextVersion()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetTargets publishes all targets that there are.
func (s *Source) SetTargets(targets []directory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	there := make(map[string]bool, len(targets))
	for _, t := range targets {
		there[t.ID] = true
		t.Seq = 0
		if old, known := s.targets[t.ID]; !known || old.target != t {
			s.targets[t.ID] = versionedTarget{t, s.version}
		}
		delete(s.gone, t.ID)
	}
	for id, t := range s.targets {
		if !there[id] {
			delete(s.targets, id)
			delete(s.serviceTimes[t.target.Service], id)
			s.gone[id] = s.version
		}
	}
}

// SetKnown says that the targets are all there are. Before, a follower would take those
// that have been read so far for all, and the others for gone.
func (s *Source) SetKnown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.known = true
		s.bump()
	}
}

// SetConfig publishes the configuration that is in force, and its version.
func (s *Source) SetConfig(version uint64, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.config, s.configValue, s.configPacked, s.configChanged = version, value, false, s.version
}

// packedConfig is the configuration as a feed carries it; the lock is held.
func (s *Source) packedConfig() []byte {
	if !s.configPacked {
		s.configValue, s.configPacked = deflate(s.configValue), true
	}
	return s.configValue
}

// SetRouters publishes the number of live routers.
func (s *Source) SetRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.routers = n
}

// SetServiceTimes publishes how fast some targets of a service are. It wakes nobody: the next beat
// brings it soon enough.
func (s *Source) SetServiceTimes(p ServiceTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersion()
	of := s.serviceTimes[p.Service]
	if of == nil {
		of = map[string]versionedServiceTime{}
		s.serviceTimes[p.Service] = of
	}
	for _, sample := range p.Targets {
		of[sample.Target] = versionedServiceTime{sample, s.version}
	}
}

// SetLimits publishes which keys of a service are limited.
func (s *Source) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.limits[l.Service] = versionedLimits{l, s.version}
}

// SetTable publishes a division that the store has.
func (s *Source) SetTable(t Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := t.Table.Service
	kept := s.tables[name]
	if n := len(kept); n > 0 && !t.Newer(&kept[n-1].table) {
		return
	}
	s.bump()
	if len(kept) == keptTables {
		kept = append(kept[:0], kept[1:]...)
	}
	s.tables[name] = append(kept, versionedTable{t, s.version})
}

// keptTables is how many tables of a service are kept to make patches of: followers are
// rarely more than a few changes behind.
const keptTables = 8

// tableSince returns what a follower at the version needs of a service's tables, or nil.
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

// sentState is what a follower has been sent last.
type sentState struct {
	// all and tables are the versions up to which it knows everything, and the tables.
	all, tables uint64
}

// frameSince returns what a follower doesn't know as it is sent, and what is closed at the
// next change.
//
// It answers hundreds of followers that each change wakes at one moment: what they lack is
// looked up among thousands of targets, encoded and deflated once for all that know the
// same, not once for each.
func (s *Source) frameSince(t sentState, unpacks, stale bool) (*frame, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, now := frameKey{t, unpacks, stale || !s.known}, time.Now()
	if f := s.frames[key]; f != nil && now.Sub(f.made) < frameLife {
		return f, s.changed, nil
	}
	u, after := s.since(t, key.stale)
	f, err := newFrame(u, after, unpacks, now)
	if err != nil {
		return nil, nil, err
	}
	s.frames[key] = f
	return f, s.changed, nil
}

// since returns what a follower doesn't know, and what it knows after it; the lock is held.
// A stale source publishes tables alone: these are true by the leader's own writes.
func (s *Source) since(t sentState, stale bool) (*feedpb.Update, sentState) {
	u := &feedpb.Update{Stale: stale}
	for _, kept := range s.tables {
		if table := tableSince(kept, t.tables); table != nil {
			u.Tables = append(u.Tables, table)
		}
	}
	t.tables = s.version
	if !stale {
		s.addTargets(u, t.all)
		t.all = s.version
	}
	return u, t
}

// addTargets adds the targets and the configuration after a version; the lock is held.
func (s *Source) addTargets(u *feedpb.Update, version uint64) {
	now := time.Now()
	u.Whole, u.Config, u.Routers = version == 0, s.config, uint32(s.routers)
	if s.configChanged > version {
		u.ConfigValue = s.packedConfig()
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
	for service, of := range s.serviceTimes {
		var news []dispatch.TargetStats
		for _, p := range of {
			if p.version > version {
				news = append(news, p.sample)
			}
		}
		if len(news) > 0 {
			u.ServiceTimes = append(u.ServiceTimes, encodeServiceTimes(service, news))
		}
	}
}
