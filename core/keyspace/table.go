// Package keyspace divides the keys of one service into ranges and says which target
// holds each under which fencing token. It does no I/O.
package keyspace

import (
	"sort"

	"github.com/pkg/errors"
)

// Key is the number that a request's key is given by.
type Key = uint16

// LastKey is the highest key; the first is zero.
const LastKey Key = 1<<16 - 1

// Holder is one life of a target.
type Holder struct {
	Target string `json:"t,omitempty"`
	// Born tells lives of a target that starts again under the same name apart: the
	// Unix millisecond of its start, zero where it doesn't say.
	Born int64 `json:"b,omitempty"`
}

// Segment is a range of keys that is held as one.
type Segment struct {
	// From and To are both part of the range.
	From Key `json:"f"`
	To   Key `json:"l"`
	// Holder is empty where nobody holds the keys.
	Holder
	// Token fences the grant; it is above every token that another holder of one of
	// these keys has had.
	Token uint64 `json:"n,omitempty"`
	// Moving says that the holder is to give the keys up: routers keep requests for them
	// back.
	Moving bool `json:"m,omitempty"`
	// Lost says of a moving segment that its holder isn't reached, so that its grant has to
	// lapse first: that takes seconds, too long for a request to wait.
	Lost bool `json:"x,omitempty"`
}

// Len is the number of keys of the range.
func (s *Segment) Len() int { return int(s.To) - int(s.From) + 1 }

// Table is the division of one service's keys. What the request path reads is never
// changed.
type Table struct {
	Service string `json:"service"`
	// Era is that of the store in which the table was written.
	Era uint32 `json:"era,omitempty"`
	// NextToken is above every token that was given out.
	NextToken uint64 `json:"next"`
	// Segments cover all keys in order.
	Segments []Segment `json:"segments"`
}

// New returns the table of a service whose keys nobody holds.
func New(service string) *Table {
	return &Table{Service: service, NextToken: 1, Segments: []Segment{{From: 0, To: LastKey}}}
}

// Find returns the segment that holds the key.
func (t *Table) Find(k Key) *Segment {
	i := sort.Search(len(t.Segments), func(i int) bool { return t.Segments[i].To >= k })
	return &t.Segments[i]
}

// TakeToken returns a token above all that were given out.
func (t *Table) TakeToken() uint64 {
	t.NextToken++
	return t.NextToken - 1
}

// Split makes the key the first of a segment.
func (t *Table) Split(k Key) {
	i := sort.Search(len(t.Segments), func(i int) bool { return t.Segments[i].To >= k })
	if t.Segments[i].From == k {
		return
	}
	left, right := t.Segments[i], t.Segments[i]
	left.To, right.From = k-1, k
	t.Segments = append(t.Segments, Segment{})
	copy(t.Segments[i+2:], t.Segments[i+1:])
	t.Segments[i], t.Segments[i+1] = left, right
}

// Carve makes a segment of its own of the keys from first to last and returns it. The
// keys must lie in one segment.
func (t *Table) Carve(first, last Key) *Segment {
	t.Split(first)
	if last < LastKey {
		t.Split(last + 1)
	}
	return t.Find(first)
}

// Join makes one segment of neighbours that are alike.
func (t *Table) Join() {
	kept := t.Segments[:1]
	for _, s := range t.Segments[1:] {
		last := &kept[len(kept)-1]
		if last.Holder == s.Holder && last.Token == s.Token && last.Moving == s.Moving && last.Lost == s.Lost {
			last.To = s.To
			continue
		}
		kept = append(kept, s)
	}
	t.Segments = kept
}

// Clone returns a table that shares nothing.
func (t *Table) Clone() *Table {
	c := *t
	c.Segments = append([]Segment(nil), t.Segments...)
	return &c
}

// Check returns an error unless the segments cover all keys once, in order, under tokens
// that were given out.
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
