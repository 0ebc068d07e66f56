package target

import "time"

// release brings a connection in use to rest, or hands it to a waiter.
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

// closeInUse closes a connection in use, counts why and frees its place. The next one that is
// opened is opened for the cause.
func (p *Pool) closeInUse(c *conn, count *uint64, cause OpenCause) {
	c.raw.Close()
	p.recordClose(cause)
	p.freeSlot(count)
}

func (p *Pool) recordClose(cause OpenCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCloseCause = cause
}

// freeSlot gives the place of a connection in use to a waiter or back to the budget.
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

// armSweeper starts the timer that closes connections which rested too long.
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

// sweep closes the connections that rested or lived too long at the time now.
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
