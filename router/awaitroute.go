package router

import (
	"context"
	"sync"
	"time"
)

const (
	// minRouteWait and routeWaitTTLs times the grants' time to live bound how long one
	// request waits for a newer routing table; the greater counts. It exceeds the time
	// in which a lost owner is replaced.
	minRouteWait  = 1500 * time.Millisecond
	routeWaitTTLs = 4
	// routePoll is when a request that waits tries again although the table did not
	// change: the other router may be reached by now, or know what this one knows.
	routePoll = 50 * time.Millisecond
	// maxWaiters bounds the requests that wait; beyond it the refusal is final at once.
	maxWaiters = 4096
)

// changes wakes those who wait for the next routing table.
type changes struct {
	mu      sync.Mutex
	next    chan struct{}
	waiters int
}

// wait returns a channel that is closed at the next change, or nil where too many
// wait already; the waiter calls done.
func (c *changes) wait() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiters >= maxWaiters {
		return nil
	}
	if c.next == nil {
		c.next = make(chan struct{})
	}
	c.waiters++
	return c.next
}

func (c *changes) done() {
	c.mu.Lock()
	c.waiters--
	c.mu.Unlock()
}

// count returns how many wait.
func (c *changes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiters
}

func (c *changes) notify() {
	c.mu.Lock()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
	c.mu.Unlock()
}

// awaitRoute waits until the routing table differs from what the last attempt used,
// at most for routePoll, and reports whether another attempt is to be made. A key
// that moves or that lost its owner is served again within a second, so waiting
// within the deadline serves the caller where a refusal would make it ask again.
func (r *Router) awaitRoute(x *exchange) bool {
	now := time.Now()
	if x.waitUntil.IsZero() {
		x.waitUntil = now.Add(max(minRouteWait, routeWaitTTLs*r.opts.Settings.Timers.GrantTTL))
	}
	if now.After(x.waitUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), routePoll)
	defer cancel()
	for !r.routeDiffers(x.last) {
		changed := r.changes.wait()
		if changed == nil {
			return false
		}
		ok := r.routeDiffers(x.last) || waitFor(ctx, changed)
		r.changes.done()
		if !ok {
			break
		}
	}
	return x.r.Context().Err() == nil
}

func waitFor(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// routeDiffers reports whether a new attempt would go elsewhere.
func (r *Router) routeDiffers(last route) bool {
	table := r.table.Load()
	if last.unit.Service == "" {
		return table.Grantor(last.owner.Target) != last.grantor
	}
	owner, grantor := table.Lookup(last.unit)
	if owner.Target == "" || owner.Releasing || grantor.Router == "" {
		return false
	}
	return owner != last.owner || grantor != last.grantor
}
