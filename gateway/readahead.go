package gateway

import (
	"context"
	"io"

	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
)

// readAheadBytes is how much of a body is read while its request waits for a place; what may
// be kept for another send is more, so that the bound on memory is the same.
const readAheadBytes = 64 << 10

// place waits for a place at a target.
func (x *exchange) place() (dispatch.Decision, *fault.Fault) {
	if x.body == nil {
		return x.service.acquire(x.r.Context(), x.dispatchRequest(), func() {})
	}
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	return x.service.acquire(ctx, x.dispatchRequest(), func() { go x.readAhead(cancel) })
}

// readAhead reads the body of a request that waits for a place, and ends the wait where the
// body breaks off.
//
// net/http notices that a caller has left only by a read, of the body or, once that was read
// to its end, of what follows it. An upload that waited unread was sent to a target up to
// seconds after its caller had left; one notices by placed lines with a long waited that
// are followed by caller_gone at once, and by targets at work for nobody. A body that is
// longer than readAheadBytes is not read to its end here, and its caller's end is noticed
// only once it is sent.
func (x *exchange) readAhead(end context.CancelFunc) {
	want := int64(readAheadBytes)
	if length := x.r.ContentLength; length > 0 {
		want = min(want, length)
	}
	if err := x.body.Prefetch(want); err != nil && err != io.EOF {
		end()
	}
}
