package target

import (
	"sync"

	"tarragongw/core/fault"
)

// Aborter lets the router abort an attempt, independently of the caller, when the holder of the
// request's key changes. A separate context for each attempt would cost about twice as much,
// and could not be distinguished from a caller that went away. The zero value is ready to use.
// A Aborter must be used for one attempt only.
type Aborter struct {
	mu      sync.Mutex
	aborted bool
	reason  *fault.Fault
	abort   func()
}

// Abort aborts the attempt. While the attempt is still waiting for its connection, nothing is
// interrupted; the check before the request is written must then refuse the attempt.
func (c *Aborter) Abort() { c.AbortWith(nil) }

// AbortWith aborts the attempt too, and sets the fault that it returns if its response has not begun.
// The fault's Ran is replaced by what is known about the execution.
func (c *Aborter) AbortWith(reason *fault.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.aborted {
		c.aborted, c.reason = true, reason
	}
	if c.abort != nil {
		// Called under the lock, so that it never affects a connection that unbind has
		// released: that may already carry another request.
		c.abort()
	}
}

// bind sets the function that aborts the attempt, and calls it if the attempt has been aborted
// already.
func (c *Aborter) bind(abort func()) {
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

// unbind removes the abort function. It reports whether the attempt has not been aborted.
func (c *Aborter) unbind() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = nil
	return !c.aborted
}

// isAborted reports whether the attempt was aborted.
func (c *Aborter) isAborted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// abortDetail is the fault detail of an aborted attempt; it is sent to the caller.
const abortDetail = "the router cut the attempt off, because the key's owner changes"

// fault returns the fault of an attempt that was aborted before its response began.
func (c *Aborter) fault(ran fault.Ran) *fault.Fault {
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
