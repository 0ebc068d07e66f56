// Package keyspace divides the keys of one service into ranges and records which target holds
// each range under which fencing token. It does no I/O.
package keyspace

import (
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Key is the number that the key of a request is mapped to.
type Key = uint16

// LastKey is the highest key; the lowest is zero.
const LastKey Key = 1<<16 - 1

// Holder is one instance of a target.
type Holder struct {
	Target string `json:"t,omitempty"`
	// StartUnixMilli is the start time of the instance in Unix milliseconds, or zero if the target
	// doesn't report it. It tells instances of a target that restarts under the same name
	// apart.
	StartUnixMilli int64 `json:"b,omitempty"`
}

// Segment is a range of keys with one holder and token.
type Segment struct {
	// From and To are the first and last key of the range, both inclusive.
	From Key `json:"f"`
	To   Key `json:"l"`
	// Holder is empty if nobody holds the keys.
	Holder
	// Token is the fencing token of the grant. It is higher than every token that another
	// holder of one of these keys has had.
	Token uint64 `json:"n,omitempty"`
	// Moving reports whether the holder is to give the keys up. Routers hold requests for them
	// back meanwhile.
	Moving bool `json:"m,omitempty"`
	// HolderUnreachable reports whether the holder of a moving segment is unreachable, so that its grant
	// must expire first. That takes seconds, too long for a request to wait. Tables that are sent to routers have it
	// too where the store must be reached first.
	HolderUnreachable bool `json:"x,omitempty"`
}

// Len returns the number of keys in the range.
func (s *Segment) Len() int { return int(s.To) - int(s.From) + 1 }

// Table is the assignment of one service's keys. A table that the request path reads is never
// modified.
type Table struct {
	Service string `json:"service"`
	// Era is the store era in which the table was written.
	Era uint32 `json:"era,omitempty"`
	// NextToken is higher than every token issued.
	NextToken uint64 `json:"next"`
	// LongestTTL is the longest TTL of grants outside of outages of the store; zero for the default.
	LongestTTL time.Duration `json:"ttl,omitempty"`
	// Segments cover all keys, in order.
	Segments []Segment `json:"segments"`
}

// New returns the table of a service whose keys nobody holds.
func New(service string) *Table {
	return &Table{Service: service, NextToken: 1, Segments: []Segment{{From: 0, To: LastKey}}}
}

// Find returns the segment that contains the key.
func (t *Table) Find(key Key) *Segment {
	i := sort.Search(len(t.Segments), func(i int) bool { return t.Segments[i].To >= key })
	return &t.Segments[i]
}

// TakeToken issues a token that is higher than all issued before.
func (t *Table) TakeToken() uint64 {
	t.NextToken++
	return t.NextToken - 1
}

// Split splits a segment so that the key is the first of its segment.
func (t *Table) Split(key Key) {
	i := sort.Search(len(t.Segments), func(i int) bool { return t.Segments[i].To >= key })
	if t.Segments[i].From == key {
		return
	}
	left, right := t.Segments[i], t.Segments[i]
	left.To, right.From = key-1, key
	t.Segments = append(t.Segments, Segment{})
	copy(t.Segments[i+2:], t.Segments[i+1:])
	t.Segments[i], t.Segments[i+1] = left, right
}

// SplitOut makes the keys from first to last a segment of their own and returns it. The keys must
// lie in one segment.
func (t *Table) SplitOut(first, last Key) *Segment {
	t.Split(first)
	if last < LastKey {
		t.Split(last + 1)
	}
	return t.Find(first)
}

// Join joins neighbouring segments that differ only in their range.
func (t *Table) Join() {
	kept := t.Segments[:1]
	for _, s := range t.Segments[1:] {
		last := &kept[len(kept)-1]
		if last.Holder == s.Holder && last.Token == s.Token && last.Moving == s.Moving && last.HolderUnreachable == s.HolderUnreachable {
			last.To = s.To
			continue
		}
		kept = append(kept, s)
	}
	t.Segments = kept
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() *Table {
	c := *t
	c.Segments = append([]Segment(nil), t.Segments...)
	return &c
}

// Check returns an error unless the segments cover every key exactly once, in order, and all
// tokens are below NextToken.
func (t *Table) Check() error {
	next := 0
	for i := range t.Segments {
		s := &t.Segments[i]
		if int(s.From) != next || s.To < s.From {
			return errors.Errorf("table of %s: segment %d covers %d to %d, want from %d", t.Service, i, s.From, s.To, next)
		}
		if s.Token >= t.NextToken {
			return errors.Errorf("table of %s: token %d is not below the next, %d", t.Service, s.Token, t.NextToken)
		}
		next = int(s.To) + 1
	}
	if next != int(LastKey)+1 {
		return errors.Errorf("table of %s: the segments end at %d", t.Service, next-1)
	}
	return nil
}
