package caller

import "time"

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
