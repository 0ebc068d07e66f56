package target

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tarragongw/core/fault"
	"tarragongw/leasewrite"
)

var (
	errWritesClosed   = errors.New("target: connection sealed")
	errLeaseExpired   = errors.New("target: the right to send has lapsed")
	errHeaderTooLarge = errors.New("target: header of the answer is too large")
)

// deadlineSlack is the part of the progress timeout by which a deadline is set
// further than needed, so that most reads and writes needn't set a new one.
const deadlineSlack = 4

// conn is one connection. Its Read and Write work on the raw connection, below
// TLS, and roll the progress deadlines; work goes through stream.
type conn struct {
	raw           net.Conn
	stream        net.Conn
	sock          syscall.RawConn
	inspectSocket func(fd uintptr)
	socketClean   bool

	cert      peerCert
	opened    time.Time
	idleSince time.Time

	progressTimeout time.Duration
	readUntil       time.Time
	writeUntil      time.Time
	// received and sent count raw bytes; a change excuses the other direction's silence.
	received atomic.Int64
	sent     atomic.Int64
	// timeoutPaused says that the request's body waits for the caller, not for the target.
	timeoutPaused atomic.Bool
	// timedOut is set when the progress timeout ended a read or write.
	timedOut atomic.Bool
	// writeFailed is set when a write on the raw connection failed.
	writeFailed atomic.Bool

	// headerLeft bounds what may be read while the header is awaited; negative means no bound.
	headerLeft  int64
	skipRawRead bool

	writeMu      sync.Mutex
	writesClosed bool
	// opts are those of the exchange, begun says that bytes of it have been written, and
	// refused is why no more may be. All are guarded by writeMu.
	opts       Terms
	started    bool
	writeFault *fault.Fault
	abort      func()

	br *bufio.Reader
	bw *bufio.Writer
}

func newConn(raw net.Conn, progress time.Duration, now time.Time) *conn {
	c := &conn{raw: raw, progressTimeout: progress, opened: now, headerLeft: -1}
	c.stream = c
	c.abort = func() { raw.Close() }
	if sc, ok := raw.(syscall.Conn); ok {
		if sock, err := sc.SyscallConn(); err == nil {
			c.sock = sock
			c.inspectSocket = func(fd uintptr) { c.socketClean = openAndEmpty(fd) }
		}
	}
	return c
}

// Read implements net.Conn on the raw connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.skipRawRead {
		return 0, os.ErrDeadlineExceeded
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerLeft > 0 && int64(len(b)) > c.headerLeft {
		b = b[:c.headerLeft]
	}
	for {
		sent := c.sent.Load()
		c.extendDeadline(&c.readUntil, c.raw.SetReadDeadline)
		n, err := c.raw.Read(b)
		if n > 0 {
			c.received.Add(int64(n))
			if c.headerLeft > 0 {
				c.headerLeft -= int64(n)
			}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.timeoutPaused.Load() || c.sent.Load() != sent {
			continue
		}
		c.timedOut.Store(true)
		return 0, err
	}
}

// Write implements net.Conn on the raw connection. It counts the bytes that the
// kernel took, which is what a "not run" rests on.
func (c *conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writesClosed {
		return 0, errWritesClosed
	}
	total := 0
	for {
		received := c.received.Load()
		c.extendDeadline(&c.writeUntil, c.raw.SetWriteDeadline)
		if !c.checkWrite() { // last, so that as little as can be lies between the look and the bytes
			return total, errLeaseExpired
		}
		n, err := c.writeRaw(b[total:])
		total += n
		c.sent.Add(int64(n))
		c.started = c.started || n > 0
		if err == nil {
			return total, nil
		}
		if leasewrite.GaveUp(err) {
			c.stopWrites(fault.Wrap(fault.StaleRoute, err, "the right to send has lapsed"))
			return total, errLeaseExpired
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.writeFailed.Store(true)
			return total, err
		}
		if n > 0 || c.received.Load() != received {
			continue
		}
		c.timedOut.Store(true)
		c.writeFailed.Store(true)
		return total, err
	}
}

// writeRaw writes without a look at the terms other than until when the right to send lasts.
func (c *conn) writeRaw(b []byte) (int, error) {
	if c.opts.Until == nil || c.sock == nil {
		return c.raw.Write(b)
	}
	return leasewrite.Write(c.sock, b, c.opts.Until(c.started))
}

