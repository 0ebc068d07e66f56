package peer

import (
	"sync"
	"time"
)

// sweeper looks after a node's sessions with one timer for all. It rests while there
// is none.
type sweeper struct {
	node *Node

	lock     sync.Mutex
	sessions map[*session]struct{}
	running  bool
	// round is only used by the goroutine that sweeps.
	round []*session
}

func newSweeper(n *Node) *sweeper {
	return &sweeper{node: n, sessions: make(map[*session]struct{})}
}

// add looks after a session until it is removed; false once the node is closed.
func (w *sweeper) add(s *session) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.running && !w.node.spawn(w.run) {
		return false
	}
	w.running = true
	w.sessions[s] = struct{}{}
	return true
}

func (w *sweeper) remove(s *session) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.sessions, s)
}

func (w *sweeper) run() {
	tick := time.NewTicker(max(w.node.cfg.KeepAlive/2, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-w.node.ctx.Done():
			return
		}
		if !w.gather() {
			return
		}
		now := w.node.cfg.Now()
		for i, s := range w.round {
			w.round[i] = nil
			s.sweep()
			s.watch(now)
		}
	}
}

// gather lists the sessions of this round; it reports false, and ends the sweep, if
// there is none.
func (w *sweeper) gather() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running = len(w.sessions) > 0
	w.round = w.round[:0]
	for s := range w.sessions {
		w.round = append(w.round, s)
	}
	return w.running
}

// sweep proves a session that is in use, trims what it does not use and retires it
// when it is idle. It never waits for the other side: a silent session must not
// hold up the proof of the others, so all that may wait is done apart.
func (s *session) sweep() {
	if s.needsProof() {
		s.proveApart()
	}
	s.trim()
}

// proveApart pings, unless a ping is under way already.
func (s *session) proveApart() {
	select {
	case s.pinging <- struct{}{}:
	default:
		return
	}
	started := s.node.spawn(func() {
		defer func() { <-s.pinging }()
		_ = s.ping()
	})
	if !started {
		<-s.pinging
	}
}

// needsProof says whether a request or message is out whose way was not proved
// for half of KeepAlive.
func (s *session) needsProof() bool {
	if s.node.elapsed()-s.proof.Load() < int64(s.node.cfg.KeepAlive/2) {
		return false
	}
	if s.unproven.Load() {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.inFlight > 0
}

// trim gives back what a resting session holds, and ends it when it is idle.
func (s *session) trim() {
	unused := time.Duration(s.node.elapsed() - s.lastUse.Load())
	if unused > s.node.cfg.StreamIdle {
		s.batch.trim()
		if s.resting() {
			s.node.spawn(s.closeIdle)
		}
	}
	if unused > s.node.cfg.IdleTimeout && !s.serving() && !s.ending() {
		s.node.spawn(func() { s.retire(true) })
	}
}

// resting says whether streams wait for reuse.
func (s *session) resting() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.idle) > 0
}

// ending says whether the session is being retired already.
func (s *session) ending() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.retired
}
