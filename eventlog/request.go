package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Request describes a request that was refused or failed. It holds neither the key nor any
// part of the request's body or headers.
type Request struct {
	ID string `json:"id"`
	// Time is set by RecordRequest if it is zero.
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Caller  string    `json:"caller,omitempty"`
	Class   string    `json:"class,omitempty"`
	Unit    string    `json:"unit,omitempty"`
	Target  string    `json:"target,omitempty"`
	// Router is the router that refused the request or observed its failure.
	Router string `json:"router,omitempty"`
	// Code and Ran are the fault's code and whether the request was run.
	Code string `json:"code"`
	Ran  string `json:"ran"`
	// Cause is the fault's detail.
	Cause string `json:"cause,omitempty"`
	// Attempts is the number of attempts; Trail holds the first ones and the last one.
	Attempts int       `json:"attempts,omitempty"`
	Trail    []Attempt `json:"trail,omitempty"`
	// Elapsed is the time from the request's arrival to its answer.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Revision is the revision of the configuration that was in force.
	Revision uint64 `json:"revision,omitempty"`
}

// Attempt is one failed attempt of a request.
type Attempt struct {
	// Number counts from one.
	Number int `json:"number"`
	// After is the time from the start of the first attempt to the start of this one; Took is
	// the duration of this one.
	After time.Duration `json:"after_ns"`
	Took  time.Duration `json:"took_ns"`
	// Unit, Target and Router say where the attempt was directed, as far as that was decided;
	// Router is the target's grantor.
	Unit   string `json:"unit,omitempty"`
	Target string `json:"target,omitempty"`
	Router string `json:"router,omitempty"`
	// Code, Ran and Cause describe the fault that the attempt ended with.
	Code  string `json:"code"`
	Ran   string `json:"ran"`
	Cause string `json:"cause,omitempty"`
}

// maxAttempts limits the number of attempts that are kept of one request, and maxAttemptText
// each text of an attempt in bytes. With all at their limits the attempts of the default ring
// take about 9 MB.
const (
	maxAttempts    = 6
	maxAttemptText = 96
)

// boundedAttempts returns the first maxAttempts attempts with their texts truncated. It shares
// no memory with trail.
func boundedAttempts(trail []Attempt) []Attempt {
	if len(trail) == 0 {
		return nil
	}
	out := append([]Attempt(nil), trail[:min(len(trail), maxAttempts)]...)
	for i := range out {
		a := &out[i]
		for _, text := range []*string{&a.Unit, &a.Target, &a.Router, &a.Code, &a.Ran, &a.Cause} {
			*text = truncate(*text, maxAttemptText)
		}
	}
	return out
}

// bound truncates the texts and the trail to their limits.
func (r *Request) bound() {
	r.Trail = boundedAttempts(r.Trail)
	for _, text := range []*string{&r.ID, &r.Service, &r.Caller, &r.Class, &r.Unit, &r.Target, &r.Router, &r.Code, &r.Ran, &r.Cause} {
		*text = truncate(*text, maxText)
	}
}

// requests is a ring of requests. It has no index by id: a search of the whole ring takes
// microseconds, while an index took two thirds of the time for recording a refusal under
// overload.
type requests struct {
	mu   sync.Mutex
	ring []Request
	// next is the index of the next request in ring; count is the number of requests.
	next  int
	count int

	// second is the second, in Unix time, in which lines log lines were written; suppressed
	// is the number of lines left out since the last one that was written.
	second     int64
	lines      int
	suppressed int
}

func newRequests(capacity int) requests {
	return requests{ring: make([]Request, capacity)}
}

// RecordRequest stores and logs a request that was refused or failed. At most Config.RequestLines
// lines are logged per second: under overload there are tens of thousands of refusals, and
// logging each would add to the load. The next line that is written has the number of
// suppressed lines.
func (j *Journal) RecordRequest(r Request) {
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

// keep stores the request. It returns whether to log the request, and how many lines were
// suppressed before it.
func (q *requests) keep(r *Request, linesPerSecond int) (line bool, suppressed int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ring[q.next] = *r
	q.next = (q.next + 1) % len(q.ring)
	q.count = min(q.count+1, len(q.ring))
	return q.admitLine(r.Time.Unix(), linesPerSecond)
}

// admitLine decides whether a line may be logged in the second, and returns the number of
// lines suppressed before it.
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

// Request returns the latest refused or failed request with the id, if it is still kept.
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

// Requests returns the latest refused or failed requests, newest first, at most limit of them.
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
