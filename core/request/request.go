// Package request holds what the router knows about one request. It does no I/O.
package request

import (
	"time"

	"tarragongw/core/fault"
)

// Class is the priority class of a request.
type Class uint8

const (
	// Interactive requests have a user waiting for the answer.
	Interactive Class = iota
	// Batch requests may wait longer, but must be completed.
	Batch
)

// String returns the name used in settings, headers and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// Meta holds the properties of a request that the router extracted when it received it
// from the caller. It is immutable except for Part and Attempts.
type Meta struct {
	// ID identifies the request in logs and explanations.
	ID string
	// Service is the name of the service that the request is for.
	Service string
	// Model is the revision of the model by which the service was found; zero if unknown. A later one may use the name for
	// something else.
	Model uint64
	// Part is the service that was chosen among those over which the route is split; empty before the choice. A request
	// that is refused before its turn on its connection has the choice still when it is served in its turn.
	Part string
	// Key is the key by which the request is routed; empty if the service doesn't divide its
	// work by key.
	Key string
	// Caller is the name of the caller; limits and metrics are kept per caller.
	Caller string
	// CallerLabels are the caller's labels, which selectors match.
	CallerLabels map[string]string
	// Class is the priority class.
	Class Class
	// Arrived is when the request's header had arrived, which may be long before it could be served; zero if unknown.
	Arrived time.Time
	// Deadline is when the answer must have begun; the zero time means none.
	Deadline time.Time
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Attempts are the failed attempts, added by the forwarding code. After MaxAttempts,
	// each further one replaces the last.
	Attempts []Attempt
}

// MaxAttempts is the largest number of failed attempts that are kept of one request.
const MaxAttempts = 6

// Attempt is a failed attempt.
type Attempt struct {
	// Number counts from one.
	Number int
	// After is the time from the start of the request's first attempt to the start of this
	// one, and Took the duration of this one.
	After, Took time.Duration
	// Unit, Target and Router (the target's grantor) say where the attempt was to be sent;
	// what had not been determined when it failed is empty.
	Unit, Target, Router string
	// Fault is the error with which the attempt ended.
	Fault *fault.Fault
}

// AddAttempt records a failed attempt.
func (m *Meta) AddAttempt(a Attempt) {
	if len(m.Attempts) == MaxAttempts {
		m.Attempts[MaxAttempts-1] = a
		return
	}
	m.Attempts = append(m.Attempts, a)
}
