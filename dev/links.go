package dev

import (
	"context"
	"net"
	"sync"
)

// Links are the switches of the network between routers, and between routers and
// targets. A name is that of a router or of a target.
//
// What a cut drops is gone for good: a connection that lost bytes in one direction
// carries nothing more in it, and no end of it either, not even after the cut was
// healed. That is how a connection looks that something between the two ends has
// lost track of; new connections work.
type Links struct {
	mu      sync.Mutex
	cut     map[pair]bool
	address map[string]string
	conns   map[*linkConn]struct{}
}

// pair is one direction between two names.
type pair struct{ from, to string }

// NewLinks returns the switches of a network in which everything works.
func NewLinks() *Links {
	return &Links{
		cut:     make(map[pair]bool),
		address: make(map[string]string),
		conns:   make(map[*linkConn]struct{}),
	}
}

// CutOneWay drops what from sends to the other name. A new connection between the
// two can't be opened by either.
func (l *Links) CutOneWay(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[pair{from, to}] = true
}

// Cut drops everything between the two names.
func (l *Links) Cut(a, b string) {
	l.CutOneWay(a, b)
	l.CutOneWay(b, a)
}

// Heal ends all cuts.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
}

// Silence makes all connections that are open between the two names drop
// everything from now on; new ones work.
func (l *Links) Silence(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.between(a, b) {
			c.in.lose()
			c.out.lose()
		}
	}
}

// name tells the switches who listens at an address.
func (l *Links) name(address, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address[address] = name
}

func (l *Links) nameOf(address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address[address]
}

func (l *Links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[pair{from, to}]
}

// dialer returns what the named router opens its connections with.
func (l *Links) dialer(self string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		remote := l.nameOf(address)
		if l.isCut(self, remote) || l.isCut(remote, self) {
			// Nothing answers, as where packets are dropped.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := newLinkConn(l, raw, self, remote)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

func (l *Links) forget(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
