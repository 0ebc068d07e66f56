package caller

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Observer is notified once about each request, after its answer and before the rest of its
// body is discarded. Observe is called on the request's goroutine, concurrently with other
// calls; it must not block, and must not retain the outcome.
type Observer interface {
	Observe(o *Outcome)
}

// Outcome describes how a request ended.
type Outcome struct {
	// Meta holds the extracted fields. If a field was refused, those extracted after it are
	// empty; the service is empty if no rule matched.
	Meta   *request.Meta
	Method string
	// Status is the status that was sent, or 499 if the caller closed the connection before
	// the answer.
	Status int
	// Fault is nil if the whole answer of the target was sent.
	Fault *fault.Fault
	// Aborted means that the caller's connection or stream was aborted.
	Aborted bool
	// Began is when the request's header had arrived, however long it waited for its turn. Duration is the time from then to the
	// end of the answer, and FirstByte the time to the beginning of the target's answer, or
	// zero if there was none.
	Began     time.Time
	Duration  time.Duration
	FirstByte time.Duration
	// RequestNumber is the number of the request on its connection, from 1, among those that were served
	// in their turn. It is zero for a request that was served before its turn.
	RequestNumber int64
	// TurnWait is how long the request had waited in its connection behind others before it began to be served.
	TurnWait time.Duration
	// Limit is the time that the request had for its answer, from its arrival; zero means no limit.
	Limit time.Duration
	// BytesIn and BytesOut are the sizes of the request body and of the answer body.
	BytesIn  int64
	BytesOut int64
}

type noObserver struct{}

func (noObserver) Observe(*Outcome) {}
