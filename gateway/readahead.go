package gateway

import (
	"context"
	"io"

	"tarragongw/caller"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
)

// readAheadBytes is how much of a body is read while its request waits for placement. It is less than
// maxKeptBytes, so it doesn't raise the bound on memory.
const readAheadBytes = 64 << 10

// place places the request at a target, and waits for that if necessary.
func (x *exchange) place() (dispatch.Decision, *fault.Fault) {
	placed := func() {}
	if p, ok := x.w.(caller.Placer); ok {
		placed = p.Placed
	}
	defer placed()
	if x.body == nil {
		return x.service.acquire(x.r.Context(), x.dispatchRequest(), placed)
	}
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	return x.service.acquire(ctx, x.dispatchRequest(), func() {
		placed()
		go x.readAhead(cancel)
	})
}

// readAhead reads the body of a request that waits for placement, and calls end if the body breaks off.
//
// net/http notices that a caller has left only when it reads from the connection: the body or, once
// that was read completely, what follows it. An upload whose body was not read while it waited could be
// sent to a target seconds after its caller had left. The symptoms were "placed" lines with a long
// waited that were immediately followed by caller_gone, and targets working for callers that had left.
// A body longer than readAheadBytes is not read completely here, so its caller's leaving is noticed only
// when the body is sent.
func (x *exchange) readAhead(end context.CancelFunc) {
	want := int64(readAheadBytes)
	if length := x.r.ContentLength; length > 0 {
		want = min(want, length)
	}
	if err := x.body.Prefetch(want); err != nil && err != io.EOF {
		end()
	}
}
