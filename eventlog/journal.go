package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Config holds the settings of a journal.
type Config struct {
	// Capacity is the number of events kept. Default 2048.
	Capacity int
	// Requests is the number of refused and failed requests kept. Default 2048.
	Requests int
	// RequestLines bounds the log lines about refused and failed requests a second.
	// Default 20; negative means none.
	RequestLines int
	// Logger receives one line for each event. Default: none is written.
	Logger *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultCapacity     = 2048
	defaultRequests     = 2048
	defaultRequestLines = 20
)

// Journal keeps the last events. It is safe for concurrent use. A nil Journal
// drops everything.
type Journal struct {
	cfg      Config
	requests requests

	mu   sync.Mutex
	ring []Event
	// next is the sequence number of the next event; the first is 1.
	next uint64
	// added is closed and replaced with each event that somebody waits for.
	added   chan struct{}
	waiting bool
}

// New returns an empty journal.
func New(cfg Config) *Journal {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	if cfg.Requests <= 0 {
		cfg.Requests = defaultRequests
	}
	if cfg.RequestLines == 0 {
		cfg.RequestLines = defaultRequestLines
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Journal{
		cfg:      cfg,
		requests: newRequests(cfg.Requests),
		ring:     make([]Event, 0, min(cfg.Capacity, 64)),
		next:     1,
		added:    make(chan struct{}),
	}
}

// Record keeps the event, logs it and returns its sequence number.
func (j *Journal) Record(e Event) uint64 {
	if j == nil {
		return 0
	}
	e = e.bounded()
	if e.Time.IsZero() {
		e.Time = j.cfg.Now()
	}
	j.keep(&e)
	// The line is written without the lock: an output that stalls holds up who records
	// but not who reads.
	j.cfg.Logger.LogAttrs(context.Background(), slog.LevelInfo, "event", e.attrs()...)
	return e.Seq
}

func (j *Journal) keep(e *Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Seq = j.next
	j.next++
	if len(j.ring) < j.cfg.Capacity {
		j.ring = append(j.ring, *e)
	} else {
		j.ring[j.index(e.Seq)] = *e
	}
	if j.waiting {
		close(j.added)
		j.added = make(chan struct{})
		j.waiting = false
	}
}

// index returns the place of the event in the ring.
func (j *Journal) index(seq uint64) int { return int((seq - 1) % uint64(j.cfg.Capacity)) }

// Filter selects events; empty members match everything.
type Filter struct {
	Kinds   []Kind
	Service string
	Unit    string
	Target  string
	Router  string
	Caller  string
	// After keeps events at or after the time.
	After time.Time
	// Limit bounds the number of events; zero means all that are kept.
	Limit int
}

func (f *Filter) matches(e *Event) bool {
	return f.matchesKind(e.Kind) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Unit == "" || f.Unit == e.Unit) &&
		(f.Target == "" || f.Target == e.Target) &&
		(f.Router == "" || f.Router == e.Router) &&
		(f.Caller == "" || f.Caller == e.Caller) &&
		!e.Time.Before(f.After)
}

func (f *Filter) matchesKind(kind Kind) bool {
	if len(f.Kinds) == 0 {
		return true
	}
	for _, k := range f.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Page is a part of the journal.
type Page struct {
	Events []Event `json:"events"`
	// Next is the sequence number to ask since for what follows.
	Next uint64 `json:"next"`
	// Missed is the number of events after since that the ring no longer holds,
	// whether they would have matched or not.
	Missed uint64 `json:"missed,omitempty"`
}

// Events returns the events after sequence number since that match, oldest first.
func (j *Journal) Events(since uint64, filter Filter) Page {
	if j == nil {
		return Page{Next: since}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.pageLocked(since, &filter)
}

func (j *Journal) pageLocked(since uint64, filter *Filter) Page {
	last := j.next - 1
	// A number above the last comes from an earlier life of the process: start anew.
	if since > last {
		since = 0
	}
	page := Page{Next: last}
	oldest := j.next - uint64(len(j.ring))
	first := since + 1
	if first < oldest {
		page.Missed = oldest - first
		first = oldest
	}
	for seq := first; seq <= last; seq++ {
		e := &j.ring[j.index(seq)]
		if !filter.matches(e) {
			continue
		}
		page.Events = append(page.Events, *e)
		if filter.Limit > 0 && len(page.Events) == filter.Limit {
			page.Next = seq
			break
		}
	}
	return page
}

// Follow is Events that waits until an event matches or ctx ends. Where ctx
// ends it returns an empty page to go on from and the context's error.
func (j *Journal) Follow(ctx context.Context, since uint64, filter Filter) (Page, error) {
	if j == nil {
		<-ctx.Done()
		return Page{Next: since}, ctx.Err()
	}
	for {
		page, added := j.look(since, &filter)
		if added == nil {
			return page, nil
		}
		select {
		case <-added:
			since = page.Next
		case <-ctx.Done():
			return Page{Next: page.Next}, ctx.Err()
		}
	}
}

// look returns the page and, where it is empty, the channel that is closed at
// the next event.
func (j *Journal) look(since uint64, filter *Filter) (Page, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	page := j.pageLocked(since, filter)
	if len(page.Events) > 0 || page.Missed > 0 {
		return page, nil
	}
	j.waiting = true
	return page, j.added
}
