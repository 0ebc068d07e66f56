package dev

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// linkConn is a connection that obeys the switches. It is the end that dialled;
// both directions pass through it.
type linkConn struct {
	net.Conn
	links        *Links
	self, remote string
	in, out      direction

	closing sync.Once
	closed  chan struct{}
	// readBy is the read deadline in nanoseconds of the wall clock; zero is none.
	readBy atomic.Int64
}

// direction is one half of a connection.
type direction struct{ lost atomic.Bool }

func (d *direction) lose() { d.lost.Store(true) }

// drops reports whether the direction carries nothing, and keeps it so.
func (d *direction) drops(cut bool) bool {
	if cut {
		d.lose()
	}
	return d.lost.Load()
}

// silentPoll is how often a reader of a silent connection looks at its deadline.
const silentPoll = 2 * time.Millisecond

func newLinkConn(l *Links, raw net.Conn, self, remote string) *linkConn {
	return &linkConn{Conn: raw, links: l, self: self, remote: remote, closed: make(chan struct{})}
}

func (c *linkConn) between(a, b string) bool {
	return c.self == a && c.remote == b || c.self == b && c.remote == a
}

func (c *linkConn) dropsOut() bool { return c.out.drops(c.links.isCut(c.self, c.remote)) }
func (c *linkConn) dropsIn() bool  { return c.in.drops(c.links.isCut(c.remote, c.self)) }

// Write implements net.Conn. What is dropped counts as written, as the kernel's
// buffer takes it.
func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.dropsOut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. In a direction that drops, nothing arrives, the
// other side's close included.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.dropsIn() {
			return n, err
		}
		if err == nil {
			continue
		}
		return 0, c.silence(err)
	}
}

// silence waits for the deadline or for Close and returns the error of it.
func (c *linkConn) silence(err error) error {
	for !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(silentPoll):
		}
		if by := c.readBy.Load(); by != 0 && time.Now().UnixNano() >= by {
			return os.ErrDeadlineExceeded
		}
	}
	return err
}

// Close implements net.Conn. Where the way out drops, the other side doesn't
// learn of it: the socket stays open until the system ends.
func (c *linkConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	if c.dropsOut() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.links.forget(c)
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *linkConn) noteDeadline(t time.Time) {
	if t.IsZero() {
		c.readBy.Store(0)
		return
	}
	c.readBy.Store(t.UnixNano())
}

// SyscallConn implements syscall.Conn, by which a pool looks whether a connection
// at rest was closed.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("dev: the connection has no socket")
	}
	return raw.SyscallConn()
}

// end closes the sockets that silent connections kept.
func (l *Links) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		// The system is over; nobody waits for what is lost here.
		_ = c.Conn.Close()
	}
	clear(l.conns)
}
