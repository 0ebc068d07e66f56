package peer

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// The first byte of a stream tells what it carries. A stream of an unknown type
// is closed.
const (
	streamControl = 'C'
	streamData    = 'D'
)

const (
	// maxWrite bounds one yamux frame. yamux alone sends up to the whole window of
	// 256 KiB as one frame, and all other streams of the session wait behind it.
	maxWrite = 32 << 10
	// readBuffer and writeBuffer are the sizes of a data stream's buffers in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 16 << 10
)

// past is a deadline that makes blocked calls return at once.
var past = time.Unix(1, 0)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// writeSliced writes p in frames of at most maxWrite bytes.
func writeSliced(st *yamux.Stream, p []byte) (int, error) {
	total := 0
	for {
		part := p[total:min(total+maxWrite, len(p))]
		n, err := st.Write(part)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// serverConn is the accepting side of a data stream, as net/http's Server uses it.
type serverConn struct {
	*yamux.Stream
	session *session
	// timed says that a read deadline is set, writeTimed that a write deadline is.
	timed, writeTimed atomic.Bool

	lock sync.Mutex
	// cancel ends the context of the request under way; nil between requests.
	cancel    context.CancelFunc
	cancelled bool
}

// begin sets the cancel function of the request that starts.
func (c *serverConn) begin(cancel context.CancelFunc) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cancel = cancel
	if c.cancelled {
		cancel()
	}
}

// end is called when the request's handler has returned.
func (c *serverConn) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cancel = nil
}

// giveUp ends the request under way; the stream is of no more use.
//
// What would go wrong: net/http notices the end of a connection only by reading
// from it, and it does not read ahead while a handler has not consumed the
// request's body. A cancelled upload that waits in a target's queue would keep its
// place there. The entry router's message and the session's end cancel it here.
func (c *serverConn) giveUp() {
	c.lock.Lock()
	c.cancelled = true
	cancel := c.cancel
	c.lock.Unlock()
	if cancel != nil {
		cancel()
	}
	_ = c.Stream.SetWriteDeadline(past)
}

// SetReadDeadline implements net.Conn. net/http's server lifts the deadline several
// times for each request, mostly where there is none; yamux would allocate and wake
// the reader each time.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	if c.timed.Swap(!t.IsZero()) || !t.IsZero() {
		return c.Stream.SetReadDeadline(t)
	}
	return nil
}

// SetWriteDeadline implements net.Conn, for the same reason.
func (c *serverConn) SetWriteDeadline(t time.Time) error {
	if c.writeTimed.Swap(!t.IsZero()) || !t.IsZero() {
		return c.Stream.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *serverConn) SetDeadline(t time.Time) error {
	c.timed.Store(!t.IsZero())
	c.writeTimed.Store(!t.IsZero())
	return c.Stream.SetDeadline(t)
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	if err == nil || err == error(yamux.ErrTimeout) {
		return n, err
	}
	// What would go wrong: the entry router closed the stream because its caller went
	// away, the handler is blocked in a write on a full window that nobody empties,
	// and its slot at the target is held until yamux gives up. An entry router only
	// closes a stream that it has no more use for, so writes may fail at once.
	c.giveUp()
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) { return writeSliced(c.Stream, p) }

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.session.forgetConn(c)
	return c.Stream.Close()
}

// clientStream is the opening side of a data stream.
type clientStream struct {
	*yamux.Stream
	// fresh is true until the stream type was written.
	fresh bool
	// state is one of the constants below.
	state atomic.Int32
	// rested is when the last request ended, in nanoseconds since the node's start.
	rested int64
	// received counts the bytes read since the stream's buffer was last given back.
	received int
}

// What is known about the current request on a clientStream.
const (
	// stateUnsent means that no byte of the request was handed to the session.
	stateUnsent int32 = iota
	// stateAttempted means that some byte may have been sent.
	stateAttempted
	// stateSealed means that no byte was sent and none will be.
	stateSealed
)

var errSealed = errors.New("peer: request was given up before it was sent")

// Write implements io.Writer.
func (c *clientStream) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(stateUnsent, stateAttempted)
	if !first && c.state.Load() == stateSealed {
		return 0, errSealed
	}
	n, err := writeSliced(c.Stream, p)
	// yamux returns these two errors from its check of the stream's state, before
	// it hands anything to the connection. All others, a timeout included, may
	// leave the frame in its send queue, which is no proof.
	if first && n == 0 && (err == yamux.ErrStreamClosed || err == yamux.ErrConnectionReset) {
		c.state.Store(stateUnsent)
	}
	return n, err
}

// seal reports true if no byte of the request was sent, and then none will be.
func (c *clientStream) seal() bool {
	return c.state.CompareAndSwap(stateUnsent, stateSealed)
}

// open reports whether a stream that waited for reuse is still open on the other
// side. What would go wrong: the other side ended the stream after a handler's
// panic, and a request written to it would have an unknown outcome.
func (c *clientStream) open() bool {
	var b [1]byte
	_ = c.SetReadDeadline(past)
	_, err := c.Stream.Read(b[:])
	_ = c.SetReadDeadline(time.Time{})
	return err == error(yamux.ErrTimeout)
}

// rest gives the buffer back where much went through it. Small answers leave it,
// else each of them would allocate it anew.
func (c *clientStream) rest(now int64) {
	c.rested = now
	if c.received > readBuffer {
		c.Shrink()
		c.received = 0
	}
}

// abort makes blocked reads and writes return and tells the other side.
func (c *clientStream) abort() {
	_ = c.SetDeadline(past)
	_ = c.Close()
}

// Read implements io.Reader.
//
// What would go wrong: when a session breaks, yamux ends its streams with a clean
// io.EOF, and an answer that is delimited by the end of its stream would look
// whole. The entry router never closes before the answer's end, so that EOF on a
// broken session is always a truncation.
func (c *clientStream) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	c.received += n
	if err == io.EOF && c.Session().IsClosed() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
