// Package admission decides which requests may be in flight to one target. All
// requests to a target pass through one router, its grantor, which keeps one
// Gate for it. The Gate enforces an exact limit on requests in flight, has a
// bounded queue that is fair between callers and respects deadlines, and serves
// interactive work before batch work with a guaranteed share for batch.
//
// The package is deterministic: time is a parameter, it starts no goroutine and
// does no I/O. A Gate is not safe for concurrent use; package admit wraps it.
package admission

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// ID identifies one item among all that a Gate holds.
type ID uint64

// Item is one request that asks for a slot.
type Item struct {
	// ID must differ from that of every item still held.
	ID ID
	// Caller is the name by which the queue is fair: callers share slot time by weight.
	Caller string
	// Weight is the caller's share relative to others; zero or less means 1.
	Weight float64
	// Class is the priority class.
	Class request.Class
	// Deadline is the time by which the work must have ended; the zero time means none.
	Deadline time.Time
	// EstimatedService is the expected time at the target; zero means that the
	// Gate's own measurement of the class is used.
	EstimatedService time.Duration
}

// Verdict is the immediate answer to an offer.
type Verdict uint8

const (
	// Admit means that the item holds a slot now.
	Admit Verdict = iota
	// Queue means that the item waits; Actions returned later start or refuse it.
	Queue
	// Refuse means that the item was rejected and did not run.
	Refuse
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Queue:
		return "queue"
	default:
		return "refuse"
	}
}

// Decision is the answer to an offer. Kind and RetryAfter are set for Refuse only.
type Decision struct {
	Verdict Verdict
	Kind    fault.Kind
	// RetryAfter is the time until the queue is expected to have room, estimated from
	// the rate at which it drains.
	RetryAfter time.Duration
}

// Refusal rejects a queued item that never ran.
type Refusal struct {
	ID         ID
	Kind       fault.Kind
	RetryAfter time.Duration
}

// Actions lists what the user of the Gate must carry out. The slices are valid until
// the next call to the Gate.
type Actions struct {
	// Start lists the items that now hold a slot.
	Start []ID
	// Refuse lists the items that left the queue without having run.
	Refuse []Refusal
}

// Outcome says how work in a slot ended.
type Outcome uint8

const (
	// Finished means that the target completed the work; its service time updates the
	// estimates.
	Finished Outcome = iota
	// Failed means that the target is certainly not working on the item.
	Failed
	// Shed means that the target refused the item because it has no room.
	Shed
	// Unknown means that the target may still be working on the item.
	Unknown
	// UnknownSlowCaller means that the target may still be working on the item, and that most of
	// the time was spent waiting for the caller, so it says nothing about the target.
	UnknownSlowCaller
	// NotSent means that the slot was returned unused.
	NotSent
)

// Stats is a snapshot for metrics.
type Stats struct {
	// Limit is the current number of slots. InFlight counts those in use, Held those
	// held for work that may still be running at the target.
	Limit, InFlight, Held int
	// QueuedInteractive and QueuedBatch count waiting items.
	QueuedInteractive, QueuedBatch int
	// Callers counts the callers for which state is kept.
	Callers int
	// ServiceInteractive and ServiceBatch are the measured mean service times.
	ServiceInteractive, ServiceBatch time.Duration
	// Draining reports that nothing new is admitted.
	Draining bool
}
