package target

import (
	"crypto/tls"
	"time"
)

// Recheck checks the certificates of all connections against PoolConfig.Accepts. Connections
// whose certificate is refused are closed: idle ones now, those in use when their exchange
// has ended.
//
// Otherwise a connection that was opened before its certificate was revoked, or before the
// issuing authority was removed, would be used for up to PoolConfig.MaxAge.
func (p *Pool) Recheck() {
	p.rechecks.Add(1)
	p.sweep(p.cfg.Now())
}

// Recheck does the same as Pool.Recheck for the control connections.
func (c *Control) Recheck() { c.pool.Recheck() }

// peerCert describes the certificate that the target presented on a connection; the zero
// value stands for plain text.
type peerCert struct {
	state    *tls.ConnectionState
	notAfter time.Time
	// lastRecheck is the value of Pool.rechecks at which the certificate was last checked.
	lastRecheck uint64
}

// newPeerCert returns the peerCert of a connection. rechecks is the value of Pool.rechecks
// before the handshake, so that a Recheck during the handshake applies to the connection.
func newPeerCert(state tls.ConnectionState, rechecks uint64) peerCert {
	if len(state.PeerCertificates) == 0 {
		return peerCert{}
	}
	kept := &tls.ConnectionState{PeerCertificates: state.PeerCertificates, VerifiedChains: state.VerifiedChains}
	return peerCert{kept, state.PeerCertificates[0].NotAfter, rechecks}
}

// certAccepted reports whether the connection's certificate allows another exchange. The
// caller must own the connection or hold mu.
func (p *Pool) certAccepted(c *conn, now time.Time) bool {
	if c.cert.state == nil || p.cfg.Accepts == nil {
		return true
	}
	rechecks := p.rechecks.Load()
	if c.cert.lastRecheck == rechecks && !now.After(c.cert.notAfter) {
		return true
	}
	c.cert.lastRecheck = rechecks
	return p.cfg.Accepts(c.cert.state) == nil
}
