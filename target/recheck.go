package target

import (
	"crypto/tls"
	"time"
)

// Recheck holds the certificates of all connections against PoolConfig.Accepts: those at
// rest that it refuses are closed now, those in use once their exchange has ended.
//
// What goes wrong without it: a connection that was opened before a certificate was
// revoked, or its authority taken out, brings work to its holder for as long as ConnAge.
func (p *Pool) Recheck() {
	p.rechecks.Add(1)
	p.sweep(p.cfg.Now())
}

// Recheck does the same for the connections for control.
func (c *Control) Recheck() { c.pool.Recheck() }

// peerCert is what a connection knows of the target's certificate; zero in plain text.
type peerCert struct {
	state    *tls.ConnectionState
	notAfter time.Time
	// checkedAt is that of the pool's last Recheck that the certificate has passed.
	checkedAt uint64
}

// newPeerCert takes the round that the pool was in when the handshake began: a Recheck during
// it must not pass the connection over.
func newPeerCert(state tls.ConnectionState, round uint64) peerCert {
	if len(state.PeerCertificates) == 0 {
		return peerCert{}
	}
	kept := &tls.ConnectionState{PeerCertificates: state.PeerCertificates, VerifiedChains: state.VerifiedChains}
	return peerCert{kept, state.PeerCertificates[0].NotAfter, round}
}

// certAccepted reports whether the connection may take another exchange. The connection must
// be the caller's own, or the pool's lock be held.
func (p *Pool) certAccepted(c *conn, now time.Time) bool {
	if c.cert.state == nil || p.cfg.Accepts == nil {
		return true
	}
	round := p.rechecks.Load()
	if c.cert.checkedAt == round && !now.After(c.cert.notAfter) {
		return true
	}
	c.cert.checkedAt = round
	return p.cfg.Accepts(c.cert.state) == nil
}