// setOptions sets the terms of an exchange.
func (c *conn) setOptions(terms Terms) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.opts, c.started = terms, false
}

// checkWrite asks whether the terms still hold. The lock is held.
func (c *conn) checkWrite() bool {
	if c.opts.Still == nil {
		return true
	}
	if f := c.opts.Still(c.started); f != nil {
		c.stopWrites(f)
		return false
	}
	return true
}

// stopWrites ends the connection before another byte is written. The lock is held.
func (c *conn) stopWrites(f *fault.Fault) {
	c.writeFault = f
	c.writesClosed = true
	c.raw.Close()
}

// refusedWrite returns what refused a write of the exchange; nil where none was refused.
func (c *conn) refusedWrite() *fault.Fault {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeFault != nil && c.started {
		return fault.Wrap(fault.TargetLost, c.writeFault, "the right to send lapsed before the whole request was written")
	}
	return c.writeFault
}

func (c *conn) extendDeadline(until *time.Time, set func(time.Time) error) {
	if c.progressTimeout <= 0 {
		return
	}
	now := time.Now()
	if until.Sub(now) >= c.progressTimeout {
		return
	}
	*until = now.Add(c.progressTimeout + c.progressTimeout/deadlineSlack)
	// An error means the connection is closed, which the read or write reports.
	_ = set(*until)
}

// closeAndWait closes the connection, waits for a write under way and lets no other
// follow. The count of sent bytes is final afterwards.
//
// Without it the count could be read as zero while the writer's goroutine hands the
// header to the kernel, and a request that ran would be reported as not run.
func (c *conn) closeAndWait() {
	c.raw.Close()
	c.writeMu.Lock()
	c.writesClosed = true
	c.writeMu.Unlock()
}

// wrote reports whether more than the count before has been sent. An answer can
// come back before the writer's goroutine has counted what it sent, so a write
// under way is waited for.
func (c *conn) wrote(before int64) bool {
	if c.sent.Load() > before {
		return true
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.sent.Load() > before
}

// ReadFrom implements io.ReaderFrom, by which bufio hands over the body of an
// upload: it saves the copy through the small buffer and most of the writes.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	b := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(b)
	total := int64(0)
	for {
		n, err := r.Read(b[:])
		if n > 0 {
			written, writeErr := c.Write(b[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// reusable reports whether a connection that rested may be used again: neither
// closed by the target nor holding bytes that nobody asked for.
func (c *conn) reusable() bool {
	if c.sock != nil {
		c.socketClean = false
		if err := c.sock.Control(c.inspectSocket); err != nil || !c.socketClean {
			return false
		}
	}
	return c.stream == net.Conn(c) || c.noBufferedTLSData()
}

// noBufferedTLSData reports whether TLS holds no record that it read ahead. The
// raw read answers "would block" meanwhile, an error that TLS doesn't remember.
func (c *conn) noBufferedTLSData() bool {
	c.skipRawRead = true
	var b [1]byte
	n, err := c.stream.Read(b[:])
	c.skipRawRead = false
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// startTLS puts a TLS client on the connection.
func (c *conn) startTLS(config *tls.Config) *tls.Conn {
	t := tls.Client(c, config)
	c.stream = t
	return t
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// attachBuffers lends buffers to the connection for one exchange; a connection at rest
// holds none, which keeps thousands of them small.
func (c *conn) attachBuffers() {
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c.stream)
	c.bw = writers.Get().(*bufio.Writer)
	c.bw.Reset(c.stream)
}

// releaseBuffers gives the buffers back. It must not be called while the writer's
// goroutine may still use them.
func (c *conn) releaseBuffers() {
	c.br.Reset(eofReader{})
	readers.Put(c.br)
	c.bw.Reset(io.Discard)
	writers.Put(c.bw)
	c.br, c.bw = nil, nil
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Close, LocalAddr and the rest complete net.Conn for TLS. TLS sets a write
// deadline only around its closing alert.
func (c *conn) Close() error                       { return c.raw.Close() }
func (c *conn) LocalAddr() net.Addr                { return c.raw.LocalAddr() }
func (c *conn) RemoteAddr() net.Addr               { return c.raw.RemoteAddr() }
func (c *conn) SetDeadline(t time.Time) error      { return c.raw.SetDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error  { return c.raw.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.raw.SetWriteDeadline(t) }
