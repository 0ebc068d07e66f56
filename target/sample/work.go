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
	// maxValueBytes limits the stored part of a body; the rest is only read and counted.
	maxValueBytes = 4 << 10
	// maxFillBytes limits the size of an answer requested with ?fill=.
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
	// Received is the number of bytes in the request's body.
	Received int64 `json:"received"`
}

// job is one request in flight.
type job struct {
	headers  target.RequestHeaders
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
// the body as its value; DELETE clears it. With ?fill=N the answer's body is N zero bytes.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Seen != nil {
		s.cfg.Seen(r)
	}
	s.Faults.waitUnfrozen(s.stopped)
	headers, err := target.ParseRequestHeaders(r.Header)
	if err != nil {
		writeRefusal(w, CauseRequest)
		return
	}
	j := &job{headers: headers, method: r.Method, key: KeyOf(r), cut: s.Faults.nextCut()}
	if j.cut == CutBeforeRun {
		panic(http.ErrAbortHandler)
	}
	if cause := s.acquireSlot(j); cause != "" {
		writeRefusal(w, cause)
		return
	}
	defer s.releaseSlot(j)
	if s.Faults.current().failWork {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "the work failed"})
		return
	}
	if err := j.readBody(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	if cause := s.simulateWork(r, j); cause != "" {
		writeRefusal(w, cause)
		return
	}
	result, cause := s.run(r, j)
	if cause != "" {
		writeRefusal(w, cause)
		return
	}
	if j.cut == CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, r, j, result)
}

// acquireSlot takes a slot for the request, or returns the cause for refusing it.
func (s *Server) acquireSlot(j *job) string {
	s.mu.Lock()
	s.arrivals++
	s.mu.Unlock()
	if cause := s.Faults.current().refuseCause; cause != "" {
		return cause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause := s.grants.Admit(j.headers.Unit, j.headers.Token, j.headers.Term, s.cfg.Now()); cause != "" {
		return cause
	}
	if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots && !s.cfg.NoShed {
		return CauseOverload
	}
	s.busy++
	s.busiest = max(s.busiest, s.busy)
	s.busyByUnit[j.headers.Unit]++
	return ""
}

func (s *Server) releaseSlot(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.busyByUnit[j.headers.Unit]--
	if s.busyByUnit[j.headers.Unit] == 0 {
		delete(s.busyByUnit, j.headers.Unit)
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

// simulateWork waits for the time that the request takes, or until its sender cancels it
// or the server is closed, and then while the server is frozen. It returns a cause, without
// waiting, if the request would take longer than its deadline allows.
func (s *Server) simulateWork(r *http.Request, j *job) string {
	delay := s.cfg.Work + s.Faults.current().delay
	if s.cold() {
		delay += s.cfg.ColdWork
	}
	if delay > 0 {
		if j.headers.TimeLeft > 0 && delay > j.headers.TimeLeft {
			return CauseDeadline
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		cancelled := r.Context().Done()
		if s.Faults.current().ignoreCancel {
			cancelled = nil
		}
		select {
		case <-timer.C:
		case <-cancelled:
		case <-s.stopped.Done():
		}
	}
	s.Faults.waitUnfrozen(s.stopped)
	return ""
}

// run checks the grant again and runs the request, both in one critical section.
func (s *Server) run(r *http.Request, j *job) (*Result, string) {
	cancelled := r.Context().Err() != nil && !s.Faults.current().ignoreCancel
	if cancelled || s.stopped.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if cause := s.grants.Admit(j.headers.Unit, j.headers.Token, j.headers.Term, now); cause != "" {
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
		Target: s.cfg.Name, RequestID: j.headers.RequestID, Method: j.method, Key: j.key,
		Unit: j.headers.Unit, Token: j.headers.Token, Term: j.headers.Term, Time: now,
	})
	return &Result{Target: s.cfg.Name, Unit: j.headers.Unit, Key: j.key,
		Value: e.value, Version: e.version, Received: j.received}, ""
}

// writeRefusal answers that the request did not run, and why.
func writeRefusal(w http.ResponseWriter, cause string) {
	w.Header().Set(target.HeaderNotRun, cause)
	w.Header().Set("Retry-After", retrySeconds)
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"not_run": cause})
}

func writeResult(w http.ResponseWriter, r *http.Request, j *job, result *Result) {
	fill, _ := strconv.ParseInt(r.URL.Query().Get("fill"), 10, 64) // an invalid number counts as zero
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
			_ = http.NewResponseController(w).Flush() // the connection is cut whether or not this fails
			panic(http.ErrAbortHandler)
		}
	}
}
