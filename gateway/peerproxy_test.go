package gateway

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// peerProxy is the way to a gateway's address for other routers. It can fall silent: connections stay open, and
// nothing passes.
type peerProxy struct {
	listener net.Listener
	backend  string

	mu sync.Mutex
	// passing is closed while bytes pass.
	passing chan struct{}
	silent  bool
	conns   []net.Conn
}

func newPeerProxy(t testing.TB, backend string) *peerProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peerProxy{listener: listener, backend: backend, passing: make(chan struct{})}
	close(p.passing)
	t.Cleanup(p.close)
	go p.serve()
	return p
}

func (p *peerProxy) address() string { return p.listener.Addr().String() }

// setSilent makes the proxy pass nothing, or pass everything again. It reports whether that is a change.
func (p *peerProxy) setSilent(silent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if silent == p.silent {
		return false
	}
	p.silent = silent
	if silent {
		p.passing = make(chan struct{})
	} else {
		close(p.passing)
	}
	return true
}

func (p *peerProxy) close() {
	p.setSilent(false)
	_ = p.listener.Close() // it fails only if it is closed already
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

func (p *peerProxy) serve() {
	for {
		front, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(front)
	}
}

func (p *peerProxy) connect(front net.Conn) {
	p.wait()
	back, err := net.DialTimeout("tcp", p.backend, time.Second)
	if err != nil {
		front.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, front, back)
	p.mu.Unlock()
	go p.copy(front, back)
	p.copy(back, front)
}

// wait waits until bytes pass.
func (p *peerProxy) wait() {
	p.mu.Lock()
	passing := p.passing
	p.mu.Unlock()
	<-passing
}

func (p *peerProxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.wait()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
