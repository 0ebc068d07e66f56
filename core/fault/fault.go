// Package fault defines the closed list of error kinds with which a request can end, and
// the table that maps each kind to its answer. It does no I/O.
package fault

import "time"

// Ran says whether a request may have had an effect at its target.
type Ran uint8

const (
	// RanUnknown means that the target may or may not have run the request.
	RanUnknown Ran = iota
	// NotRun means that there is proof that the target did not run the request:
	// no byte of it was written to a connection, or the target itself refused it.
	NotRun
	// RanFully means that the target ran the request and that its answer began.
	RanFully
)

// String returns the machine-readable form used in answers and logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case RanFully:
		return "ran"
	default:
		return "unknown"
	}
}

// Fault is the error with which a request ends.
type Fault struct {
	// Kind selects the row of the answer table.
	Kind Kind
	// Ran says whether the request may have had an effect. NotRun is only set with proof.
	Ran Ran
	// RetryAfter is the advised wait before the caller retries; zero means the default of
	// the kind.
	RetryAfter time.Duration
	// Detail is a short text for operators and callers; it must not contain secrets.
	Detail string
	// Cause is the underlying error, if any. It is logged and never sent.
	Cause error
}

// New returns a fault of the kind, with the table's default for Ran.
func New(kind Kind, detail string) *Fault {
	return &Fault{Kind: kind, Ran: kind.Row().Ran, Detail: detail}
}

// Wrap returns a fault of the kind with a cause, and with the table's default for Ran.
func Wrap(kind Kind, cause error, detail string) *Fault {
	f := New(kind, detail)
	f.Cause = cause
	return f
}

// Error implements error.
func (f *Fault) Error() string {
	text := f.Kind.Row().Code
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// Wait returns the advised wait before the caller retries: the fault's own or else the
// default of its kind.
func (f *Fault) Wait() time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return f.Kind.Row().RetryAfter
}
