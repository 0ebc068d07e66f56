package router

import (
	"io"

	"tarragongw/core/fault"
)

const (
	// prefetchBytes is how much of a body has to arrive before the request asks for a
	// slot, or all of a shorter one. A request in flight may keep more than that for a
	// second attempt, so the bound on memory is the same.
	prefetchBytes = 16 << 10
)

// awaitBody waits until the beginning of the body has arrived.
//
// What goes wrong otherwise: a caller that sends a header and then a byte now and then
// holds one of a target's few slots until its deadline, and a few such callers hold
// all of them; one notices a target that is busy and does nothing. Until the slot is
// taken nothing was sent, so a body that doesn't arrive ends in "not run".
//
// A body of undeclared length is not waited for: its caller may want an answer to the
// first part before it sends the next.
func (x *exchange) awaitBody() *fault.Fault {
	if x.body == nil || x.r.ContentLength <= 0 {
		return nil
	}
	arrived := make(chan error, 1)
	want := min(x.r.ContentLength, prefetchBytes)
	go func() { arrived <- x.body.Prefetch(want) }()
	select {
	case err := <-arrived:
		if err == nil || err == io.EOF {
			return nil
		}
		return bodyMissing(fault.CallerGone, err)
	case <-x.r.Context().Done():
		// The read goes on until the caller's connection is closed or read further.
		return bodyMissing(fault.BodyStalled, x.r.Context().Err())
	}
}

func bodyMissing(kind fault.Kind, cause error) *fault.Fault {
	f := fault.Wrap(kind, cause, "the request's body did not arrive; nothing was sent")
	f.Ran = fault.NotRun
	return f
}
