// Package feed streams the leader's state to the other routers, its followers, and their
// reports on requested keys and service times to the leader. Without it each router would need
// watches of its own on the store, and every heartbeat of every target ends such a watch.
//
// One connection carries one stream in each direction, so that there is nothing to
// multiplex. Frames are protobuf messages, each preceded by its length.
package feed

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/evacuation"
	"tarragongw/core/keyspace"
	"tarragongw/core/quarantine"
	"tarragongw/peer/feedpb"
)

const (
	// HeartbeatEvery is the longest time between two updates from the leader. Each says that
	// the leader is alive and whether it reaches the store, and wakes both ends.
	HeartbeatEvery = 250 * time.Millisecond
	// silenceTimeout is the time without an update after which a follower considers the leader lost;
	// two heartbeats may be late. It is short enough that a follower that then watches the
	// store itself still learns within two seconds of a target that is leaving.
	silenceTimeout = 700 * time.Millisecond
	// BackedFor is for how long a router that backs a leader follows no other one, counted
	// from the heartbeat that it answers. It allows for a few lost reports.
	BackedFor = time.Second
	// dialTimeout bounds opening a connection between routers.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write; it ends the feed of a follower that doesn't read.
	writeTimeout = 500 * time.Millisecond
	// reportEvery is how often a follower sends a report to the leader.
	reportEvery = 200 * time.Millisecond
	// maxFrame is the largest frame in bytes. It has room for the targets and tables of the
	// largest fleet that one leader publishes, 20,000 targets of some 100 bytes each.
	maxFrame = 4 << 20
)

// Table is the key table of a service. Revision is the store's revision of it; Sequence
// counts the tables that the leader published on top of that revision, and is zero for the
// table as the store has it.
type Table struct {
	Revision, Sequence uint64
	Table              *keyspace.Table
}

// Newer reports whether the table is newer than old.
func (t *Table) Newer(old *Table) bool {
	if t.Revision != old.Revision {
		return t.Revision > old.Revision
	}
	return t.Sequence > old.Sequence
}

// Update is what has changed since the previous update on the connection.
type Update struct {
	// TargetsComplete says that Targets is the complete list and not only what has changed.
	TargetsComplete bool
	Targets         []directory.Target
	// RemovedTargets are the IDs of targets that don't exist any more.
	RemovedTargets []string
	// TargetsRevision is the store's revision up to which the leader had all changes of targets when these last
	// changed; zero if unknown.
	TargetsRevision uint64
	Tables          []Table
	// ConfigVersion is the version of the configuration that the leader has in force.
	ConfigVersion uint64
	// ConfigValue is that configuration as it is stored; nil if it has not changed or is too
	// large for the feed.
	ConfigValue []byte
	// Routers is the number of live routers; zero means unknown.
	Routers int
	// Stale says that the leader can't reach the store, or has not read all targets from it
	// yet; such an update has tables at most.
	Stale bool
	// ServiceTimes are the changed service times of targets.
	ServiceTimes []ServiceTimes
	// Limits are the limited keys of each service for which these have changed: keys with
	// more requests than their holders can serve.
	Limits []Limits
	// Quarantine is the list of suspected requests; nil if it has not changed.
	Quarantine *quarantine.List
	// Relays are the routers through which others may reach targets; nil if they have not changed.
	Relays *Relays
	// ConfirmedAt is when the leader's state was last known to be the newest, by the follower's Clock. It is valid if
	// Confirmed is set.
	ConfirmedAt time.Duration
	Confirmed   bool
	// Contacts are the addresses of some routers that answer AskState; nil if they have not changed.
	Contacts []string
	// Standbys are the routers that take over when the leader is lost; nil if they have not changed.
	Standbys *Standbys
	// Evacuations are the evacuated data centres; nil if they have not changed or aren't known.
	Evacuations *evacuation.Snapshot
	// TargetLimits are the limits that targets state; nil if they have not changed.
	TargetLimits *TargetLimits
	// Leaving are the targets that have stated in answers that they leave; nil if they have not changed.
	Leaving *LeavingTargets
	// Permits answer permit requests of this follower.
	Permits []Permits
}

// Limits are the limited keys of one service.
type Limits struct {
	Service string
	Limits  []keyspace.Limit
}

// ServiceTimes are the service times of targets of one service.
type ServiceTimes struct {
	Service string
	Targets []dispatch.TargetStats
}

// Report is what a follower observed of one service: the requested keys, and the targets'
// service times by their answers.
type Report struct {
	Service      string
	Keys         []keyspace.Key
	ServiceTimes []dispatch.TargetStats
}

