package peer

import (
	"github.com/pkg/errors"
	"strings"
)

// place adds the session to its link and ends those that it replaces.
func (n *Node) place(s *session) error {
	n.lock.Lock()
	l := n.links[s.remote.Name]
	if l == nil {
		if len(n.links) >= n.cfg.MaxPeers {
			n.lock.Unlock()
			return errors.Wrap(ErrLimit, "too many routers")
		}
		l = n.addLocked(s.remote.Name)
	}
	dead, loser, err := l.place(s)
	n.lock.Unlock()
	for _, old := range dead {
		old.close(errors.New("peer: a newer incarnation has connected"))
	}
	if loser != nil {
		n.count.retired.Add(1)
		loser.retire(true)
	}
	return err
}

func (n *Node) addLocked(name string) *link {
	l := &link{node: n, name: name, sessions: make(map[*session]struct{})}
	n.links[name] = l
	return l
}

func (n *Node) forget(l *link) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.links[l.name] == l && l.droppable() {
		delete(n.links, l.name)
	}
}

func (n *Node) lookup(name string) *link {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.links[name]
}

// SetPeers implements Transport. Sessions to routers that are no longer listed
// finish their requests and end; a router that is not listed may still connect.
func (n *Node) SetPeers(peers []Identity) {
	wanted := make(map[string]string, len(peers))
	for _, p := range peers {
		if p.Name != n.self.Name && p.Name != "" {
			wanted[p.Name] = p.Address
		}
	}
	var unlisted []*link
	n.lock.Lock()
	for name, l := range n.links {
		if _, ok := wanted[name]; !ok && l.unlist() {
			unlisted = append(unlisted, l)
		}
	}
	for name, address := range wanted {
		l := n.links[name]
		if l == nil {
			l = n.addLocked(name)
		}
		l.list(address)
	}
	n.lock.Unlock()
	for _, l := range unlisted {
		for _, s := range l.all() {
			n.spawn(func() { s.retire(true) })
		}
		n.forget(l)
	}
}

// unlist reports whether the link was listed before. It forgets the address: a
// router that has left would else be dialled for each message that is still meant
// for it, in vain and with a warning each time.
func (l *link) unlist() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	was := l.listed
	l.listed = false
	if was {
		l.address = ""
	}
	return was
}

// list sets the address to dial; a new address may be tried at once.
func (l *link) list(address string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.address != address {
		l.lastErr = nil
		l.failures = 0
	}
	l.listed = true
	l.address = address
}

// Send implements Transport. Kinds that begin with "peer." are reserved.
func (n *Node) Send(to, kind string, payload []byte) bool {
	l := n.lookup(to)
	if l == nil {
		return false
	}
	if len(payload) > n.cfg.MaxMessage || len(kind) > maxKind {
		n.count.oversized.Add(1)
		return false
	}
	if strings.HasPrefix(kind, kindPrefix) {
		return false
	}
	return l.enqueue(kind, payload)
}

// Drop ends all sessions to a router at once, for instance when it was declared
// lost, so that requests on them fail now and not when they are found silent. It does
// not wait for their ends: with TLS that takes seconds where the other side is silent.
func (n *Node) Drop(name string) {
	l := n.lookup(name)
	if l == nil {
		return
	}
	for _, s := range l.all() {
		n.spawn(func() { s.close(errors.New("peer: router was declared lost")) })
	}
}

func (n *Node) sessions() []*session {
	n.lock.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.lock.Unlock()
	var sessions []*session
	for _, l := range links {
		sessions = append(sessions, l.all()...)
	}
	return sessions
}
