package caller

import (
	"net/http"

	"tarragongw/core/fault"
)

// heldBytes bounds an answer that is held back.
const heldBytes = 64 * kibibyte

// heldAnswer is an answer that is sent once it is whole.
//
// An answer that breaks off after it began can be told from a whole one only by the end of
// the connection, which cuts off all requests that the caller has sent behind it; one
// notices several aborted requests of one connection at one moment. Held back, it is
// replaced by the router's own answer, and those behind it are answered. Nothing is lost by
// that: a target sends a short answer in one piece.
type heldAnswer struct{ body []byte }

// holdsBack reports whether the answer is to be held back: a short one of known length that
// has others behind it, or is itself one that was begun before its turn.
func (x *exchange) holdsBack() bool {
	if x.direct || x.declared < 0 || x.declared > heldBytes {
		return false
	}
	if _, before := x.w.(*earlyAnswer); before {
		return true
	}
	c := connOf(x.r)
	return c != nil && c.ahead != nil && c.ahead.outstanding() > 0
}

// settleHeld sends the held answer if it is whole, and forgets it otherwise.
func (x *exchange) settleHeld(f *fault.Fault) *fault.Fault {
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
		late := *f
		late.Kind = fault.DeadlineExceeded
		return &late
	}
	return f
}

func (x *exchange) sendHeld(held *heldAnswer) {
	x.begin(x.status)
	x.w.WriteHeader(x.status)
	if len(held.body) == 0 {
		return
	}
	// Its failure is kept in writeErr.
	if _, err := x.Write(held.body); err == http.ErrBodyNotAllowed {
		x.writeErr = nil
	}
}
