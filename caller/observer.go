package caller

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Observer is told once about each request, after its answer and before what is
// left of its body is thrown away. Observe is called on the request's goroutine
// by many at once and must not block; the outcome must not be kept.
type Observer interface {
	Observe(o *Outcome)
}

// Outcome is how a request ended.
type Outcome struct {
	// Meta is what was extracted. Fields after the one that was refused are empty;
	// the service is empty where none matched.
	Meta   *request.Meta
	Method string
	// Status is what was sent, or 499 where the caller went away before the answer.
	Status int
	// Fault is nil where the target's whole answer was sent.
	Fault *fault.Fault
	// Aborted says that the caller's connection or stream was broken off.
	Aborted bool
	// Began is when the request's header had arrived; Duration runs from then to the
	// end of the answer, and FirstByte to the begin of the target's answer, zero where
	// there was none.
	Began     time.Time
	Duration  time.Duration
	FirstByte time.Duration
	// Nth counts the requests that were served in their turn on the caller's
	// connection, from 1; it is zero for one that was served before its turn.
	Nth int64
	// BytesIn and BytesOut count bodies.
	BytesIn  int64
	BytesOut int64
}

type noObserver struct{}

func (noObserver) Observe(*Outcome) {}
