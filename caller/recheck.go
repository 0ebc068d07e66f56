package caller

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
)

// certificateState is the state of the checks of a connection's client certificate.
type certificateState struct {
	tlsConn atomic.Pointer[tls.Conn]
	// round is the value of connLimits.recheckRound at the last check of this connection. It
	// is zero before the first check, which follows the handshake.
	round atomic.Uint64
	// handshakeDone is set once the handshake is complete.
	handshakeDone atomic.Bool
	// notAfter is when the certificate expires; nil if none was presented.
	notAfter atomic.Pointer[time.Time]
	// rejected means that the certificate is no longer accepted.
	rejected atomic.Bool
}

// Recheck calls Config.Accepts for the certificate of each open connection. A connection whose
// certificate is rejected is closed once it is idle. New requests on it are refused as not
// run, and requests in flight are still answered.
func (s *Server) Recheck() {
	s.limits.recheckRound.Add(1)
	for _, c := range s.limits.all() {
		if c.certificate.handshakeDone.Load() {
			s.checkCertificate(c)
		}
	}
}

// recheckOnStateChange checks the certificate of a connection that has become active or idle.
func (s *Server) recheckOnStateChange(c *callerConn, conn net.Conn, state http.ConnState) {
	secure, ok := conn.(*tls.Conn)
	if !ok || state != http.StateActive && state != http.StateIdle {
		return
	}
	c.certificate.tlsConn.Store(secure)
	c.certificate.handshakeDone.Store(true)
	s.checkCertificate(c)
}

// checkCertificate verifies the certificate once per round and closes the connection if the
// certificate is rejected and the connection idle.
func (s *Server) checkCertificate(c *callerConn) {
	cert := &c.certificate
	if round := s.limits.recheckRound.Load(); cert.round.Swap(round) != round {
		s.verifyCertificate(cert)
	}
	if cert.rejected.Load() && c.idleSince.Load() != 0 {
		c.closeIfStillIdle()
	}
}

// http2FlushGrace is how long a connection must have been idle before it is closed. On HTTP/2,
// net/http reports a connection as idle before it has sent the end of the last answer, which
// would be cut off.
const http2FlushGrace = time.Second

// closeIfStillIdle closes the connection after http2FlushGrace unless another request has
// come.
func (c *callerConn) closeIfStillIdle() {
	since := c.idleSince.Load()
	time.AfterFunc(http2FlushGrace, func() {
		if since != 0 && c.idleSince.Load() == since {
			_ = c.Close()
		}
	})
}

func (s *Server) verifyCertificate(cert *certificateState) {
	state := cert.tlsConn.Load().ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return
	}
	cert.notAfter.Store(&state.PeerCertificates[0].NotAfter)
	if s.cfg.Accepts(&state) != nil {
		cert.rejected.Store(true)
	}
}

// refuseRejectedCertificate returns a fault if the certificate of the connection is no longer
// accepted or has expired, and has the connection closed after the answer.
func (x *exchange) refuseRejectedCertificate() *fault.Fault {
	c, _ := x.r.Context().Value(connKey{}).(*callerConn)
	if c == nil {
		return nil
	}
	cert := &c.certificate
	if notAfter := cert.notAfter.Load(); notAfter != nil && x.handler.cfg.Now().After(*notAfter) {
		cert.rejected.Store(true)
	}
	if !cert.rejected.Load() {
		return nil
	}
	x.certificateRejected = true
	return fault.New(fault.Unauthenticated, "the certificate of the connection is not accepted any more")
}
