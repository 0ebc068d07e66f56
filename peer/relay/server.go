package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/internal/sockets"
	"tarragongw/peer/feedpb"
)

const (
	// maxConns bounds the relayed connections of one router.
	maxConns = 1024
	// openTimeout bounds opening a connection to a target for another router, which waits for it.
	openTimeout = 300 * time.Millisecond
	// idleTimeout is after how long without a byte in either direction a relayed connection is closed. It
	// is longer than any target may make no progress with a request.
	idleTimeout = 75 * time.Second
	// lingerTimeout is for how long bytes of a router are read after the target has ended.
	lingerTimeout = time.Second
)

// Server passes on connections for other routers.
type Server struct {
	// Open opens a connection to a target. It returns ErrTargetUnreached for a target that this router
	// doesn't know.
	Open func(ctx context.Context, r *Request) (net.Conn, error)
	// Lifetime ends all connections.
	Lifetime context.Context
	Log      *slog.Logger

	mu      sync.Mutex
	conns   map[*relayed]bool
	leaving bool
	// changed is closed when the last connection has ended, while Wait waits.
	changed chan struct{}
}

// Conns returns the number of connections that are passed on.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// relayed is one connection: near is the router's that asked, far the target's.
type relayed struct {
	near, far net.Conn
	reader    *bufio.Reader
	// writeMu is held while a frame is written to near.
	writeMu sync.Mutex
	// farMu is held while bytes are written to far; farBroken is set when that found the connection broken.
	farMu     sync.Mutex
	farBroken bool
	// used is how long after began a byte was passed on last.
	began  time.Time
	used   atomic.Int64
	closed sync.Once
}

// Serve serves the connection of a router whose hello asks for a connection to a target.
func (s *Server) Serve(near net.Conn, reader *bufio.Reader, hello *feedpb.Hello) {
	asked := hello.GetRelay()
	r := &Request{
		Router: hello.GetRouter(), Connection: asked.GetConnection(), Service: asked.GetService(),
		Target: asked.GetInstance().GetTarget(), StartUnixMilli: asked.GetInstance().GetBorn(),
	}
	if tcp, ok := near.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without it, idleTimeout ends the connection
	}
	c := &relayed{near: near, reader: reader, began: time.Now()}
	c.writeMu.Lock() // no frame is written before the reply
	reply := s.open(c, r)
	err := writeMessage(near, reply)
	c.writeMu.Unlock()
	if err != nil || reply.GetResult() != feedpb.RelayReply_OPENED {
		c.close()
		s.remove(c)
		s.Log.Info("connection not relayed", "connection", r.Connection, "for", r.Router, "service", r.Service, "target", r.Target,
			"result", reply.GetResult(), "detail", reply.GetDetail(), "err", err)
		return
	}
	s.Log.Info("connection relayed", "connection", r.Connection, "for", r.Router, "service", r.Service, "target", r.Target)
	err = c.run(s.Lifetime)
	s.remove(c)
	s.Log.Info("relayed connection ended", "connection", r.Connection, "for", r.Router, "target", r.Target, "took", time.Since(c.began), "err", err)
}

// open opens the connection to the target and returns the reply.
func (s *Server) open(c *relayed, r *Request) *feedpb.RelayReply {
	if !s.add(c) {
		return &feedpb.RelayReply{Result: feedpb.RelayReply_UNAVAILABLE, Detail: "stopping, or too many connections"}
	}
	ctx, cancel := context.WithTimeout(s.Lifetime, openTimeout)
	defer cancel()
	far, err := s.Open(ctx, r)
	switch {
	case err == nil:
		c.far = far
		return &feedpb.RelayReply{}
	case errors.Is(err, syscall.ECONNREFUSED):
		return &feedpb.RelayReply{Result: feedpb.RelayReply_REFUSED, Detail: err.Error()}
	default:
		return &feedpb.RelayReply{Result: feedpb.RelayReply_UNREACHED, Detail: err.Error()}
	}
}

func (s *Server) add(c *relayed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.conns) >= maxConns {
		return false
	}
	if s.conns == nil {
		s.conns = map[*relayed]bool{}
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Leave refuses further connections, and tells the routers to send no further requests on the present ones.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	var all []*relayed
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		// A connection that can't be written to is ending.
		_ = c.writeFrame(frameLeaving, make([]byte, frameHeader))
	}
}

