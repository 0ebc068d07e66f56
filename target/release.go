package target

import "time"

// release passes a connection in use to a waiter or makes it idle.
func (p *Pool) release(c *conn) {
	now := p.cfg.Now()
	if now.Sub(c.opened) >= p.cfg.MaxAge || !p.certAccepted(c, now) {
		p.closeInUse(c, &p.counts.Aged, OpenedIdle)
		return
	}
	c.idleSince = now
	p.mu.Lock()
	if w := p.nextWaiter(); w != nil {
		p.mu.Unlock()
		w.ready <- c
		return
	}
	p.inUse--
	if p.closed {
		p.open--
		p.closeDrainedLocked()
		p.mu.Unlock()
		c.raw.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.armSweeper()
	p.mu.Unlock()
}

// closeInUse closes a connection in use, increments count and frees the slot. cause becomes
// the reason for opening the next connection.
func (p *Pool) closeInUse(c *conn, count *uint64, cause OpenCause) {
	c.raw.Close()
	p.recordClose(cause)
	p.freeSlot(count)
}

// recordClose stores why a connection was closed, as the reason for opening the next one.
func (p *Pool) recordClose(cause OpenCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCloseCause = cause
}

// freeSlot passes the slot of a closed connection that was in use to a waiter, or returns it
// to the budget. It increments count, if not nil.
func (p *Pool) freeSlot(count *uint64) {
	p.mu.Lock()
	if count != nil {
		*count++
	}
	if w := p.nextWaiter(); w != nil {
		p.mu.Unlock()
		w.ready <- nil
		return
	}
	p.inUse--
	p.open--
	p.closeDrainedLocked()
	p.mu.Unlock()
}

func (p *Pool) nextWaiter() *waiter {
	if len(p.waiters) == 0 {
		return nil
	}
	w := p.waiters[0]
	p.waiters = append(p.waiters[:0], p.waiters[1:]...)
	return w
}

// armSweeper starts the timer that closes connections that have been idle for too long. The
// caller holds mu.
func (p *Pool) armSweeper() {
	if p.sweeper != nil {
		return
	}
	p.sweeper = time.AfterFunc(p.cfg.MaxIdle, p.sweepAndRearm)
}

func (p *Pool) sweepAndRearm() {
	p.sweep(p.cfg.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	if len(p.idle) > 0 && !p.closed {
		p.armSweeper()
	}
}

// sweep closes the idle connections that are past their idle time, age or certificate at the
// time now.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.expired(c, now) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.open -= len(old)
	p.counts.Aged += uint64(len(old))
	if len(old) > 0 {
		p.lastCloseCause = OpenedIdle
	}
	p.mu.Unlock()
	closeAll(old)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.raw.Close()
	}
}
