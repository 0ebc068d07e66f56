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

// LateObserver may be implemented by an Observer that wants to know of late answers. ObserveLate is called in addition to Observe, on
// the goroutine of the caller's connection, when an answer has ended later than lateAfter past the request's limit.
type LateObserver interface {
	ObserveLate(l *LateAnswer)
}

// LateAnswer is an answer that ended too late, or was cut off then.
type LateAnswer struct {
	// ID is that of the request, and Service what it was for.
	ID, Service string
	// Limit is the time that the request had, and Took the time from its arrival to the end of its answer.
	Limit, Took time.Duration
	// TurnWait is how long the request waited behind others on its connection: before it began to be served, or before its
	// answer could be sent.
	TurnWait time.Duration
	Status   int
}

// lateAfter is how long after a request's limit its answer counts as late.
const lateAfter = 250 * time.Millisecond

// reportLate tells the observer if the answer of the request with the outcome, which x has sent, ended too late.
func (x *exchange) reportLate(o *Outcome) {
	observer, wanted := x.handler.observer.(LateObserver)
	took := time.Since(x.began)
	if _, pipelined := x.w.(*pipelinedAnswer); !wanted || pipelined || o.Limit <= 0 || took < o.Limit+lateAfter {
		return
	}
	observer.ObserveLate(&LateAnswer{ID: o.Meta.ID, Service: o.Meta.Service, Limit: o.Limit, Took: took, TurnWait: x.turnWait, Status: o.Status})
}

type noObserver struct{}

func (noObserver) Observe(*Outcome) {}
