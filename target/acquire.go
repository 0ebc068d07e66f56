package target

import (
	"context"
	"slices"
	"time"

	"tarragongw/core/fault"
)

// waiter is an attempt that is queued for a connection. A nil conn sent to it is the
// permission to open one; its slot is already counted.
type waiter struct {
	ready chan *conn
}

// acquireOptions say which connections an exchange may use.
type acquireOptions struct {
	// fresh exchanges use no idle connection, sends are those of the request before, and requestID is its id.
	fresh     bool
	sends     *Sends
	requestID string
}

// mayReuse reports whether the exchange may use a connection that has carried others.
func (o *acquireOptions) mayReuse(c *conn) bool {
	return !o.sends.used(c) && !c.refused.has(o.requestID)
}

// acquire returns a connection that is ready for an exchange. Where the limit leaves no room for another one, it closes an idle
// one that the exchange may not use.
func (p *Pool) acquire(ctx context.Context, opts *acquireOptions) (*conn, *fault.Fault) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, notRun(fault.TargetUnreachable, nil, "the pool is closed")
		}
		if c := p.takeIdle(opts); c != nil {
			p.mu.Unlock()
			if p.checkReuse(c) {
				return c, nil
			}
			continue
		}
		if p.open >= p.maxWorkConns && len(p.idle) > 0 {
			c := p.popIdle(0)
			p.mu.Unlock()
			p.closeInUse(c, &p.counts.Stale, OpenedStale)
			continue
		}
		if p.open < p.maxWorkConns {
			cause := p.openCause()
			if !opts.fresh && len(p.idle) > 0 {
				cause = OpenedAgain
			}
			p.open++
			p.inUse++
			p.mu.Unlock()
			if p.cfg.OnDial != nil {
				p.cfg.OnDial(cause)
			}
			return p.dial(ctx)
		}
		if p.cfg.Wait == 0 {
			p.counts.Full++
			p.mu.Unlock()
			return nil, notRun(fault.QueueFull, nil, "every connection of the target is in use")
		}
		w := &waiter{ready: make(chan *conn, 1)}
		p.waiters = append(p.waiters, w)
		p.mu.Unlock()
		c, dial, f := p.await(ctx, w)
		switch {
		case f != nil:
			return nil, f
		case dial:
			return p.dial(ctx)
		case c != nil && !opts.mayReuse(c):
			p.closeInUse(c, &p.counts.Stale, OpenedAgain)
		case c != nil && p.checkReuse(c):
			return c, nil
		}
	}
}

// openCause returns why a connection has to be opened now. The caller holds mu.
func (p *Pool) openCause() OpenCause {
	switch {
	case p.inUse > 0:
		return OpenedBeside
	case p.counts.Dials == 0:
		return OpenedFirst
	case p.lastCloseCause == "":
		return OpenedBroken // the previous attempt to open one failed
	default:
		return p.lastCloseCause
	}
}

// takeIdle takes the most recently used idle connection that the exchange may use, or returns nil. The caller holds mu.
func (p *Pool) takeIdle(opts *acquireOptions) *conn {
	for i := len(p.idle) - 1; i >= 0 && !opts.fresh; i-- {
		if opts.mayReuse(p.idle[i]) {
			return p.popIdle(i)
		}
	}
	return nil
}

// popIdle takes an idle connection and counts it as in use. The caller holds mu.
func (p *Pool) popIdle(i int) *conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.inUse++
	return c
}

// checkReuse reports whether a connection that is now in use again can take an exchange, and
// counts the reuse. Otherwise it closes the connection.
func (p *Pool) checkReuse(c *conn) bool {
	now := p.cfg.Now()
	switch {
	case p.expired(c, now):
		p.closeInUse(c, &p.counts.Aged, OpenedIdle)
		return false
	case !c.reusable():
		p.closeInUse(c, &p.counts.Stale, OpenedStale)
		return false
	}
	p.mu.Lock()
	p.counts.Reuses++
	p.mu.Unlock()
	return true
}

func (p *Pool) expired(c *conn, now time.Time) bool {
	return now.Sub(c.opened) >= p.cfg.MaxAge || now.Sub(c.idleSince) >= p.maxIdle() || !p.certAccepted(c, now)
}

// idleTimeoutMargin is the divisor for the margin, as a fraction of the target's idle timeout,
// by which the pool closes an idle connection before the target does. A request that is sent
// just as the target closes the connection would be lost, and could not be retried.
const idleTimeoutMargin = 5

// maxIdle returns how long a connection may stay idle.
func (p *Pool) maxIdle() time.Duration {
	if idleLimit := time.Duration(p.idleLimit.Load()); idleLimit > 0 && idleLimit < p.cfg.MaxIdle {
		return idleLimit
	}
	return p.cfg.MaxIdle
}

// await waits for a connection or for the permission to open one. If it returns none of c,
// dial and f, the pool has been closed and the caller must start over.
func (p *Pool) await(ctx context.Context, w *waiter) (c *conn, dial bool, f *fault.Fault) {
	var timeout <-chan time.Time
	if p.cfg.Wait > 0 {
		timer := time.NewTimer(p.cfg.Wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case c, ok := <-w.ready:
		return c, ok && c == nil, nil
	case <-ctx.Done():
		f = contextFault(ctx, fault.NotRun)
	case <-timeout:
		f = notRun(fault.QueueFull, nil, "no connection of the target came free in time")
	}
	p.abandonWait(w, f.Kind == fault.QueueFull)
	return nil, false, f
}

// abandonWait removes a waiter from the queue. If the waiter has just been sent a connection
// or a slot, it passes that on.
func (p *Pool) abandonWait(w *waiter, full bool) {
	p.mu.Lock()
	if full {
		p.counts.Full++
	}
	for i := range p.waiters {
		if p.waiters[i] == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	c, ok := <-w.ready
	switch {
	case !ok:
	case c == nil:
		p.freeSlot(nil)
	default:
		p.release(c)
	}
}

// dial opens a connection, whose slot the caller has already taken.
func (p *Pool) dial(ctx context.Context) (*conn, *fault.Fault) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	c, err := p.connect(dialCtx)
	p.mu.Lock()
	p.counts.Dials++
	if err != nil {
		p.counts.DialErrors++
	}
	p.mu.Unlock()
	if err == nil {
		return c, nil
	}
	p.freeSlot(nil)
	if ctx.Err() != nil {
		return nil, contextFault(ctx, fault.NotRun)
	}
	return nil, notRun(fault.TargetUnreachable, err, "opening a connection failed")
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	raw, err := p.cfg.Dial(ctx, "tcp", p.cfg.Address)
	if err != nil {
		return nil, err
	}
	rechecks := p.rechecks.Load()
	c := newConn(raw, p.cfg.ProgressTimeout, p.cfg.Now())
	if p.cfg.TLS == nil {
		return c, nil
	}
	tlsConn := c.startTLS(p.cfg.TLS())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	c.cert = newPeerCert(tlsConn.ConnectionState(), rechecks)
	return c, nil
}