// Wait waits until all connections have ended, or until the context ends.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	if len(s.conns) == 0 {
		s.mu.Unlock()
		return
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// run passes bytes on in both directions until one side ends or the lifetime does.
func (c *relayed) run(lifetime context.Context) error {
	defer context.AfterFunc(lifetime, c.abort)()
	toTarget := make(chan error, 1)
	go func() { toTarget <- c.passToTarget() }()
	err := c.passFromTarget()
	if err == nil {
		err = c.end()
	}
	if err != nil {
		c.abort()
	}
	<-toTarget
	c.close()
	return err
}

// end tells the router that the target has ended its connection. What the router still sends is read for
// a while, since closing a connection with unread bytes would reset it before the router has read all.
func (c *relayed) end() error {
	if err := c.writeFrame(frameEnd, make([]byte, frameHeader)); err != nil {
		return err
	}
	if tcp, ok := c.near.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			return err
		}
	}
	return c.near.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// passToTarget copies bytes of the router to the target until either ends. The target then gets no more:
// what the router sent is not completed by anybody else.
func (c *relayed) passToTarget() error {
	buffer := buffers.Get().(*[frameHeader + maxFrameData]byte)
	defer buffers.Put(buffer)
	for {
		n, err := c.reader.Read(buffer[:])
		if n > 0 {
			c.used.Store(int64(time.Since(c.began)))
			if writeErr := c.writeToTarget(buffer[:n]); writeErr != nil {
				// The answer may have begun before the target refused the rest of the request.
				_, err := io.Copy(io.Discard, c.reader)
				return err
			}
		}
		if err != nil {
			c.far.Close()
			return err
		}
		yieldAfter(n)
	}
}

func (c *relayed) writeToTarget(b []byte) error {
	c.farMu.Lock()
	defer c.farMu.Unlock()
	_, err := c.far.Write(b)
	c.farBroken = sockets.IsBroken(err)
	return err
}

// errTargetConnBroken is the error of a connection that the target did not end in order.
var errTargetConnBroken = errors.New("relay: the connection to the target broke")

// endOfTarget returns nil if the end of the stream that a read has found is the target's own. It closes the connection.
func (c *relayed) endOfTarget() error {
	c.far.Close() // ends a write in progress
	c.farMu.Lock()
	defer c.farMu.Unlock()
	if c.farBroken {
		return errTargetConnBroken
	}
	return nil
}

// passFromTarget copies frames to the router until the target ends; nil means that it did so without a
// reset.
func (c *relayed) passFromTarget() error {
	buffer := buffers.Get().(*[frameHeader + maxFrameData]byte)
	defer buffers.Put(buffer)
	for {
		if err := c.far.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		n, err := c.far.Read(buffer[frameHeader:])
		if n > 0 {
			c.used.Store(int64(time.Since(c.began)))
			if writeErr := c.writeFrame(frameData, buffer[:frameHeader+n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == io.EOF:
			return c.endOfTarget()
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Since(c.began)-time.Duration(c.used.Load()) < idleTimeout:
		case err != nil:
			return err
		}
		yieldAfter(n)
	}
}

// yieldAfter lets other requests have the processor after a read of n bytes that is part of a long body: at full speed its
// copying would keep it for 10 ms.
func yieldAfter(n int) {
	if n == maxFrameData {
		runtime.Gosched()
	}
}

// writeFrame writes a frame; b has room for the header before the data.
func (c *relayed) writeFrame(kind byte, b []byte) error {
	b[0] = kind
	binary.BigEndian.PutUint16(b[1:], uint16(len(b)-frameHeader))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.near.Write(b)
	return err
}

// close ends both connections; what was written before still arrives.
func (c *relayed) close() {
	c.closed.Do(func() {
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	})
}

// abort resets the connection to the router, so that the end can't be taken for the target's.
func (c *relayed) abort() {
	c.closed.Do(func() {
		if tcp, ok := c.near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the missing frame shows the same
		}
		c.near.Close()
		c.far.Close()
	})
}

var buffers = sync.Pool{New: func() any { return new([frameHeader + maxFrameData]byte) }}
