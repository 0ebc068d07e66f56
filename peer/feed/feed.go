// Package feed carries what the leader knows to the other routers, and what they see of
// the keys' load to the leader. It spares each router the watches of the store by which
// it would else learn the same: every heartbeat of every target ends such a watch.
//
// One stream goes each way over one connection, so that there is nothing to multiplex:
// frames are protobuf messages with their length in front.
package feed

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/keyspace"
	"tarragongw/peer/feedpb"
)

const (
	// HeartbeatEvery is how often the leader says at least that it lives and hears from the
	// store; each wakes both ends.
	HeartbeatEvery = 250 * time.Millisecond
	// Silence is how long a follower believes in a leader that says nothing: two heartbeats
	// may be late. With a watch of its own it then still learns of a leaving target within
	// two seconds.
	Silence = 700 * time.Millisecond
	// BackedFor is how long a router that backs a leader follows no other one, from the
	// beat that it answers: a few reports may be lost.
	BackedFor = time.Second
	// dialTimeout bounds opening a connection between routers.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout ends the feed of a follower that doesn't read.
	writeTimeout = 500 * time.Millisecond
	// reportEvery is how often a follower reports to the leader which keys were asked for.
	reportEvery = 200 * time.Millisecond
	// maxFrame bounds a frame: the targets and tables of the largest fleet that one leader
	// tells of, 20,000 targets of some 100 bytes.
	maxFrame = 4 << 20
)

// Table is the division of a service's keys with the store's revision of it, and the count
// of what the leader published of that revision; zero is the store's own word.
type Table struct {
	Revision, Sequence uint64
	Table              *keyspace.Table
}

// Newer reports whether the table says more than the old one.
func (t *Table) Newer(old *Table) bool {
	if t.Revision != old.Revision {
		return t.Revision > old.Revision
	}
	return t.Sequence > old.Sequence
}

// Update is what has changed since the update before.
type Update struct {
	// Whole says that Targets are all there are.
	Whole   bool
	Targets []directory.Target
	Gone    []string
	Tables  []Table
	// Config is the version of the configuration that the leader has in force.
	Config uint64
	// ConfigValue is that configuration as the store has it; nil where it has not changed.
	ConfigValue []byte
	// Routers is the number of live routers; zero where it isn't known.
	Routers int
	// Stale says that the leader doesn't hear from the store: there are tables at most.
	Stale bool
	// ServiceTimes are how fast targets are.
	ServiceTimes []ServiceTimes
	// Limits are the keys that are asked for more than their holders can do, of the services
	// for which that has changed.
	Limits []Limits
}

// Limits are the limited keys of one service.
type Limits struct {
	Service string
	Limits  []keyspace.Limit
}

// ServiceTimes are how fast targets of one service are.
type ServiceTimes struct {
	Service string
	Targets []dispatch.TargetStats
}

// Report is what a router saw of one service: the keys that were asked for, and what
// answers told of the targets' speed.
type Report struct {
	Service      string
	Keys         []keyspace.Key
	ServiceTimes []dispatch.TargetStats
}

func encodeTarget(t *directory.Target, now time.Time) *feedpb.Target {
	cold := max(t.ColdUntil.Sub(now), 0)
	return &feedpb.Target{
		Id: t.ID, Born: t.Born, Address: t.Address, Service: t.Service, DataCentre: t.DataCentre,
		Slots: int32(t.Slots), Draining: t.Draining, ColdMs: cold.Milliseconds(),
	}
}

func decodeTarget(t *feedpb.Target) directory.Target {
	return directory.Target{
		ID: t.GetId(), Born: t.GetBorn(), Address: t.GetAddress(), Service: t.GetService(), DataCentre: t.GetDataCentre(),
		Slots: int(t.GetSlots()), Draining: t.GetDraining(), ColdFor: time.Duration(t.GetColdMs()) * time.Millisecond,
	}
}

func encodeServiceTimes(service string, serviceTimes []dispatch.TargetStats) *feedpb.ServiceTimes {
	p := &feedpb.ServiceTimes{Service: service}
	for _, sample := range serviceTimes {
		p.Targets = append(p.Targets, &feedpb.TargetStats{
			Target: sample.Target, Answers: uint32(sample.Answers), MeanUs: uint32(min(sample.Mean.Microseconds(), math.MaxUint32)),
			Waiting: uint32(sample.Waiting), Failed: uint32(sample.Failed), StalledMs: uint32(sample.Stalled.Milliseconds()),
		})
	}
	return p
}

