package caller

import (
	"net/http"
	"strconv"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/reqctx"
)

// serverBufferBytes is the size of net/http's smallest buffer for an answer, that
// of HTTP/1.1.
const serverBufferBytes = 2 * kibibyte

// exchange is one request and its answer. It is the http.ResponseWriter that the
// forwarder sees.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	ctl     http.ResponseController
	meta    request.Meta
	ctx     *reqctx.Context
	// conn is the caller's connection where its end cancels ctx.
	conn *callerConn
	body *requestBody
	// idValue, traceValue and forwardedValue are the values of headers of these
	// meanings, kept here because each would be an allocation of its own.
	idValue, traceValue, forwardedValue [1]string
	// outcome is what the observer is told.
	outcome Outcome
	began   time.Time
	// nth is the request's number on its connection, see Outcome.Nth.
	nth int64
	// expects says that the caller waits for an interim answer before its body.
	expects bool
	// distrusts says that the connection is closed after the answer, see distrusted.
	distrusts bool

	// status is zero until a final header was written; declared is the answer's
	// Content-Length, or -1.
	status int
	// held is the answer where it is held back until it is whole, see heldAnswer.
	held *heldAnswer
	// direct says that nothing is held back: the answer is the router's own, or was held
	// back before its turn.
	direct    bool
	declared  int64
	written   int64
	firstByte time.Duration
	writes    watch
	writeErr  error
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.w.Header() }

// Unwrap lets http.ResponseController reach the connection.
func (x *exchange) Unwrap() http.ResponseWriter { return x.w }

// WriteHeader implements http.ResponseWriter. Interim answers pass through.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		return
	}
	if status >= 200 {
		x.declared = declaredLength(x.w.Header())
		if x.holdsBack() {
			x.status, x.held = status, &heldAnswer{}
			return
		}
		x.begin(status)
	}
	x.w.WriteHeader(status)
}

func (x *exchange) begin(status int) {
	x.status = status
	if x.handler.closing() && x.mayClose() {
		// With HTTP/2 net/http sends GOAWAY in place of the header.
		x.w.Header().Set("Connection", "close")
	}
	x.firstByte = time.Since(x.began)
	if x.ctx != nil {
		x.ctx.Begin()
	}
}

func declaredLength(h http.Header) int64 {
	values := h["Content-Length"]
	if len(values) == 0 {
		return -1
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// watchWrite bounds a write that may block. Without it a caller that reads
// nothing holds its target's slot for as long as it likes.
func (x *exchange) watchWrite() {
	if x.writes.cut == nil {
		x.writes.cut = x.ctl.SetWriteDeadline
	}
	x.writes.start(time.Now(), x.handler.cfg.AnswerWindow)
}

// buffered reports a write that net/http keeps in its buffer, so that it cannot
// block.
func (x *exchange) buffered(n int) bool {
	return x.written+int64(n) <= serverBufferBytes
}

// armEnd bounds what the server still has to send after the handler returned.
// The deadline ends with an HTTP/2 stream, and net/http lifts it on an HTTP/1.1
// connection before the next request.
func (x *exchange) armEnd() {
	if x.status != 0 {
		_ = x.ctl.SetWriteDeadline(time.Now().Add(x.handler.cfg.AnswerWindow))
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.held != nil {
		x.held.body = append(x.held.body, p...)
		x.written += int64(len(p))
		return len(p), nil
	}
	if !x.buffered(len(p)) {
		x.watchWrite()
		defer x.writes.stop()
	}
	n, err := x.w.Write(p)
	x.written += int64(n)
	if err != nil && err != http.ErrBodyNotAllowed {
		x.writeErr = err
	}
	return n, err
}

// FlushError sends what is buffered.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.held != nil {
		return nil
	}
	x.watchWrite()
	err := x.ctl.Flush()
	x.writes.stop()
	if err != nil {
		x.writeErr = err
	}
	return err
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

// short reports an answer that has fewer bytes than it declared. HTTP/2 would
// end it cleanly.
func (x *exchange) short() bool {
	if x.declared < 0 || x.written == x.declared || x.r.Method == http.MethodHead {
		return false
	}
	return x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// settle holds the forwarder's outcome against what was seen on the caller's
// side.
func (x *exchange) settle(f *fault.Fault) *fault.Fault {
	if x.held != nil {
		f = x.settleHeld(f)
	}
	switch {
	case f == nil && x.status == 0:
		f = fault.New(fault.Internal, "the forwarder wrote no answer")
	case f == nil && x.writeErr != nil:
		f = fault.Wrap(fault.CallerGone, x.writeErr, "while the answer was sent")
	case f == nil && x.short():
		f = fault.New(fault.AnswerTruncated, "the answer is shorter than it declared")
	case f == nil:
		return nil
	}
	if x.status != 0 {
		return f.Given(fault.Evidence{Written: true, Began: true})
	}
	return x.blame(f)
}

// blame corrects the kind of a fault that came of the caller's own side: the
// forwarder only sees its context end or its read of the body fail. What it says
// about execution stays.
func (x *exchange) blame(f *fault.Fault) *fault.Fault {
	kind := f.Kind
	if x.body != nil {
		_, _, broken, stalled := x.body.state()
		if broken {
			kind = fault.CallerGone
		}
		if stalled {
			kind = fault.BodyStalled
		}
	}
	if kind == fault.CallerGone && f.Kind == kind && x.ctx != nil && x.ctx.Expired() {
		kind = fault.DeadlineExceeded
	}
	if kind == f.Kind {
		return f
	}
	blamed := *f
	blamed.Kind = kind
	return &blamed
}
