package peer

import (
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/fault"
)

// Times of sessions whose certificate ends or is refused.
const (
	// renewAhead is how long before the end of the other side's certificate a session is
	// replaced; each takes up to half of it off, so that not all are in one moment.
	renewAhead = 2 * time.Minute
	// replaceWithin spreads the replacing of sessions whose authority was taken out.
	replaceWithin = 3 * time.Second
	// drainsFor is how long a session that was replaced may still bring new work: what
	// the other side sent before it heard that the session ends.
	drainsFor = time.Second
)

// guard is what a session knows of the other side's certificate; zero in plain text.
type guard struct {
	state *tls.ConnectionState
	// ends is the certificate's end, and renew when the session is replaced, by the wall
	// clock; zero where it came too late for that.
	ends, renew time.Time
}

func (n *Node) newGuard(state *tls.ConnectionState) guard {
	if state == nil || len(state.PeerCertificates) == 0 {
		return guard{}
	}
	g := guard{
		state: &tls.ConnectionState{PeerCertificates: state.PeerCertificates, VerifiedChains: state.VerifiedChains},
		ends:  state.PeerCertificates[0].NotAfter,
	}
	renew := g.ends.Add(-renewAhead + rand.N(renewAhead/2))
	if n.cfg.Now().Before(renew) {
		g.renew = renew
	}
	return g
}

// Recheck asks Config.Accepts for the certificate of each open session, and replaces or
// ends those that it refuses. Requests in flight go on.
func (n *Node) Recheck() {
	for _, s := range n.sessions() {
		s.recheck()
	}
}

func (s *session) recheck() {
	if s.guard.state == nil || s.node.cfg.Accepts == nil {
		return
	}
	err := s.node.cfg.Accepts(s.guard.state)
	if err == nil || s.refused.Swap(true) {
		return
	}
	s.node.cfg.Logger.Warn("peer session refused after its begin", "peer", s.remote.Name, "cause", err)
	s.node.spawn(func() { s.refuse(err) })
}

// refuse ends a session whose certificate is not accepted any more.
//
// What goes wrong without it: a session may last for as long as the router, and whoever
// holds a key that was lost speaks on it as that router. One would notice takeovers in
// the name of a VM that is gone. New work on it is refused as not run, and messages are
// dropped; what is in flight may end, within Config.EndLimit.
//
// A revoked certificate does nothing more from now on. One that ended, or whose
// authority was taken out, has most likely been renewed: a new session comes first, so
// that requests do not pause.
func (s *session) refuse(cause error) {
	n := s.node
	if !n.cfg.Revoked(cause) && !s.ending() {
		if !n.sleep(rand.N(n.replaceWithin)) {
			return
		}
		if s.link.replace() == nil {
			s.retire(true)
			n.sleep(n.drainsFor)
		}
	}
	s.barUntil.Store(n.elapsed() + int64(n.cfg.EndLimit))
	n.datagrams.forget(s)
	s.retire(true)
	if n.cfg.OnSessionRefused != nil {
		n.cfg.OnSessionRefused(s.remote, cause)
	}
}

// barred says that the other side's certificate is refused.
func (s *session) barred() bool { return s.barUntil.Load() != 0 }

// replace dials a new session beside the one in use, which gives way to it.
func (l *link) replace() error {
	l.lock.Lock()
	a, err := l.dialLocked()
	l.lock.Unlock()
	if err != nil {
		return err
	}
	<-a.done
	return a.err
}

// watch replaces a session in time, and ends what may not last longer.
func (s *session) watch(now time.Time) {
	if until := s.barUntil.Load(); until != 0 && s.node.elapsed() > until && s.alive() {
		s.node.spawn(func() {
			s.close(errors.New("peer: the certificate is refused, and requests were in flight for too long"))
		})
	}
	if s.guard.state == nil {
		return
	}
	if !s.guard.renew.IsZero() && now.After(s.guard.renew) {
		s.guard.renew = time.Time{}
		// Where it fails, the certificate's end ends the session.
		s.node.spawn(func() { _ = s.link.replace() })
	}
	if now.After(s.guard.ends) && !s.refused.Load() {
		s.recheck()
	}
}

// Refused returns the names of the routers whose certificates are refused and that still
// have requests in flight on a session.
func (n *Node) Refused() []string {
	var names []string
	for _, s := range n.sessions() {
		if s.barred() {
			names = append(names, s.remote.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// errBarred answers a request on a session whose certificate is refused.
var errBarred = &fault.Fault{Kind: fault.OwnerUnreachable, Ran: fault.NotRun, Detail: "the certificate of the session is refused"}
