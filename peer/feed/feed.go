// Package feed carries what the leader knows to the other routers, and what they see of
// the keys' load to the leader. It spares each router the watches of the store by which
// it would else learn the same: every heartbeat of every target ends such a watch.
//
// One stream goes each way over one connection, so that there is nothing to multiplex:
// frames are protobuf messages with their length in front.
package feed

import (
	"time"

	"tarragongw/core/directory"
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
	// dialTimeout bounds opening a connection between routers.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout ends the feed of a follower that doesn't read.
	writeTimeout = 500 * time.Millisecond
	// reportEvery is how often a follower tells the leader which keys were asked for.
	reportEvery = 200 * time.Millisecond
	// maxFrame bounds a frame: the targets and tables of the largest fleet that one leader
	// tells of, 20,000 targets of some 100 bytes.
	maxFrame = 4 << 20
)

// Table is the division of a service's keys with the store's revision of it, and the count
// of what the leader told of that revision; zero is the store's own word.
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
}

// Report is the keys of one service that were asked for.
type Report struct {
	Service string
	Keys    []keyspace.Key
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

func encodeTable(t Table) *feedpb.Table {
	p := &feedpb.Table{Service: t.Table.Service, Revision: t.Revision, Sequence: t.Sequence, NextToken: t.Table.NextToken}
	for i := range t.Table.Segments {
		s := &t.Table.Segments[i]
		p.Segments = append(p.Segments, &feedpb.Segment{
			Last: uint32(s.To), Target: s.Target, Born: s.Born, Token: s.Token, Moving: s.Moving, Lost: s.Lost,
		})
	}
	return p
}

// decodeTable checks what it reads; a table that doesn't cover all keys is an error.
func decodeTable(p *feedpb.Table) (Table, error) {
	t := &keyspace.Table{Service: p.GetService(), NextToken: p.GetNextToken()}
	from := uint32(0)
	for _, s := range p.GetSegments() {
		t.Segments = append(t.Segments, keyspace.Segment{
			From: keyspace.Key(from), To: keyspace.Key(s.GetLast()), Holder: keyspace.Holder{Target: s.GetTarget(), Born: s.GetBorn()},
			Token: s.GetToken(), Moving: s.GetMoving(), Lost: s.GetLost(),
		})
		from = s.GetLast() + 1
	}
	return Table{p.GetRevision(), p.GetSequence(), t}, t.Check()
}

func decodeUpdate(p *feedpb.Update) (*Update, error) {
	u := &Update{Whole: p.GetWhole(), Gone: p.GetGone(), Config: p.GetConfig()}
	for _, t := range p.GetTargets() {
		u.Targets = append(u.Targets, decodeTarget(t))
	}
	for _, t := range p.GetTables() {
		table, err := decodeTable(t)
		if err != nil {
			return nil, err
		}
		u.Tables = append(u.Tables, table)
	}
	return u, nil
}