func decodeServiceTimes(p *feedpb.ServiceTimes) ServiceTimes {
	serviceTimes := ServiceTimes{Service: p.GetService()}
	for _, sample := range p.GetTargets() {
		serviceTimes.Targets = append(serviceTimes.Targets, dispatch.TargetStats{
			Target: sample.GetTarget(), Answers: int(sample.GetAnswers()), Mean: time.Duration(sample.GetMeanUs()) * time.Microsecond,
			Waiting: int(sample.GetWaiting()), Failed: int(sample.GetFailed()), Stalled: time.Duration(sample.GetStalledMs()) * time.Millisecond,
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
	return &feedpb.Segment{Last: uint32(s.To), Target: s.Target, Born: s.Born, Token: s.Token, Moving: s.Moving, Lost: s.Lost}
}

func decodeSegment(from int, s *feedpb.Segment) keyspace.Segment {
	return keyspace.Segment{
		From: keyspace.Key(from), To: keyspace.Key(s.GetLast()), Holder: keyspace.Holder{Target: s.GetTarget(), Born: s.GetBorn()},
		Token: s.GetToken(), Moving: s.GetMoving(), Lost: s.GetLost(),
	}
}

// encodePatch returns what makes the new table of the old one: the segments that the old one
// doesn't have. Moves change some segments here and there of hundreds, and each change goes
// to all routers.
func encodePatch(old, t Table) *feedpb.Table {
	patch := &feedpb.Table{
		Service: t.Table.Service, Revision: t.Revision, Sequence: t.Sequence, NextToken: t.Table.NextToken, Patch: true,
	}
	before := old.Table.Segments
	for i := range t.Table.Segments {
		s := &t.Table.Segments[i]
		for len(before) > 0 && before[0].To < s.From {
			before = before[1:]
		}
		if len(before) > 0 && before[0] == *s {
			continue
		}
		changed := encodeSegment(s)
		changed.First = uint32(s.From)
		patch.Segments = append(patch.Segments, changed)
	}
	return patch
}

var errNoBase = errors.New("feed: a patch of a table that was not sent")

// decodeTable makes a table of what was sent, and of the table before where it is a patch.
// A table that doesn't cover all keys is an error.
func decodeTable(p *feedpb.Table, before *keyspace.Table) (Table, error) {
	t := &keyspace.Table{Service: p.GetService(), NextToken: p.GetNextToken()}
	if p.GetPatch() {
		if before == nil {
			return Table{}, errNoBase
		}
		t.Segments = patched(before.Segments, p.GetSegments())
		return Table{p.GetRevision(), p.GetSequence(), t}, t.Check()
	}
	from := 0
	for _, s := range p.GetSegments() {
		t.Segments = append(t.Segments, decodeSegment(from, s))
		from = int(s.GetLast()) + 1
	}
	return Table{p.GetRevision(), p.GetSequence(), t}, t.Check()
}

// patched returns the segments before without those whose keys are changed, and the changed
// ones.
func patched(before []keyspace.Segment, changed []*feedpb.Segment) []keyspace.Segment {
	var all []keyspace.Segment
	for _, c := range changed {
		s := decodeSegment(int(c.GetFirst()), c)
		for len(before) > 0 && before[0].To < s.From {
			all = append(all, before[0])
			before = before[1:]
		}
		for len(before) > 0 && before[0].From <= s.To {
			before = before[1:]
		}
		all = append(all, s)
	}
	return append(all, before...)
}

// decodeUpdate reads an update; tables are those that came before on the same connection,
// which it replaces.
func decodeUpdate(p *feedpb.Update, tables map[string]*keyspace.Table) (*Update, error) {
	u := &Update{Whole: p.GetWhole(), Gone: p.GetGone(), Config: p.GetConfig(), Stale: p.GetStale(), Routers: int(p.GetRouters())}
	if len(p.GetConfigValue()) > 0 {
		value, err := inflate(p.GetConfigValue())
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
