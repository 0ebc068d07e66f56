package caller

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"tarragongw/core/fault"
)

// maxPipelinedBytes bounds how much of an answer is buffered before its turn; beyond it the
// writer blocks, and with it the target.
const maxPipelinedBytes = 64 * kibibyte

var errAnswerAbandoned = errors.New("caller: the answer is no longer wanted")

// pipelinedAnswer is the answer to a request that was started before its turn. It is the
// http.ResponseWriter of that request, buffers the answer and delivers it when the turn has
// come.
type pipelinedAnswer struct {
	method, uri, id string
	idHeader        string
	arrivedAt       time.Time
	cancel          context.CancelFunc

	header http.Header

	mu      sync.Mutex
	changed *sync.Cond
	// deadline is that of the request; zero if it has none.
	deadline time.Time
	// status is zero until the final header was written; sentHeader is a copy of the header as
	// it was then.
	status     int
	sentHeader http.Header
	body       []byte
	// ended means that the handler has returned; aborted means that it did so before the
	// answer was complete.
	ended, aborted bool
	// abandoned means that nobody waits for the answer any more, and expired that the server
	// ends all requests. After expired the handler may still write a short answer, but no
	// write blocks for buffer space.
	abandoned, expired bool
	// refused means that the request was refused before its turn and is to be served again in
	// its turn.
	refused bool
	// outcome is that of the request, once ended is set.
	outcome Outcome
}

// startPipelined serves a request before its turn. It returns nil if the request may run at
// most once, or if this router is closing connections.
func (h *Handler) startPipelined(ctx context.Context, r *http.Request, arrivedAt time.Time) *pipelinedAnswer {
	if h.closing() || !h.repeatable(r) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &pipelinedAnswer{
		method: r.Method, uri: r.RequestURI, idHeader: h.cfg.RequestIDHeader, id: r.Header.Get(h.cfg.RequestIDHeader),
		arrivedAt: arrivedAt, cancel: cancel, header: http.Header{},
	}
	a.changed = sync.NewCond(&a.mu)
	// Without this, a write that blocks for buffer space would block for ever after the caller
	// closed the connection.
	context.AfterFunc(ctx, func() { a.abandon(context.Cause(ctx) == context.DeadlineExceeded) })
	go a.serve(h, r.WithContext(ctx))
	return a
}

// repeatable reports whether the request may run more than once.
func (h *Handler) repeatable(r *http.Request) bool {
	rules := h.rules.Load()
	if rules == nil || hasDotSegments(r.URL) {
		return false
	}
	rule, src := rules.match(r)
	if rule == nil {
		return false
	}
	repeatable, f := src.repeatable(&rule.repeatable, r.Method)
	return f == nil && repeatable
}

func (a *pipelinedAnswer) serve(h *Handler, r *http.Request) {
	defer func() {
		// The handler aborts an answer by a panic, as any handler does; other panics were
		// recovered and logged in exchange.forward.
		cause := recover()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ended, a.aborted = true, cause != nil
		a.changed.Broadcast()
	}()
	h.ServeHTTP(a, r)
}

// matches reports whether r is the request that was started.
func (a *pipelinedAnswer) matches(r *http.Request) bool {
	return a.method == r.Method && a.uri == r.RequestURI && a.id == r.Header.Get(a.idHeader)
}

// cancelRequest cancels the request, whose answer is no longer wanted.
func (a *pipelinedAnswer) cancelRequest() { a.cancel() }

// abandon makes further writes fail. If the request has expired, writes still succeed while
// there is buffer space, so that the caller can get the timeout answer.
func (a *pipelinedAnswer) abandon(expired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expired, a.abandoned = expired, !expired
	a.changed.Broadcast()
}

// setDeadline sets the deadline of the request.
func (a *pipelinedAnswer) setDeadline(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = deadline
}

