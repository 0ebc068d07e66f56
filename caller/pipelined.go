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
	cancel          context.CancelFunc

	header http.Header

	mu      sync.Mutex
	changed *sync.Cond
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
}

// startPipelined serves a request before its turn. It returns nil if the request may run at
// most once, or if this router is closing connections.
func (h *Handler) startPipelined(ctx context.Context, r *http.Request) *pipelinedAnswer {
	if h.closing() || !h.repeatable(r) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &pipelinedAnswer{
		method: r.Method, uri: r.RequestURI, idHeader: h.cfg.RequestIDHeader, id: r.Header.Get(h.cfg.RequestIDHeader),
		cancel: cancel, header: http.Header{},
	}
	e.changed = sync.NewCond(&e.mu)
	// Without this, a write that blocks for buffer space would block for ever after the caller
	// closed the connection.
	context.AfterFunc(ctx, func() { e.abandon(context.Cause(ctx) == context.DeadlineExceeded) })
	go e.serve(h, r.WithContext(ctx))
	return e
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

func (e *pipelinedAnswer) serve(h *Handler, r *http.Request) {
	defer func() {
		// The handler aborts an answer by a panic, as any handler does; other panics were
		// recovered and logged in exchange.forward.
		cause := recover()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ended, e.aborted = true, cause != nil
		e.changed.Broadcast()
	}()
	h.ServeHTTP(e, r)
}

// matches reports whether r is the request that was started.
func (e *pipelinedAnswer) matches(r *http.Request) bool {
	return e.method == r.Method && e.uri == r.RequestURI && e.id == r.Header.Get(e.idHeader)
}

// cancelRequest cancels the request, whose answer is no longer wanted.
func (e *pipelinedAnswer) cancelRequest() { e.cancel() }

// abandon makes further writes fail. If the request has expired, writes still succeed while
// there is buffer space, so that the caller can get the timeout answer.
func (e *pipelinedAnswer) abandon(expired bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expired, e.abandoned = expired, !expired
	e.changed.Broadcast()
}

// Header implements http.ResponseWriter.
func (e *pipelinedAnswer) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. Interim answers are dropped.
func (e *pipelinedAnswer) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if status < http.StatusOK || e.status != 0 {
		return
	}
	e.status, e.sentHeader = status, maps.Clone(e.header)
	e.changed.Broadcast()
}

// Write implements http.ResponseWriter.
func (e *pipelinedAnswer) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.body) >= maxPipelinedBytes && !e.abandoned && !e.expired {
		e.changed.Wait()
	}
	if e.abandoned || len(e.body) >= maxPipelinedBytes {
		return 0, errAnswerAbandoned
	}
	e.body = append(e.body, p...)
	e.changed.Broadcast()
	return len(p), nil
}

// Flush does nothing. Like SetReadDeadline and SetWriteDeadline it is called by an exchange,
// but the connection must not be touched before the turn of the answer.
func (e *pipelinedAnswer) Flush() {}

// SetReadDeadline does nothing.
func (e *pipelinedAnswer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (e *pipelinedAnswer) SetWriteDeadline(time.Time) error { return nil }

// deliver writes the answer, whose turn has come, to the caller while it is still being
// produced. It returns false if the request has to be served now instead.
func (e *pipelinedAnswer) deliver(x *exchange) bool {
	defer e.cancelRequest()
	status := e.awaitStatus()
	if e.refused {
		return false
	}
	if status == 0 {
		abort(x.r) // the caller closed the connection, or the handler wrote no answer
	}
	x.direct = true
	maps.Copy(x.Header(), e.sentHeader)
	x.WriteHeader(status)
	for {
		part, last := e.nextPart()
		if _, err := x.Write(part); err != nil && err != http.ErrBodyNotAllowed {
			abort(x.r)
		}
		if last {
			break
		}
	}
	if e.aborted {
		x.flushPartial()
		abort(x.r)
	}
	maps.Copy(x.Header(), e.header) // trailers come after the body
	x.writeTimeout.close()
	x.boundFinalFlush()
	return true
}

// deferRefusal marks a pipelined request that was refused before its turn to be served again
// in its turn, and reports whether it did. The refusal could not be sent sooner, and by then
// there may be room. It does not apply to a request of which an attempt was already sent to a
// target, since serving it again would treat it as new.
func (x *exchange) deferRefusal(f *fault.Fault) bool {
	e, pipelined := x.w.(*pipelinedAnswer)
	if !pipelined || f.Ran != fault.NotRun || f.Kind.Row().Status != http.StatusServiceUnavailable || len(x.meta.Attempts) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = true
	return true
}

// awaitStatus waits until the answer's status is known and returns it, or zero if there is no
// answer.
func (e *pipelinedAnswer) awaitStatus() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.status == 0 && !e.ended {
		e.changed.Wait()
	}
	return e.status
}

// nextPart waits for and returns the next buffered part of the body, and reports whether it is
// the last.
func (e *pipelinedAnswer) nextPart() ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.body) == 0 && !e.ended {
		e.changed.Wait()
	}
	part := e.body
	e.body = nil
	e.changed.Broadcast()
	return part, e.ended
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
