package peer

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// maxBatch bounds the bytes that wait in a batchConn.
const maxBatch = 64 << 10

// batchConn gathers the small writes of yamux, which sends each frame as two,
// header and body, and hands what gathered during one system call to the next.
// Errors surface at a later write; yamux ends the session then.
type batchConn struct {
	net.Conn

	lock  sync.Mutex
	space *sync.Cond
	work  *sync.Cond
	buf   []byte
	spare []byte
	err   error
}

func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn}
	c.space = sync.NewCond(&c.lock)
	c.work = sync.NewCond(&c.lock)
	return c
}

// Write implements net.Conn.
func (c *batchConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for c.err == nil && len(c.buf) > 0 && len(c.buf)+len(p) > maxBatch {
		c.space.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.buf = append(c.buf, p...)
	c.work.Signal()
	return len(p), nil
}

// flush writes what gathers until the connection fails or is closed.
func (c *batchConn) flush() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for {
		for len(c.buf) == 0 && c.err == nil {
			c.work.Wait()
		}
		if c.err != nil {
			return
		}
		out := c.buf
		c.buf = c.spare[:0]
		c.space.Broadcast()
		c.lock.Unlock()
		_, err := c.Conn.Write(out)
		if err != nil {
			// The reader is to end before yamux learns of the error; see session.end.
			_ = c.Conn.Close()
		}
		c.lock.Lock()
		c.spare = out
		if err != nil {
			c.failLocked(errors.WithStack(err))
		}
	}
}

// trim gives back the buffers of a connection that rests.
func (c *batchConn) trim() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spare = nil
	if len(c.buf) == 0 {
		c.buf = nil
	}
}

func (c *batchConn) failLocked(err error) {
	if c.err == nil {
		c.err = err
	}
	c.space.Broadcast()
	c.work.Signal()
}

// Close implements net.Conn.
func (c *batchConn) Close() error {
	err := c.Conn.Close()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.failLocked(errors.WithStack(net.ErrClosed))
	return err
}
