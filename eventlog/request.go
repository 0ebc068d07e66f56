package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Request is what is known about a request that was refused or failed. It holds
// neither the key nor anything of the request's body or headers.
type Request struct {
	ID string `json:"id"`
	// Time is set by Refused where it is zero.
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Caller  string    `json:"caller,omitempty"`
	Class   string    `json:"class,omitempty"`
	Unit    string    `json:"unit,omitempty"`
	Target  string    `json:"target,omitempty"`
	// Router is the router that decided.
	Router string `json:"router,omitempty"`
	// Code and Ran are those of the fault.
	Code string `json:"code"`
	Ran  string `json:"ran"`
	// Cause is the fault's detail.
	Cause string `json:"cause,omitempty"`
	// Attempts is how many were made, and Trail the first ones and the last one.
	Attempts int       `json:"attempts,omitempty"`
	Trail    []Attempt `json:"trail,omitempty"`
	// Elapsed is the time from arrival to answer.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Revision is the configuration's revision at the time.
	Revision uint64 `json:"revision,omitempty"`
}

// Attempt is one attempt of a request; it failed.
type Attempt struct {
	// Number counts from one.
	Number int `json:"number"`
	// After is the time from the first attempt to this one, and Took how long it lasted.
	After time.Duration `json:"after_ns"`
	Took  time.Duration `json:"took_ns"`
	// Unit, Target and Router, the target's grantor, are where it was to go, as far as
	// that was settled.
	Unit   string `json:"unit,omitempty"`
	Target string `json:"target,omitempty"`
	Router string `json:"router,omitempty"`
	// Code, Ran and Cause are those of the fault that it ended with.
	Code  string `json:"code"`
	Ran   string `json:"ran"`
	Cause string `json:"cause,omitempty"`
}

// maxTrail bounds the attempts that are kept of one request, and maxCause each text of
// them in bytes: with all at their limits, the default ring takes about 9 MB of them.
const (
	maxTrail = 6
	maxCause = 96
)

// boundedTrail shares no memory with the caller's.
func boundedTrail(trail []Attempt) []Attempt {
	if len(trail) == 0 {
		return nil
	}
	out := append([]Attempt(nil), trail[:min(len(trail), maxTrail)]...)
	for i := range out {
		a := &out[i]
		for _, text := range []*string{&a.Unit, &a.Target, &a.Router, &a.Code, &a.Ran, &a.Cause} {
			*text = cut(*text, maxCause)
		}
	}
	return out
}

// bound cuts the texts and the trail to their limits.
func (r *Request) bound() {
	r.Trail = boundedTrail(r.Trail)
	for _, text := range []*string{&r.ID, &r.Service, &r.Caller, &r.Class, &r.Unit, &r.Target, &r.Router, &r.Code, &r.Ran, &r.Cause} {
		*text = cut(*text, maxText)
	}
}

// requests is a ring of requests. It has no index: who asks for one looks through all,
// which takes microseconds, while an index took two thirds of the time that the record
// of a refusal costs under overload.
type requests struct {
	mu   sync.Mutex
	ring []Request
	// next is the place of the next request; count is how many there are.
	next  int
	count int

	// second, lines and suppressed bound the log lines.
	second     int64
	lines      int
	suppressed int
}

func newRequests(capacity int) requests {
	return requests{ring: make([]Request, capacity)}
}

// Refused keeps a request that was refused or failed. Its log lines are bounded
// to Config.RequestLines a second: under overload refusals come by the ten
// thousand, and a line for each would add to the load. The next line that is
// written says how many were left out.
func (j *Journal) Refused(r Request) {
	if j == nil {
		return
	}
	r.bound()
	if r.Time.IsZero() {
		r.Time = j.cfg.Now()
	}
	line, suppressed := j.requests.keep(&r, j.cfg.RequestLines)
	if line {
		j.logRequest(&r, suppressed)
	}
}

// keep stores the request and says whether to log it, and how many went unlogged
// before it.
func (q *requests) keep(r *Request, linesPerSecond int) (line bool, suppressed int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ring[q.next] = *r
	q.next = (q.next + 1) % len(q.ring)
	q.count = min(q.count+1, len(q.ring))
	return q.admitLine(r.Time.Unix(), linesPerSecond)
}

func (q *requests) admitLine(second int64, linesPerSecond int) (line bool, suppressed int) {
	if second != q.second {
		q.second, q.lines = second, 0
	}
	if q.lines >= linesPerSecond {
		q.suppressed++
		return false, 0
	}
	q.lines++
	suppressed, q.suppressed = q.suppressed, 0
	return true, suppressed
}

func (j *Journal) logRequest(r *Request, suppressed int) {
	attrs := []slog.Attr{
		slog.String("request_id", r.ID),
		slog.String("service", r.Service),
		slog.String("caller", r.Caller),
		slog.String("code", r.Code),
		slog.String("ran", r.Ran),
		slog.String("cause", r.Cause),
		slog.String("target", r.Target),
		slog.Int("attempts", r.Attempts),
		slog.Duration("elapsed", r.Elapsed),
	}
	if suppressed > 0 {
		attrs = append(attrs, slog.Int("suppressed", suppressed))
	}
	j.cfg.Logger.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}

// Request returns the refused or failed request with the id, if it is still kept.
func (j *Journal) Request(id string) (Request, bool) {
	if j == nil {
		return Request{}, false
	}
	j.requests.mu.Lock()
	defer j.requests.mu.Unlock()
	q := &j.requests
	for i := 1; i <= q.count; i++ {
		if r := q.newest(i); r.ID == id {
			return *r, true
		}
	}
	return Request{}, false
}

// newest returns the n-th newest request, counted from one.
func (q *requests) newest(n int) *Request {
	return &q.ring[(q.next-n+len(q.ring))%len(q.ring)]
}

// Requests returns the last refused or failed requests, newest first, at most limit.
func (j *Journal) Requests(limit int) []Request {
	if j == nil {
		return nil
	}
	q := &j.requests
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(limit, q.count)
	list := make([]Request, 0, max(n, 0))
	for i := 1; i <= n; i++ {
		list = append(list, *q.newest(i))
	}
	return list
}
