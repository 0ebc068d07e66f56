package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Config holds the settings of a journal.
type Config struct {
	// Capacity is the maximum number of events kept. Default 2048.
	Capacity int
	// Requests is the maximum number of refused and failed requests kept. Default 2048.
	Requests int
	// RequestLines is the maximum number of log lines per second about refused and failed
	// requests. Default 20; negative means none.
	RequestLines int
	// Logger receives one line for each event. Default: nothing is logged.
	Logger *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultCapacity     = 2048
	defaultRequests     = 2048
	defaultRequestLines = 20
)

// Journal keeps the latest events and the latest refused and failed requests. It is safe for
// concurrent use. A nil Journal discards everything.
type Journal struct {
	cfg      Config
	requests requests

	mu   sync.Mutex
	ring []Event
	// next is the sequence number of the next event; the first is 1.
	next uint64
	// added is closed and replaced when an event is added while waiting is set.
	added chan struct{}
	// waiting is set while Follow waits for an event.
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

// Record stores the event, logs it and returns its sequence number.
func (j *Journal) Record(e Event) uint64 {
	if j == nil {
		return 0
	}
	e = e.bounded()
	if e.Time.IsZero() {
		e.Time = j.cfg.Now()
	}
	j.keep(&e)
	// The line is written without the lock, so that a log output that blocks delays only
	// Record, and not the readers of the journal.
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

// index returns the index in the ring of the event with the sequence number.
func (j *Journal) index(seq uint64) int { return int((seq - 1) % uint64(j.cfg.Capacity)) }

// Filter selects events; empty fields match everything.
type Filter struct {
	Kinds   []Kind
	Service string
	Unit    string
	Target  string
	Router  string
	Caller  string
	// After selects events at or after this time.
	After time.Time
	// Limit is the maximum number of events; zero means no limit.
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

// Page is a sequence of events from the journal.
type Page struct {
	Events []Event `json:"events"`
	// Next is the sequence number to pass as since for the following page.
	Next uint64 `json:"next"`
	// Missed is the number of events after since that the ring no longer holds, whether they
	// matched the filter or not.
	Missed uint64 `json:"missed,omitempty"`
}

// Events returns the events after the sequence number since that match the filter, oldest
// first.
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
	// A number above the last one is from an earlier instance of the process: start with the
	// oldest event.
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

// Follow is like Events, but waits until an event matches or ctx ends. If ctx ends, it returns
// the context's error and a page without events whose Next is valid.
func (j *Journal) Follow(ctx context.Context, since uint64, filter Filter) (Page, error) {
	if j == nil {
		<-ctx.Done()
		return Page{Next: since}, ctx.Err()
	}
	for {
		page, added := j.pageOrWait(since, &filter)
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

// pageOrWait returns the page and, if it is empty, the channel that is closed at the next
// event; otherwise the channel is nil.
func (j *Journal) pageOrWait(since uint64, filter *Filter) (Page, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	page := j.pageLocked(since, filter)
	if len(page.Events) > 0 || page.Missed > 0 {
		return page, nil
	}
	j.waiting = true
	return page, j.added
}
