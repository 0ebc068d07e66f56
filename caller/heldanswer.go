package caller

import (
	"net/http"

	"tarragongw/core/fault"
)

// maxHeldBytes is the largest answer that is held back.
const maxHeldBytes = 64 * kibibyte

// heldAnswer buffers an answer until it is complete.
//
// Once an answer has begun, the only way to show that it broke off is to end the connection,
// which also cuts off all requests that the caller has pipelined behind it; the symptom is
// several aborted requests of one connection at the same moment. An answer that was held back
// is replaced by a fault answer, and the requests behind it are still answered. This delays
// nothing where a target sends a short answer in one piece.
type heldAnswer struct{ body []byte }

// shouldHold reports whether the answer is to be held back.
func (x *exchange) shouldHold() bool {
	return !x.direct && (x.mustEndInTime() || x.declared >= 0 && x.declared <= maxHeldBytes && x.hasOthersBehind())
}

// mustEndInTime reports whether the answer must have ended by the request's deadline. A part of
// it is then worth nothing to the caller, unless it is a stream.
func (x *exchange) mustEndInTime() bool {
	header := x.w.Header()
	// Trailers that are announced could not be told from the header's fields later.
	return x.handler.cfg.LimitAnswers && x.limit > 0 && !isStream(header) && len(header["Trailer"]) == 0
}

// hasOthersBehind reports whether the answer has pipelined requests behind it, or is itself
// pipelined.
func (x *exchange) hasOthersBehind() bool {
	if _, pipelined := x.w.(*pipelinedAnswer); pipelined {
		return true
	}
	c := connOf(x.r)
	return c != nil && c.pipeline != nil && c.pipeline.outstanding() > 0
}

// hold holds a part of the answer back and reports whether it did. With a part that completes the
// answer, or makes it too long to be held back, the answer begins.
func (x *exchange) hold(part []byte) bool {
	body := x.held.body
	whole := body == nil && int64(len(part)) == x.declared
	if whole || x.declared > maxHeldBytes || len(body)+len(part) > maxHeldBytes || !x.handler.reserveHeld(len(part)) {
		x.releaseHeld()
		return false
	}
	if body == nil && x.declared > 0 {
		body = make([]byte, 0, x.declared)
	}
	x.held.body = append(body, part...)
	x.written += int64(len(part))
	return true
}

// reserveHeld counts n more bytes that are held back, unless these are too many.
func (h *Handler) reserveHeld(n int) bool {
	if h.heldBytes.Add(int64(n)) <= h.cfg.MaxHeldBytes {
		return true
	}
	h.heldBytes.Add(-int64(n))
	return false
}

// takeHeld ends the holding back and returns what was held.
func (x *exchange) takeHeld() *heldAnswer {
	held := x.held
	x.handler.heldBytes.Add(-int64(len(held.body)))
	x.held, x.written = nil, 0
	return held
}

// releaseHeld begins the answer with what was held back.
func (x *exchange) releaseHeld() {
	held := x.takeHeld()
	x.beginAnswer(x.status)
	x.w.WriteHeader(x.status)
	if len(held.body) == 0 {
		return
	}
	// Write keeps its error in writeErr.
	if _, err := x.Write(held.body); err == http.ErrBodyNotAllowed {
		x.writeErr = nil
	}
}

// finishHeld sends the held answer if it is complete, and discards it otherwise.
func (x *exchange) finishHeld(f *fault.Fault) *fault.Fault {
	if f == nil && x.short() {
		f = fault.New(fault.AnswerTruncated, "the answer is shorter than it declared")
	}
	if f == nil {
		x.releaseHeld()
		return nil
	}
	x.takeHeld()
	x.status, x.direct = 0, true
	if f.Kind == fault.AnswerTruncated && x.ctx != nil && x.ctx.Expired() {
		timedOut := *f
		timedOut.Kind = fault.DeadlineExceeded
		return &timedOut
	}
	return f
}