func encodeTarget(t *directory.Target, now time.Time) *feedpb.Target {
	coldFor := max(t.ColdUntil.Sub(now), 0)
	return &feedpb.Target{
		Id: t.ID, Born: t.StartUnixMilli, Address: t.Address, Service: t.Service, DataCentre: t.DataCentre,
		Slots: int32(t.Slots), Draining: t.Draining, ColdMs: coldFor.Milliseconds(), Revision: t.Revision, ColdAskedIn: t.ColdAskedIn,
	}
}

func decodeTarget(t *feedpb.Target) directory.Target {
	return directory.Target{
		ID: t.GetId(), StartUnixMilli: t.GetBorn(), Address: t.GetAddress(), Service: t.GetService(), DataCentre: t.GetDataCentre(),
		Slots: int(t.GetSlots()), Draining: t.GetDraining(), ColdFor: time.Duration(t.GetColdMs()) * time.Millisecond,
		Revision: t.GetRevision(), ColdAskedIn: t.GetColdAskedIn(),
	}
}

func encodeServiceTimes(service string, serviceTimes []dispatch.TargetStats) *feedpb.ServiceTimes {
	p := &feedpb.ServiceTimes{Service: service}
	for _, stats := range serviceTimes {
		p.Targets = append(p.Targets, &feedpb.TargetStats{
			Target: stats.Target, Answers: uint32(stats.Answers), MeanUs: uint32(min(stats.Mean.Microseconds(), math.MaxUint32)),
			Waiting: uint32(stats.Waiting), Failed: uint32(stats.Failed), StalledMs: uint32(stats.Stalled.Milliseconds()),
		})
	}
	return p
}

func decodeServiceTimes(p *feedpb.ServiceTimes) ServiceTimes {
	serviceTimes := ServiceTimes{Service: p.GetService()}
	for _, stats := range p.GetTargets() {
		serviceTimes.Targets = append(serviceTimes.Targets, dispatch.TargetStats{
			Target: stats.GetTarget(), Answers: int(stats.GetAnswers()), Mean: time.Duration(stats.GetMeanUs()) * time.Microsecond,
			Waiting: int(stats.GetWaiting()), Failed: int(stats.GetFailed()), Stalled: time.Duration(stats.GetStalledMs()) * time.Millisecond,
		})
	}
	return serviceTimes
}

func encodeLimits(l Limits) *feedpb.Limits {
	p := &feedpb.Limits{Service: l.Service}
	for _, limit := range l.Limits {
		p.Limits = append(p.Limits, &feedpb.KeyLimit{Key: uint32(limit.Key), Admit: float32(limit.Admit)})
	}
	return p
}

func decodeLimits(p *feedpb.Limits) Limits {
	l := Limits{Service: p.GetService()}
	for _, limit := range p.GetLimits() {
		l.Limits = append(l.Limits, keyspace.Limit{Key: keyspace.Key(limit.GetKey()), Admit: float64(limit.GetAdmit())})
	}
	return l
}

func encodeTable(t Table) *feedpb.Table {
	return &feedpb.Table{
		Service: t.Table.Service, Revision: t.Revision, Sequence: t.Sequence, NextToken: t.Table.NextToken,
		Segments: encodeSegments(t.Table.Segments),
	}
}

func encodeSegments(segments []keyspace.Segment) []*feedpb.Segment {
	var all []*feedpb.Segment
	for i := range segments {
		all = append(all, encodeSegment(&segments[i]))
	}
	return all
}

func encodeSegment(s *keyspace.Segment) *feedpb.Segment {
	return &feedpb.Segment{Last: uint32(s.To), Target: s.Target, Born: s.StartUnixMilli, Token: s.Token, Moving: s.Moving, Lost: s.HolderUnreachable}
}

func decodeSegment(from int, s *feedpb.Segment) keyspace.Segment {
	return keyspace.Segment{
		From: keyspace.Key(from), To: keyspace.Key(s.GetLast()), Holder: keyspace.Holder{Target: s.GetTarget(), StartUnixMilli: s.GetBorn()},
		Token: s.GetToken(), Moving: s.GetMoving(), HolderUnreachable: s.GetLost(),
	}
}

