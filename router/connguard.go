package router

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

// connGuard closes the connections of an http.Server at their rest once the certificate
// that they began with is not accepted any more. What is in flight has its answer; calls
// that follow on such a connection are refused before that by Router.identify.
type connGuard struct {
	accepts func(*tls.ConnectionState) error
	// refused is told of each connection that is closed.
	refused func(name string, cause error)

	lock  sync.Mutex
	conns map[*tls.Conn]*guardedConn
	round uint64
}

type guardedConn struct {
	state http.ConnState
	// round is that of the last recheck that the connection has passed.
	round uint64
}

// changed is the server's ConnState hook.
func (g *connGuard) changed(conn net.Conn, state http.ConnState) {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return
	}
	if g.note(secure, state) {
		g.check(secure)
	}
}

// note reports whether the connection rests and was not checked since the last recheck.
func (g *connGuard) note(conn *tls.Conn, state http.ConnState) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.conns, conn)
		return false
	}
	c := g.conns[conn]
	if c == nil {
		if g.conns == nil {
			g.conns = make(map[*tls.Conn]*guardedConn)
		}
		c = &guardedConn{round: g.round}
		g.conns[conn] = c
	}
	c.state = state
	if state != http.StateIdle || c.round == g.round {
		return false
	}
	c.round = g.round
	return true
}

// recheck closes the connections at rest that are refused now; the others are looked
// at when they come to rest.
func (g *connGuard) recheck() {
	for _, conn := range g.resting() {
		g.check(conn)
	}
}

func (g *connGuard) resting() []*tls.Conn {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.round++
	var resting []*tls.Conn
	for conn, c := range g.conns {
		if c.state == http.StateIdle {
			c.round = g.round
			resting = append(resting, conn)
		}
	}
	return resting
}

func (g *connGuard) check(conn *tls.Conn) {
	state := conn.ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return
	}
	if err := g.accepts(&state); err != nil {
		g.refused(state.PeerCertificates[0].Subject.CommonName, err)
		_ = conn.Close()
	}
}
