package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
)

func (n *Node) acceptLoop() {
	slots := make(chan struct{}, maxHandshakes)
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !n.sleep(10*time.Millisecond) {
				return
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		ok := n.spawn(func() {
			defer func() { <-slots }()
			n.accept(conn)
		})
		if !ok {
			_ = conn.Close()
			return
		}
	}
}

func (n *Node) accept(raw net.Conn) {
	_ = raw.SetDeadline(time.Now().Add(n.cfg.DialTimeout))
	stop := context.AfterFunc(n.ctx, func() { _ = raw.Close() })
	defer stop()
	conn := raw
	if n.cfg.TLS != nil {
		conn = tls.Server(conn, n.cfg.TLS)
	}
	remote, err := n.welcome(conn)
	if err == nil {
		_ = conn.SetDeadline(time.Time{})
		err = n.adopt(conn, remote, false)
	}
	if errors.Is(err, errAsked) {
		_ = conn.Close()
		return
	}
	if err != nil {
		_ = conn.Close()
		n.count.refused.Add(1)
		n.cfg.Logger.Warn("peer session refused", "from", conn.RemoteAddr(), "cause", err)
		if n.cfg.OnRefused != nil {
			n.cfg.OnRefused(conn.RemoteAddr().String(), err)
		}
	}
}

// admit decides whether a session from remote is accepted.
func (n *Node) admit(remote Identity) error {
	n.lock.Lock()
	l := n.links[remote.Name]
	full := l == nil && len(n.links) >= n.cfg.MaxPeers
	stopping := n.stopping || n.ctx.Err() != nil
	n.lock.Unlock()
	switch {
	case stopping:
		return errors.Wrap(ErrLimit, "router is stopping")
	case full:
		return errors.Wrap(ErrLimit, "too many routers")
	case l == nil:
		return nil
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if remote.Incarnation < l.incarnation {
		return errors.Wrapf(ErrStale, "%s %d, known %d", remote.Name, remote.Incarnation, l.incarnation)
	}
	return nil
}

// adopt makes a session of a connection after its hello exchange.
func (n *Node) adopt(conn net.Conn, remote Identity, dialled bool) error {
	s, err := newSession(n, conn, remote, dialled)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if err := n.place(s); err != nil {
		s.close(err)
		return err
	}
	n.count.sessions.Add(1)
	n.cfg.Logger.Info("peer session open", "peer", remote.Name,
		"incarnation", remote.Incarnation, "dialled", dialled)
	// Before adopt returns, so that who waits for the session finds it looked after.
	if !n.sweeper.add(s) || !n.spawn(func() { n.run(s) }) {
		n.sweeper.remove(s)
		s.close(errClosed)
		return errClosed
	}
	return nil
}

// run serves a session until it ends.
func (n *Node) run(s *session) {
	stop := context.AfterFunc(n.ctx, func() { s.close(errClosed) })
	defer stop()
	if n.spawn(s.acceptLoop) {
		<-s.mux.CloseChan()
	}
	_ = s.mux.Close()
	s.giveUpAll()
	s.link.remove(s)
	n.datagrams.forget(s)
	n.forget(s.link)
	// Last, so that a sweep that rests means that no link has a session.
	n.sweeper.remove(s)
}