// encodePatch returns the patch from the old table to t: the segments that the old one doesn't
// have. A move changes a few of hundreds of segments, which may lie far apart, and each
// change is sent to all routers.
func encodePatch(old, t Table) *feedpb.Table {
	patch := &feedpb.Table{
		Service: t.Table.Service, Revision: t.Revision, Sequence: t.Sequence, NextToken: t.Table.NextToken, Patch: true,
	}
	oldSegments := old.Table.Segments
	for i := range t.Table.Segments {
		s := &t.Table.Segments[i]
		for len(oldSegments) > 0 && oldSegments[0].To < s.From {
			oldSegments = oldSegments[1:]
		}
		if len(oldSegments) > 0 && oldSegments[0] == *s {
			continue
		}
		changed := encodeSegment(s)
		changed.First = uint32(s.From)
		patch.Segments = append(patch.Segments, changed)
	}
	return patch
}

var errNoBase = errors.New("feed: received a patch of a table that was not sent")

// decodeTable decodes a table; a patch is applied to the old table, which is nil if none was
// received before. A table that doesn't cover all keys is an error.
func decodeTable(p *feedpb.Table, old *keyspace.Table) (Table, error) {
	t := &keyspace.Table{Service: p.GetService(), NextToken: p.GetNextToken()}
	if p.GetPatch() {
		if old == nil {
			return Table{}, errNoBase
		}
		t.Segments = applyPatch(old.Segments, p.GetSegments())
		return Table{p.GetRevision(), p.GetSequence(), t}, t.Check()
	}
	from := 0
	for _, s := range p.GetSegments() {
		t.Segments = append(t.Segments, decodeSegment(from, s))
		from = int(s.GetLast()) + 1
	}
	return Table{p.GetRevision(), p.GetSequence(), t}, t.Check()
}

// applyPatch returns the old segments with those whose keys are in a changed segment replaced
// by the changed ones.
func applyPatch(old []keyspace.Segment, changed []*feedpb.Segment) []keyspace.Segment {
	var all []keyspace.Segment
	for _, c := range changed {
		s := decodeSegment(int(c.GetFirst()), c)
		for len(old) > 0 && old[0].To < s.From {
			all = append(all, old[0])
			old = old[1:]
		}
		for len(old) > 0 && old[0].From <= s.To {
			old = old[1:]
		}
		all = append(all, s)
	}
	return append(all, old...)
}

// decodeUpdate decodes an update. tables has the last table of each service received on the
// connection; decodeUpdate replaces those that the update has.
func decodeUpdate(p *feedpb.Update, tables map[string]*keyspace.Table) (*Update, error) {
	u := &Update{TargetsComplete: p.GetWhole(), RemovedTargets: p.GetGone(), ConfigVersion: p.GetConfig(), Stale: p.GetStale(), Routers: int(p.GetRouters()), TargetsRevision: p.GetTargetsRevision()}
	if len(p.GetConfigValue()) > 0 {
		value, err := decompressConfig(p.GetConfigValue())
		if err != nil {
			return nil, err
		}
		u.ConfigValue = value
	}
	for _, serviceTimes := range p.GetServiceTimes() {
		u.ServiceTimes = append(u.ServiceTimes, decodeServiceTimes(serviceTimes))
	}
	for _, limits := range p.GetLimits() {
		u.Limits = append(u.Limits, decodeLimits(limits))
	}
	for _, t := range p.GetTargets() {
		u.Targets = append(u.Targets, decodeTarget(t))
	}
	if p.GetRelays() != nil {
		u.Relays = decodeRelays(p.GetRelays())
	}
	if p.GetEvacuations() != nil {
		u.Evacuations = decodeEvacuations(p.GetEvacuations())
	}
	if p.GetContacts() != nil {
		u.Contacts = p.GetContacts().GetAddresses()
	}
	if p.GetStandbys() != nil {
		u.Standbys = &Standbys{p.GetStandbys().GetRouters()}
	}
	if p.GetTargetLimits() != nil {
		u.TargetLimits = decodeTargetLimits(p.GetTargetLimits())
	}
	if p.GetLeavingTargets() != nil {
		u.Leaving = &LeavingTargets{decodeLeaving(p.GetLeavingTargets().GetTargets(), time.Now())}
	}
	u.Permits = decodePermits(p.GetPermits())
	if p.GetQuarantine() != nil {
		u.Quarantine = decodeQuarantine(p.GetQuarantine(), time.Now())
	}
	for _, t := range p.GetTables() {
		table, err := decodeTable(t, tables[t.GetService()])
		if err != nil {
			return nil, err
		}
		tables[t.GetService()] = table.Table
		u.Tables = append(u.Tables, table)
	}
	return u, nil
}
