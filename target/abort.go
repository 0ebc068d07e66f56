package target

import (
	"sync"

	"tarragongw/core/fault"
)

// Cut lets somebody other than the caller end an attempt: the router, when the
// owner of the request's key changes. A context of its own for each attempt would
// do the same at about twice the cost, and the end would look like that of a
// caller that went away. The zero value is ready; a Cut serves one attempt.
type Cut struct {
	mu      sync.Mutex
	aborted bool
	reason  *fault.Fault
	abort   func()
}

// Now ends the attempt; before its connection is there it has no effect on it, and
// what is asked right before the request is written must then refuse.
func (c *Cut) Now() { c.For(nil) }

// For is Now with the fault that the attempt ends with, unless the answer began; what
// it says about execution is replaced by what is known of it.
func (c *Cut) For(reason *fault.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.aborted {
		c.aborted, c.reason = true, reason
	}
	if c.abort != nil {
		// Under the lock, so that a connection that unbind gave up is never hit: it may
		// carry another request by then.
		c.abort()
	}
}

// bind tells how to end the attempt, at once where it was cut already.
func (c *Cut) bind(abort func()) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = abort
	if c.aborted {
		abort()
	}
}

// unbind gives the connection up and reports whether it is unharmed.
func (c *Cut) unbind() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = nil
	return !c.aborted
}

// isAborted reports whether the attempt was cut.
func (c *Cut) isAborted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// abortDetail is what a caller is told of an attempt that was cut.
const abortDetail = "the router cut the attempt off, because the key's owner changes"

// fault is the end of an attempt that was cut before its answer began.
func (c *Cut) fault(ran fault.Ran) *fault.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != nil {
		reason := *c.reason
		reason.Ran = ran
		return &reason
	}
	if ran == fault.NotRun {
		return fault.New(fault.StaleRoute, abortDetail)
	}
	return &fault.Fault{Kind: fault.TargetLost, Ran: ran, Detail: abortDetail}
}
