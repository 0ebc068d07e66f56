package gateway

import "tarragongw/peer/feed"

// tellLocked makes the leader learn of what is reached if that has changed; the caller holds the lock.
func (p *paths) tellLocked() {
	now := p.reachLocked()
	if !p.untold && now.Unreached.Equal(&p.told.Unreached) && now.Unavailable == p.told.Unavailable {
		return
	}
	p.untold = true
	select {
	case p.wake <- struct{}{}:
	default:
	}
	if p.g.opts.Telemetry != nil {
		p.g.opts.Telemetry.Scope().Gauge("targets_out_of_reach").Update(float64(len(p.tracker.Lost())))
	}
	p.g.relays.setOwn(now)
}

// reachLocked returns what this router reaches; the caller holds the lock.
func (p *paths) reachLocked() feed.Reach {
	return feed.Reach{Unreached: p.tracker.Unreached(), Unavailable: p.unavailable}
}

// news returns what has to be told to the leader; nil if there is nothing new.
func (p *paths) news() *feed.Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.untold {
		return nil
	}
	p.untold = false
	p.told = p.reachLocked()
	told := p.told
	return &told
}

// retell makes another leader learn of what is not reached.
func (p *paths) retell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = feed.Reach{}
	p.untold = false
	p.tellLocked()
}

// leave tells the leader that this router passes on nothing for others any more.
func (p *paths) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = true
	p.tellLocked()
}
