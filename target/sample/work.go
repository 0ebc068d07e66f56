package sample

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragongw/target"
)

const (
	// maxValueBytes bounds what is kept of a body; the rest is read and counted.
	maxValueBytes = 4 << 10
	// maxFillBytes bounds the answer that ?fill= asks for.
	maxFillBytes = 1 << 30
	fillChunk    = 32 << 10
	// retrySeconds is the Retry-After of a refusal.
	retrySeconds = "1"
)

// Result is the answer to a request that ran.
type Result struct {
	Target  string `json:"target"`
	Unit    string `json:"unit"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	// Received is the number of bytes of the request's body.
	Received int64 `json:"received"`
}

// job is one request at work.
type job struct {
	order    target.RequestHeaders
	method   string
	key      string
	body     string
	received int64
	cut      Cut
}

// KeyOf returns the key of a request: the parameter "key", or else the last
// segment of the path.
func KeyOf(r *http.Request) string {
	if key := r.URL.Query().Get("key"); key != "" {
		return key
	}
	path := strings.TrimRight(r.URL.Path, "/")
	return path[strings.LastIndexByte(path, '/')+1:]
}

// serveWork runs one request. GET and HEAD read a key; PUT, POST and PATCH write
// the body as its value; DELETE empties it. ?fill=N adds an answer of N bytes.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Seen != nil {
		s.cfg.Seen(r)
	}
	s.Faults.gate(s.stopped)
	order, err := target.ParseRequestHeaders(r.Header)
	if err != nil {
		refuse(w, CauseRequest)
		return
	}
	j := &job{order: order, method: r.Method, key: KeyOf(r), cut: s.Faults.nextCut()}
	if j.cut == CutBeforeRun {
		panic(http.ErrAbortHandler)
	}
	if cause := s.enter(j); cause != "" {
		refuse(w, cause)
		return
	}
	defer s.exit(j)
	if s.Faults.now().failWork {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "the work failed"})
		return
	}
	if err := j.readBody(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	if cause := s.work(r, j); cause != "" {
		refuse(w, cause)
		return
	}
	result, cause := s.run(r, j)
	if cause != "" {
		refuse(w, cause)
		return
	}
	if j.cut == CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	answer(w, r, j, result)
}

// enter takes a slot, or returns why the request is refused.
func (s *Server) enter(j *job) string {
	s.mu.Lock()
	s.arrivals++
	s.mu.Unlock()
	if cause := s.Faults.now().refuse; cause != "" {
		return cause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause := s.grants.Admit(j.order.Unit, j.order.Token, j.order.Term, s.cfg.Now()); cause != "" {
		return cause
	}
	if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots && !s.cfg.NoShed {
		return CauseOverload
	}
	s.busy++
	s.busiest = max(s.busiest, s.busy)
	s.busyUnit[j.order.Unit]++
	return ""
}

func (s *Server) exit(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.busyUnit[j.order.Unit]--
	if s.busyUnit[j.order.Unit] == 0 {
		delete(s.busyUnit, j.order.Unit)
	}
}

func (j *job) readBody(r *http.Request) error {
	kept := new(strings.Builder)
	n, err := io.Copy(kept, io.LimitReader(r.Body, maxValueBytes))
	if err != nil {
		return err
	}
	rest, err := io.Copy(io.Discard, r.Body)
	j.body, j.received = kept.String(), n+rest
	return err
}

// work takes the request's time. It returns a cause where the sender has gone or
// the deadline has passed before the request ran.
func (s *Server) work(r *http.Request, j *job) string {
	delay := s.cfg.Work + s.Faults.now().delay
	if s.cold() {
		delay += s.cfg.ColdWork
	}
	if delay > 0 {
		if j.order.TimeLeft > 0 && delay > j.order.TimeLeft {
			return CauseDeadline
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		gone := r.Context().Done()
		if s.Faults.now().ignoreGone {
			gone = nil
		}
		select {
		case <-timer.C:
		case <-gone:
		case <-s.stopped.Done():
		}
	}
	s.Faults.gate(s.stopped)
	return ""
}

// run checks the grant once more and runs the request in one critical section.
func (s *Server) run(r *http.Request, j *job) (*Result, string) {
	gone := r.Context().Err() != nil && !s.Faults.now().ignoreGone
	if gone || s.stopped.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if cause := s.grants.Admit(j.order.Unit, j.order.Token, j.order.Term, now); cause != "" {
		return nil, cause
	}
	e := s.values[j.key]
	switch j.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	case http.MethodDelete:
		e = entry{version: e.version + 1}
	default:
		e = entry{value: j.body, version: e.version + 1}
	}
	s.values[j.key] = e
	s.cfg.Log.add(Execution{
		Target: s.cfg.Name, RequestID: j.order.RequestID, Method: j.method, Key: j.key,
		Unit: j.order.Unit, Token: j.order.Token, Term: j.order.Term, Time: now,
	})
	return &Result{Target: s.cfg.Name, Unit: j.order.Unit, Key: j.key,
		Value: e.value, Version: e.version, Received: j.received}, ""
}

// refuse states that the request did not run.
func refuse(w http.ResponseWriter, cause string) {
	w.Header().Set(target.HeaderNotRun, cause)
	w.Header().Set("Retry-After", retrySeconds)
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"not_run": cause})
}

func answer(w http.ResponseWriter, r *http.Request, j *job, result *Result) {
	fill, _ := strconv.ParseInt(r.URL.Query().Get("fill"), 10, 64) // not a number means none
	fill = min(fill, maxFillBytes)
	if j.cut == CutMidAnswer && fill <= 0 {
		fill = 2 * fillChunk
	}
	if fill <= 0 {
		writeJSON(w, http.StatusOK, result)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(fill, 10))
	chunk := make([]byte, fillChunk)
	for sent := int64(0); sent < fill; {
		n, err := w.Write(chunk[:min(fill-sent, fillChunk)])
		sent += int64(n)
		if err != nil {
			return
		}
		if j.cut == CutMidAnswer {
			_ = http.NewResponseController(w).Flush() // the cut follows in any case
			panic(http.ErrAbortHandler)
		}
	}
}
