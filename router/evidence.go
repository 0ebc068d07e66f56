package router

import (
	"net/http"
	"sync"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/health"
)

// maxEvidence bounds the results that wait for the next tick of the health duty,
// for each target. What exceeds it replaces the oldest.
const maxEvidence = 512

// evidence collects what requests experience with one target until the health
// duty takes it. The request path takes no lock but that of its target.
type evidence struct {
	mu      sync.Mutex
	results []health.Result
	// next is the place that is overwritten next once results is full.
	next int
}

func (e *evidence) add(r health.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.results) < maxEvidence {
		e.results = append(e.results, r)
		return
	}
	e.results[e.next] = r
	e.next = (e.next + 1) % maxEvidence
}

// take hands over the results, oldest first, and goes on in the given slice.
func (e *evidence) take(room []health.Result) []health.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken, first := e.results, e.next
	e.results, e.next = room[:0], 0
	if first == 0 {
		return taken
	}
	return append(append(make([]health.Result, 0, len(taken)), taken[first:]...), taken[:first]...)
}

// answered adds an answer with its status; a server error is the target's failure,
// however well it answers probes.
func (e *evidence) answered(status int, took time.Duration) {
	if status >= http.StatusInternalServerError {
		e.add(health.Result{Signal: health.Failed})
		return
	}
	e.add(health.Result{Signal: health.OK, Latency: took})
}

// failed adds a fault as seen by the router that sends to the target.
func (e *evidence) failed(f *fault.Fault) {
	if f.Kind == fault.TargetUnreachable {
		e.add(health.Result{Signal: health.ConnectFailed})
		return
	}
	e.failedFar(f)
}

// failedFar adds a fault as seen by a router that has another one between itself
// and the target. What tells about the routers, the caller or a queue says nothing
// of the target.
func (e *evidence) failedFar(f *fault.Fault) {
	switch f.Kind {
	case fault.TargetUnreachable, fault.TargetLost, fault.AnswerTruncated, fault.AnswerInvalid:
		e.add(health.Result{Signal: health.Failed})
	case fault.TargetStalled, fault.DeadlineExceeded:
		// One connection may have gone silent, or the work may be long: a doubt that a
		// probe settles, no failure.
		e.add(health.Result{Signal: health.Stalled})
	case fault.TargetRefused:
		e.add(health.Result{Signal: health.Shed})
	}
}
