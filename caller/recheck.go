package caller

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
)

// trust is what a caller's connection knows of the certificate that was shown on it.
type trust struct {
	secure atomic.Pointer[tls.Conn]
	// round is that of the last Recheck that the connection has passed; zero before the
	// first, which follows the handshake.
	round atomic.Uint64
	// open says that the handshake is over.
	open atomic.Bool
	// ends is when the certificate does; nil where none was shown.
	ends   atomic.Pointer[time.Time]
	barred atomic.Bool
}

// Recheck asks Config.Accepts for the certificate of each open connection. One that is
// refused is closed at its rest; requests that still come on it are refused as not run,
// and what is in flight has its answer.
func (s *Server) Recheck() {
	s.limits.round.Add(1)
	for _, c := range s.limits.all() {
		if c.trust.open.Load() {
			s.check(c)
		}
	}
}

// recheck checks a connection that has come to rest or left it.
func (s *Server) recheck(c *callerConn, conn net.Conn, state http.ConnState) {
	secure, ok := conn.(*tls.Conn)
	if !ok || state != http.StateActive && state != http.StateIdle {
		return
	}
	c.trust.secure.Store(secure)
	c.trust.open.Store(true)
	s.check(c)
}

// check asks once for each round, and closes a connection at rest that is refused.
func (s *Server) check(c *callerConn) {
	t := &c.trust
	if round := s.limits.round.Load(); t.round.Swap(round) != round {
		s.ask(t)
	}
	if t.barred.Load() && c.restsSince.Load() != 0 {
		c.closeAtRest()
	}
}

// flushWithin is how long a connection must have rested before it is closed: with HTTP/2
// net/http says that a connection rests before it has sent the end of the last answer,
// which would be cut off.
const flushWithin = time.Second

// closeAtRest closes the connection unless another request comes.
func (c *callerConn) closeAtRest() {
	since := c.restsSince.Load()
	time.AfterFunc(flushWithin, func() {
		if since != 0 && c.restsSince.Load() == since {
			_ = c.Close()
		}
	})
}

func (s *Server) ask(t *trust) {
	state := t.secure.Load().ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return
	}
	t.ends.Store(&state.PeerCertificates[0].NotAfter)
	if s.cfg.Accepts(&state) != nil {
		t.barred.Store(true)
	}
}

// distrusted refuses a request that came on a connection whose certificate is refused by
// now, and has the connection closed.
func (x *exchange) distrusted() *fault.Fault {
	c, _ := x.r.Context().Value(connKey{}).(*callerConn)
	if c == nil {
		return nil
	}
	t := &c.trust
	if ends := t.ends.Load(); ends != nil && x.handler.cfg.Now().After(*ends) {
		t.barred.Store(true)
	}
	if !t.barred.Load() {
		return nil
	}
	x.distrusts = true
	return fault.New(fault.Unauthenticated, "the certificate of the connection is not accepted any more")
}
