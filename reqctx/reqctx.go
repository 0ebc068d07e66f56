// Package reqctx provides the context of a request. It needs a third of the allocations of the
// equivalent contexts of the standard library, which matters because one is created for every
// request.
package reqctx

import (
	"context"
	"sync"
	"time"
)

// inlineListeners is how many listeners need no allocation; a request normally has one, that
// of its attempt.
const inlineListeners = 2

// Context ends with its parent, by Cancel, or at its answer deadline unless the answer began
// before. The answer deadline only bounds the wait for the beginning of the answer; a plain
// context deadline would also cut off a long export or event stream that is being sent.
//
// The channel of Done is only created when it is asked for. A Context is safe for concurrent
// use.
type Context struct {
	parent context.Context
	// stopParentWatch unregisters the callback on the parent.
	stopParentWatch func() bool

	mu             sync.Mutex
	answerDeadline time.Time
	// answerGrace is for how long after its deadline an answer that has begun may go on; negative means for good.
	answerGrace time.Duration
	timer       *time.Timer
	answerBegan bool
	err         error
	done        chan struct{}
	// listeners are called when the context ends, each in a goroutine of its own. inline is
	// their initial storage.
	listeners []listener
	inline    [inlineListeners]listener
	lastID    int
}

type listener struct {
	id   int
	call func()
}

// New returns a context without an answer deadline. End must be called.
func New(parent context.Context) *Context {
	c := &Context{parent: parent, answerGrace: -1}
	c.stopParentWatch = context.AfterFunc(parent, c.parentEnded)
	return c
}

// NewDetached returns a context without an answer deadline that has the values of its parent
// but does not end with it: the owner of the connection detects the end of the connection
// itself and calls Cancel. This saves the callback on the parent, a quarter of the allocations
// of New. End must be called.
func NewDetached(parent context.Context) *Context {
	return &Context{parent: parent, stopParentWatch: never, answerGrace: -1}
}

// parentEnded ends the context because its parent ended.
func (c *Context) parentEnded() {
	if context.Cause(c.parent) == context.DeadlineExceeded {
		c.cancel(context.DeadlineExceeded)
		return
	}
	c.cancel(c.parent.Err())
}

// SetAnswerDeadline sets the answer deadline, at which the context ends with
// context.DeadlineExceeded unless AnswerBegan is called before; left is the time until then.
// It may be called once.
func (c *Context) SetAnswerDeadline(deadline time.Time, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerBegan || c.err != nil {
		return
	}
	c.answerDeadline = deadline
	c.timer = time.AfterFunc(left, c.Expire)
}

// LimitAnswer has the context end at the latest when a time has passed after the answer deadline, even if the answer began before.
// It must be called before SetAnswerDeadline.
func (c *Context) LimitAnswer(grace time.Duration) { c.answerGrace = grace }

// Expire ends the context as its answer deadline does, unless the answer began and may go on.
func (c *Context) Expire() {
	c.mu.Lock()
	goesOn := c.answerBegan && (c.answerGrace < 0 || time.Until(c.answerDeadline)+c.answerGrace > 0)
	c.mu.Unlock()
	if !goesOn {
		c.cancel(context.DeadlineExceeded)
	}
}

// AnswerBegan removes the answer deadline because the answer began, or puts it off as LimitAnswer says.
func (c *Context) AnswerBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerBegan = true
	switch {
	case c.timer == nil:
	case c.answerGrace < 0:
		c.timer.Stop()
	case c.err == nil:
		c.timer.Reset(time.Until(c.answerDeadline) + c.answerGrace)
	}
}

// Cancel ends the context with context.Canceled.
func (c *Context) Cancel() { c.cancel(context.Canceled) }

// End releases the resources of the context.
func (c *Context) End() {
	c.stopParentWatch()
	c.cancel(context.Canceled)
}

// Expired reports whether the context ended with context.DeadlineExceeded.
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
	listeners := c.listeners
	c.listeners = nil
	c.mu.Unlock()
	for _, l := range listeners {
		go l.call()
	}
}

// AfterFunc calls f in a goroutine of its own once the context has ended; stop prevents that
// and reports whether it did. context.AfterFunc and derived contexts of the standard library
// use it.
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
		c.listeners = c.inline[:0]
	}
	c.listeners = append(c.listeners, listener{id, f})
	return func() bool { return c.removeListener(id) }
}

func (c *Context) removeListener(id int) bool {
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

// Deadline implements context.Context. The answer deadline no longer counts once the answer
// began.
func (c *Context) Deadline() (time.Time, bool) {
	c.mu.Lock()
	bounded := c.timer != nil && !c.answerBegan
	deadline := c.answerDeadline
	c.mu.Unlock()
	if bounded {
		return deadline, true
	}
	return c.parent.Deadline()
}

// Value implements context.Context.
func (c *Context) Value(key any) any { return c.parent.Value(key) }

// afterFuncContext is a context with an AfterFunc method of its own.
type afterFuncContext interface {
	AfterFunc(f func()) (stop func() bool)
}

// AfterFunc is like context.AfterFunc, but avoids the context and the channel that
// context.AfterFunc allocates for each call if ctx has an AfterFunc method. For a context that
// never ends it does nothing.
func AfterFunc(ctx context.Context, f func()) (stop func() bool) {
	if a, ok := ctx.(afterFuncContext); ok {
		return a.AfterFunc(f)
	}
	if ctx.Done() == nil {
		return never
	}
	return context.AfterFunc(ctx, f)
}

func never() bool { return true }
