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
// nothing, since a target sends a short answer in one piece.
type heldAnswer struct{ body []byte }

// shouldHold reports whether the answer is to be held back: a short one of known length that
// has pipelined requests behind it, or that is itself pipelined.
func (x *exchange) shouldHold() bool {
	if x.direct || x.declared < 0 || x.declared > maxHeldBytes {
		return false
	}
	if _, pipelined := x.w.(*pipelinedAnswer); pipelined {
		return true
	}
	c := connOf(x.r)
	return c != nil && c.pipeline != nil && c.pipeline.outstanding() > 0
}

// finishHeld sends the held answer if it is complete, and discards it otherwise.
func (x *exchange) finishHeld(f *fault.Fault) *fault.Fault {
	if f == nil && x.short() {
		f = fault.New(fault.AnswerTruncated, "the answer is shorter than it declared")
	}
	held := x.held
	x.held, x.written = nil, 0
	if f == nil {
		x.sendHeld(held)
		return nil
	}
	x.status, x.direct = 0, true
	if f.Kind == fault.AnswerTruncated && x.ctx != nil && x.ctx.Expired() {
		timedOut := *f
		timedOut.Kind = fault.DeadlineExceeded
		return &timedOut
	}
	return f
}

func (x *exchange) sendHeld(held *heldAnswer) {
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
