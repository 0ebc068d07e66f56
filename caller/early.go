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

// earlyBytes bounds what is kept of an answer whose turn has not come; its target waits
// beyond that.
const earlyBytes = 64 * kibibyte

var errEarlyLeft = errors.New("caller: the answer is not wanted any more")

// earlyAnswer is the answer to a request that was begun before its turn. It is the
// http.ResponseWriter of that request, and delivers what it got when the turn has come.
type earlyAnswer struct {
	method, uri, id string
	idHeader        string
	cancel          context.CancelFunc

	header http.Header

	mu      sync.Mutex
	changed *sync.Cond
	// status is zero until the final header came, which sent then holds as it was.
	status int
	sent   http.Header
	body   []byte
	// ended says that nothing more comes, and aborted that the answer is not whole.
	ended, aborted bool
	// left says that nobody waits for the answer any more, expired that the server ends all
	// requests: what is said then is short, and nothing waits for room.
	left, expired bool
	// refused says that there was no place for the request before its turn.
	refused bool
}

// beginEarly serves a request before its turn, unless it may run once at most or this
// router closes connections.
func (h *Handler) beginEarly(ctx context.Context, r *http.Request) *earlyAnswer {
	if h.closing() || !h.repeatable(r) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &earlyAnswer{
		method: r.Method, uri: r.RequestURI, idHeader: h.cfg.RequestIDHeader, id: r.Header.Get(h.cfg.RequestIDHeader),
		cancel: cancel, header: http.Header{},
	}
	e.changed = sync.NewCond(&e.mu)
	// A target's answer that waits for room would else wait for ever for a caller that left.
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

func (e *earlyAnswer) serve(h *Handler, r *http.Request) {
	defer func() {
		// An abort comes as a panic, as from any handler; others were logged where they
		// were caught.
		cause := recover()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ended, e.aborted = true, cause != nil
		e.changed.Broadcast()
	}()
	h.ServeHTTP(e, r)
}

// isFor reports whether the request is the one that was begun.
func (e *earlyAnswer) isFor(r *http.Request) bool {
	return e.method == r.Method && e.uri == r.RequestURI && e.id == r.Header.Get(e.idHeader)
}

// leave ends the request, whose answer nobody waits for.
func (e *earlyAnswer) leave() { e.cancel() }

// abandon lets nothing more of the answer in, or, where the request has expired, no more than
// there is room for: its caller is still to be told.
func (e *earlyAnswer) abandon(expired bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expired, e.left = expired, !expired
	e.changed.Broadcast()
}

// Header implements http.ResponseWriter.
func (e *earlyAnswer) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. Interim answers are left out.
func (e *earlyAnswer) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if status < http.StatusOK || e.status != 0 {
		return
	}
	e.status, e.sent = status, maps.Clone(e.header)
	e.changed.Broadcast()
}

// Write implements http.ResponseWriter.
func (e *earlyAnswer) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.body) >= earlyBytes && !e.left && !e.expired {
		e.changed.Wait()
	}
	if e.left || len(e.body) >= earlyBytes {
		return 0, errEarlyLeft
	}
	e.body = append(e.body, p...)
	e.changed.Broadcast()
	return len(p), nil
}

// Flush, SetReadDeadline and SetWriteDeadline are what an exchange asks of a connection;
// there is none to hold back or cut before the turn.
func (e *earlyAnswer) Flush() {}

// SetReadDeadline does nothing.
func (e *earlyAnswer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (e *earlyAnswer) SetWriteDeadline(time.Time) error { return nil }

// deliver sends the answer, whose turn has come, as it comes.
// It reports false where the request is to be served now instead.
func (e *earlyAnswer) deliver(x *exchange) bool {
	defer e.leave()
	status := e.await()
	if e.refused {
		return false
	}
	if status == 0 {
		abort(x.r) // the caller left, or there is no answer that could be given
	}
	x.direct = true
	maps.Copy(x.Header(), e.sent)
	x.WriteHeader(status)
	for {
		part, whole := e.part()
		if _, err := x.Write(part); err != nil && err != http.ErrBodyNotAllowed {
			abort(x.r)
		}
		if whole {
			break
		}
	}
	if e.aborted {
		x.flushPart()
		abort(x.r)
	}
	maps.Copy(x.Header(), e.header) // trailers come after the body
	x.writes.close()
	x.armEnd()
	return true
}

// refuse notes that the request found no place, and reports whether it will be served in
// its turn: a refusal could be given no sooner, and by then there may be a place. One
// that was sent already is not sent as if it were new.
func (x *exchange) refuse(f *fault.Fault) bool {
	e, before := x.w.(*earlyAnswer)
	if !before || f.Ran != fault.NotRun || f.Kind.Row().Status != http.StatusServiceUnavailable || len(x.meta.Attempts) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = true
	return true
}

// await returns the answer's status once it is known, or zero where there is none.
func (e *earlyAnswer) await() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.status == 0 && !e.ended {
		e.changed.Wait()
	}
	return e.status
}

// part returns what has come of the body, and whether that is the rest of it.
func (e *earlyAnswer) part() ([]byte, bool) {
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

// begunEarly returns the answer to the request if it was begun before its turn.
func begunEarly(r *http.Request) *earlyAnswer {
	if c := connOf(r); c != nil && c.ahead != nil {
		return c.ahead.take(r)
	}
	return nil
}

// connOf returns the caller's connection; nil for a request that is served before its turn.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// mayClose reports whether the connection may end after this answer: not while others
// behind it are under way, and an answer before its turn decides nothing.
func (x *exchange) mayClose() bool {
	if _, before := x.w.(*earlyAnswer); before {
		return false
	}
	c := connOf(x.r)
	return c == nil || c.ahead == nil || c.ahead.outstanding() == 0
}
