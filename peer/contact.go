package peer

// Contact is what a node knows of whether it reaches another router.
type Contact uint8

// The states of contact.
const (
	// ContactUnknown: nothing was tried lately.
	ContactUnknown Contact = iota
	// ContactReached: something was answered lately.
	ContactReached
	// ContactUnreached: the last dial failed, or a ping waits longer than a dial may take.
	ContactUnreached
)

// Contact returns what is known of a router; it sends nothing.
func (n *Node) Contact(name string) Contact {
	l := n.lookup(name)
	if l == nil {
		return ContactUnknown
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	switch {
	case l.current != nil && l.current.usable():
		return l.current.contact()
	case l.lastErr != nil:
		return ContactUnreached
	}
	return ContactUnknown
}

func (s *session) contact() Contact {
	now, limit := s.node.elapsed(), int64(s.node.cfg.DialTimeout)
	if since := s.pingSince.Load(); since != 0 && now-since > limit {
		return ContactUnreached
	}
	if now-s.proof.Load() <= int64(s.node.cfg.KeepAlive)+limit {
		return ContactReached
	}
	return ContactUnknown
}

// Try finds out whether a router is reached, by a ping or by a dial where none backs
// off. It does not wait; Contact tells the outcome.
func (n *Node) Try(name string) {
	l := n.lookup(name)
	if l == nil {
		return
	}
	l.lock.Lock()
	s := l.current
	if s == nil || !s.usable() {
		// That it can't be dialled now is known already.
		_, _ = l.dialLocked()
		l.lock.Unlock()
		return
	}
	l.lock.Unlock()
	if !s.fresh() {
		s.proveApart()
	}
}
