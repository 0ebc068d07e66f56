package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	errUnknownPeer = errors.New("peer: unknown router")
	errNoAddress   = errors.New("peer: router has no address and no session")
)

// link is what a node keeps for one other router: sessions, dialling and the
// queue of control messages. A session is dialled when there is something to
// send, and ends when it is idle.
type link struct {
	node *Node
	name string

	lock        sync.Mutex
	address     string
	listed      bool
	incarnation uint64
	minor       uint32
	current     *session
	sessions    map[*session]struct{}

	dialling  *attempt
	failures  int
	notBefore time.Time
	lastErr   error

	queue   []queued
	writing bool
}

// attempt is one dial that several senders may wait for.
type attempt struct {
	done chan struct{}
	err  error
}

// session returns the session to use, dialling if there is none. While a failed
// dial backs off it fails at once with that dial's error.
func (l *link) session(ctx context.Context) (*session, error) {
	l.lock.Lock()
	if s := l.current; s != nil && s.usable() {
		l.lock.Unlock()
		return s, nil
	}
	a, err := l.dialLocked()
	l.lock.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if a.err != nil {
		return nil, a.err
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if s := l.current; s != nil && s.usable() {
		return s, nil
	}
	return nil, errRetired
}

func (l *link) dialLocked() (*attempt, error) {
	if l.dialling != nil {
		return l.dialling, nil
	}
	if l.address == "" {
		return nil, errNoAddress
	}
	if l.lastErr != nil && time.Now().Before(l.notBefore) {
		return nil, errors.Wrap(l.lastErr, "backing off")
	}
	a := &attempt{done: make(chan struct{})}
	address := l.address
	if !l.node.spawn(func() { l.dial(a, address) }) {
		return nil, errClosed
	}
	l.dialling = a
	return a, nil
}

func (l *link) dial(a *attempt, address string) {
	conn, remote, err := l.node.dial(l.node.ctx, address, l.name)
	if err == nil {
		err = l.node.adopt(conn, remote, true)
	}
	l.lock.Lock()
	l.dialling = nil
	l.lastErr = err
	before := l.failures
	if err == nil {
		l.failures = 0
	} else {
		l.failures++
		l.notBefore = time.Now().Add(l.node.backoff(l.failures))
	}
	l.lock.Unlock()
	if err != nil {
		l.node.count.dialFailed.Add(1)
	}
	l.logDial(address, before, err)
	if err != nil && l.node.cfg.OnDialFailed != nil {
		l.node.cfg.OnDialFailed(l.name, address, err)
	}
	a.err = err
	close(a.done)
}

// logDial warns of the first failure of a row and says when it has ended; the dials
// between are counted, and logged for who looks closer.
func (l *link) logDial(address string, failures int, err error) {
	log := l.node.cfg.Logger.With("peer", l.name, "address", address)
	switch {
	case err != nil && failures == 0:
		log.Warn("peer dial failed", "cause", err.Error())
	case err != nil:
		log.Debug("peer dial failed again", "failures", failures+1, "cause", err.Error())
	case failures > 0:
		log.Info("peer dialled after failures", "failures", failures)
	}
}

// backoff returns a wait with full jitter after the given number of failures:
// after a common cause, such as a lost switch, routers do not redial in step.
func (n *Node) backoff(failures int) time.Duration {
	limit := n.cfg.BackoffBase << min(failures-1, 20)
	if limit <= 0 || limit > n.cfg.BackoffMax {
		limit = n.cfg.BackoffMax
	}
	return rand.N(limit) + 1
}

// wait returns how long to sleep until the next dial makes sense or expiry.
func (l *link) wait(expiry time.Time) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	until := l.notBefore
	if expiry.Before(until) {
		until = expiry
	}
	return max(time.Until(until), time.Millisecond)
}

// place adds an established session and decides which one is current. It returns
// the sessions to older lives of the router, and the live one that must give way.
func (l *link) place(s *session) (dead []*session, loser *session, err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if s.remote.Incarnation < l.incarnation {
		err = errors.Wrapf(ErrStale, "%s %d, known %d", l.name, s.remote.Incarnation, l.incarnation)
		return nil, nil, err
	}
	if s.remote.Incarnation > l.incarnation {
		l.incarnation = s.remote.Incarnation
		for old := range l.sessions {
			dead = append(dead, old)
		}
		l.current = nil
	}
	if !l.listed && s.remote.Address != "" {
		l.address = s.remote.Address
	}
	l.minor = s.remote.minor
	s.link = l
	l.sessions[s] = struct{}{}
	// Whoever dialled: the other router is reached.
	l.lastErr, l.failures = nil, 0
	old := l.current
	if old == nil || !old.usable() {
		l.current = s
		return dead, nil, nil
	}
	if !l.node.prefers(s, old) {
		return dead, s, nil
	}
	l.current = s
	return dead, old, nil
}

// prefers settles which of two live sessions to the same life of a router stays.
//
// Both routers must choose the same one, or each would close the other's choice.
// Two that dialled each other at once both see both sessions young, and the one
// that the lower name dialled stays. A session that comes later than a dial can
// take was dialled by a router that has lost the old one, so the newer stays.
func (n *Node) prefers(fresh, old *session) bool {
	if fresh.dialled == old.dialled {
		return true
	}
	if fresh.since.Sub(old.since) > n.cfg.DialTimeout {
		return true
	}
	return fresh.dialled == (n.self.Name < fresh.remote.Name)
}

// remove forgets a session that ended.
func (l *link) remove(s *session) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.sessions, s)
	if l.current == s {
		l.current = nil
	}
}

// droppable says whether the node may forget the link.
func (l *link) droppable() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return !l.listed && len(l.sessions) == 0 && l.dialling == nil && !l.writing
}

// all returns the link's sessions.
func (l *link) all() []*session {
	l.lock.Lock()
	defer l.lock.Unlock()
	sessions := make([]*session, 0, len(l.sessions))
	for s := range l.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}