// Header implements http.ResponseWriter.
func (a *pipelinedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Interim answers are dropped.
func (a *pipelinedAnswer) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status < http.StatusOK || a.status != 0 {
		return
	}
	a.status, a.sentHeader = status, maps.Clone(a.header)
	a.changed.Broadcast()
}

// Write implements http.ResponseWriter.
func (a *pipelinedAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.body) >= maxPipelinedBytes && !a.abandoned && !a.expired {
		a.changed.Wait()
	}
	if a.abandoned || len(a.body) >= maxPipelinedBytes {
		return 0, errAnswerAbandoned
	}
	a.body = append(a.body, p...)
	a.changed.Broadcast()
	return len(p), nil
}

// Flush does nothing. Like SetReadDeadline and SetWriteDeadline it is called by an exchange,
// but the connection must not be touched before the turn of the answer.
func (a *pipelinedAnswer) Flush() {}

// SetReadDeadline does nothing.
func (a *pipelinedAnswer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (a *pipelinedAnswer) SetWriteDeadline(time.Time) error { return nil }

// deliver writes the answer, whose turn has come, to the caller while it is still being
// produced. It returns false if the request has to be served now instead.
func (a *pipelinedAnswer) deliver(x *exchange) bool {
	defer a.cancelRequest()
	x.Placed() // it was started before its turn
	status := a.awaitStatus()
	if a.refused {
		x.meta.Part = a.outcome.Meta.Part
		return false
	}
	x.meta.Deadline = a.deadline
	if status == 0 {
		abort(x.r) // the caller closed the connection, or the handler wrote no answer
	}
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		x.reportLate(&a.outcome)
	}()
	x.direct = true
	maps.Copy(x.Header(), a.sentHeader)
	x.WriteHeader(status)
	for {
		part, last := a.nextPart()
		if _, err := x.Write(part); err != nil && err != http.ErrBodyNotAllowed {
			abort(x.r)
		}
		if last {
			break
		}
	}
	if a.aborted {
		x.flushPartial()
		abort(x.r)
	}
	maps.Copy(x.Header(), a.header) // trailers come after the body
	x.writeTimeout.close()
	x.boundFinalFlush()
	return true
}

// deferRefusal marks a pipelined request that was refused before its turn to be served again
// in its turn, and reports whether it did. The refusal could not be sent sooner, and by then
// there may be room. It does not apply to a request of which an attempt was already sent to a
// target, since serving it again would treat it as new.
func (x *exchange) deferRefusal(f *fault.Fault) bool {
	a, pipelined := x.w.(*pipelinedAnswer)
	if !pipelined || f.Ran != fault.NotRun || f.Kind.Row().Status != http.StatusServiceUnavailable || len(x.meta.Attempts) > 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = true
	return true
}

// awaitStatus waits until the answer's status is known and returns it, or zero if there is no
// answer.
func (a *pipelinedAnswer) awaitStatus() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.status == 0 && !a.ended {
		a.changed.Wait()
	}
	return a.status
}

// nextPart waits for and returns the next buffered part of the body, and reports whether it is
// the last.
func (a *pipelinedAnswer) nextPart() ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.body) == 0 && !a.ended {
		a.changed.Wait()
	}
	part := a.body
	a.body = nil
	a.changed.Broadcast()
	return part, a.ended
}

// takePipelined returns the answer to r if it was started before its turn, or nil.
func takePipelined(r *http.Request) *pipelinedAnswer {
	if c := connOf(r); c != nil && c.pipeline != nil {
		return c.pipeline.takeAnswer(r)
	}
	return nil
}

// connOf returns the caller's connection, or nil for a request that is served before its turn.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// mayClose reports whether the connection may be closed after this answer. It may not while
// requests behind this one are outstanding, and a pipelined answer does not decide it before
// its turn.
func (x *exchange) mayClose() bool {
	if _, pipelined := x.w.(*pipelinedAnswer); pipelined {
		return false
	}
	c := connOf(x.r)
	return c == nil || c.pipeline == nil || c.pipeline.outstanding() == 0
}
