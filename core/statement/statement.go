// Package statement has what targets state of themselves in their answers, and until when that holds.
//
// A statement is of one instance of a target. Some concern the router that was answered only, as a rest; others concern all
// routers, as a limit or that the target leaves.
package statement

import (
	"time"

	"tarragongw/core/dispatch"
)

// Kind is a kind of statement.
type Kind uint8

// The kinds of statements.
const (
	Load Kind = iota
	Limit
	Leaving
	Rest
)

// String returns the name used in logs and metrics.
func (k Kind) String() string { return [...]string{"load", "limit", "leaving", "rest"}[k] }

// Answer is what one answer of a target states. A statement that can't be read is among Unreadable and nowhere else.
type Answer struct {
	// By is the target that answers; empty if it doesn't name itself.
	By string
	// Load is the load report; nil if there is none.
	Load *dispatch.Report
	// Limited says that the target states a limit, and Limit is that, in requests per second from all routers together.
	Limited bool
	Limit   float64
	// Leaving says that the target leaves.
	Leaving bool
	// Rest is for how long the target wants no requests from the router that it answers; zero if it doesn't ask for that.
	Rest       time.Duration
	Unreadable []Unreadable
}

// Unreadable is a statement that can't be read.
type Unreadable struct {
	Kind Kind
	Err  error
}

// IsOf reports whether what the answer states is of the target that was asked: another one may have its address.
func (a *Answer) IsOf(target string) bool { return a.By == "" || a.By == target }

// IsUnreadable reports whether the answer has a statement of the kind that can't be read.
func (a *Answer) IsUnreadable(kind Kind) bool {
	for i := range a.Unreadable {
		if a.Unreadable[i].Kind == kind {
			return true
		}
	}
	return false
}
