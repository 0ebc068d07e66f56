package target

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tarragongw/core/fault"
	"tarragongw/internal/sockets"
	"tarragongw/leasewrite"
)

var (
	errWritesClosed = errors.New("target: connection closed for writing")
	errLeaseExpired = errors.New("target: the lease to send has expired")
)

// boundError ends an exchange whose answer exceeds a bound.
type boundError struct{ text, bound string }

func (e *boundError) Error() string { return e.text }

// Bound names the bound that was exceeded.
func (e *boundError) Bound() string { return e.bound }

// errHeadTooLong ends an exchange whose response head exceeds PoolConfig.MaxHeaderBytes.
var errHeadTooLong = &boundError{"target: the response header is too large", "answer_head"}

// deadlineSlack is the divisor for the extra time, as a fraction of the progress timeout, by
// which a deadline is set later than needed, so that most reads and writes needn't set a new
// one.
const deadlineSlack = 4

// conn is one connection. Its Read and Write work on the raw connection, below TLS, and extend
// the progress deadlines; requests and responses go through stream.
type conn struct {
	raw    net.Conn
	stream net.Conn
	// sock is the raw connection's socket, nil if it has none. inspectSocket, passed to
	// sock.Control, stores its result in socketClean.
	sock          syscall.RawConn
	inspectSocket func(fd uintptr)
	socketClean   bool
	// leaseWriter writes to sock, and leaseExpiry is expiryAfter; both are nil without sock.
	leaseWriter *leasewrite.Writer
	leaseExpiry func(written int) time.Duration

	cert      peerCert
	opened    time.Time
	idleSince time.Time

	progressTimeout time.Duration
	readUntil       time.Time
	writeUntil      time.Time
	// received and sent count raw bytes. Progress in one direction extends the timeout of the
	// other.
	received atomic.Int64
	sent     atomic.Int64
	// timeoutPaused suspends the progress timeout while the request's body is waiting for the
	// caller or for "100 Continue".
	timeoutPaused atomic.Bool
	// timedOut is set when a read or write ended at the progress timeout.
	timedOut atomic.Bool
	// writeFailed is set when a write on the raw connection failed.
	writeFailed atomic.Bool
	// readEnded is set when a read has found the end of the raw connection.
	readEnded bool

	// headerLeft is how many bytes may still be read of the response header; negative means no
	// limit.
	headerLeft int64
	// skipRawRead makes Read return "would block" without reading; see noBufferedTLSData.
	skipRawRead bool

	// carried is set once the connection has carried a request, and refused are requests that were refused on it.
	carried bool
	refused refusals

	writeMu      sync.Mutex
	writesClosed bool
	// opts are those of the current exchange; started is set once bytes of its request have
	// been written; writeFault is why no more may be written; broken is set when a write found the connection broken. All are
	// guarded by writeMu.
	opts       AttemptOptions
	started    bool
	writeFault *fault.Fault
	broken     bool
	// abort closes the raw connection and discards what was not sent.
	abort func()

	br *bufio.Reader
	bw *bufio.Writer
}

func newConn(raw net.Conn, progressTimeout time.Duration, now time.Time) *conn {
	c := &conn{raw: raw, progressTimeout: progressTimeout, opened: now, headerLeft: -1}
	c.stream = c
	c.abort = func() {
		discardUnsent(raw)
		raw.Close()
	}
	if sc, ok := raw.(syscall.Conn); ok {
		if sock, err := sc.SyscallConn(); err == nil {
			c.sock = sock
			c.leaseWriter, c.leaseExpiry = leasewrite.NewWriter(sock), c.expiryAfter
			c.inspectSocket = func(fd uintptr) { c.socketClean = sockets.OpenAndEmpty(fd) }
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
		return 0, errHeadTooLong
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
			c.readEnded = err == io.EOF
			return n, err
		}
		if c.timeoutPaused.Load() || c.sent.Load() != sent {
			continue
		}
		c.timedOut.Store(true)
		return 0, err
	}
}

// Write implements net.Conn on the raw connection. It counts the bytes that the kernel
// accepted; fault.NotRun is reported on the basis of this count.
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
		if !c.checkWrite() { // last, to keep the time between the check and the write short
			return total, errLeaseExpired
		}
		n, err := c.writeRaw(b[total:])
		total += n
		c.sent.Add(int64(n))
		c.started = c.started || n > 0
		if err == nil {
			return total, nil
		}
		if leasewrite.IsLeaseError(err) {
			c.stopWrites(fault.Wrap(fault.StaleRoute, err, "the right to send has lapsed"))
			return total, errLeaseExpired
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.writeFailed.Store(true)
			c.broken = c.broken || sockets.IsBroken(err)
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

// writeRaw writes to the raw connection, under the exchange's lease if it has one.
func (c *conn) writeRaw(b []byte) (int, error) {
	if c.opts.LeaseExpiry == nil {
		return c.raw.Write(b)
	}
	if c.sock == nil {
		return leasewrite.WriteUnprotected(c.raw, b, c.opts.LeaseExpiry(c.started), c.writeUntil)
	}
	return c.leaseWriter.Write(b, c.leaseExpiry)
}

// expiryAfter returns when the lease of the exchange expires, given how much of a write was written.
func (c *conn) expiryAfter(written int) time.Duration {
	return c.opts.LeaseExpiry(c.started || written > 0)
}

// setOptions sets the options of the next exchange.
func (c *conn) setOptions(opts AttemptOptions) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.opts, c.started = opts, false
}

// checkWrite reports whether the exchange may still write; if not, it stops all writes. The
// caller holds writeMu.
func (c *conn) checkWrite() bool {
	if c.opts.BeforeWrite == nil {
		return true
	}
	if f := c.opts.BeforeWrite(c.started); f != nil {
		c.stopWrites(f)
		return false
	}
	return true
}

// stopWrites closes the connection, so that no further byte is written. The caller holds
// writeMu.
func (c *conn) stopWrites(f *fault.Fault) {
	c.writeFault = f
	c.writesClosed = true
	c.raw.Close()
}

// refusedWrite returns the fault for which a write of the exchange was refused, or nil.
func (c *conn) refusedWrite() *fault.Fault {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeFault != nil && c.started {
		return fault.Wrap(fault.TargetLost, c.writeFault, "the right to send lapsed before the whole request was written")
	}
	return c.writeFault
}

// extendDeadline sets a new deadline if the one set last, until, is less than the progress
// timeout away.
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

// closeAndWait closes the connection, waits for a write in progress and allows no further
// writes. The count of sent bytes is final afterwards.
//
// Otherwise the count could be read as zero while the writer goroutine hands the header to
// the kernel, and a request that ran would be reported as not run.
func (c *conn) closeAndWait() {
	c.abort()
	c.writeMu.Lock()
	c.writesClosed = true
	c.writeMu.Unlock()
}

// endedByTarget reports whether the end of the stream that a read has found is the target's own, and not what is left of a broken
// connection. It closes the connection.
func (c *conn) endedByTarget() bool {
	c.raw.Close() // ends a write in progress
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.stream != net.Conn(c) {
		return !c.readEnded // TLS has read the alert by which the target ends the stream
	}
	return !c.broken
}

// discardUnsent makes the next close reset the connection. Otherwise the kernel would go on sending an abandoned request, and
// deliver it seconds later, once a lost path is back: by then the target may have left.
func discardUnsent(raw net.Conn) {
	if tcp, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
}

// wrote reports whether the count of sent bytes exceeds before. A response can arrive before
// the writer goroutine has counted what it sent, so wrote waits for a write in progress.
func (c *conn) wrote(before int64) bool {
	if c.sent.Load() > before {
		return true
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.sent.Load() > before
}

// ReadFrom implements io.ReaderFrom, which bufio uses for the body of an upload. It avoids
// copying through bufio's small buffer and saves most of the write calls.
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
		if total > yieldAfterBytes {
			runtime.Gosched()
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

// yieldAfterBytes is how much of a body is copied before the other requests of the process get the processor between the
// parts. Otherwise a few long bodies at full speed would keep it for 10 ms each.
const yieldAfterBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// reusable reports whether an idle connection may be used again: the target has neither
// closed it nor sent bytes on it unasked.
func (c *conn) reusable() bool {
	if c.sock != nil {
		c.socketClean = false
		if err := c.sock.Control(c.inspectSocket); err != nil || !c.socketClean {
			return false
		}
	}
	return c.stream == net.Conn(c) || c.noBufferedTLSData()
}

// noBufferedTLSData reports whether TLS has buffered no data ahead of the reader. Meanwhile
// raw reads return "would block", an error that TLS doesn't treat as permanent.
func (c *conn) noBufferedTLSData() bool {
	c.skipRawRead = true
	var b [1]byte
	n, err := c.stream.Read(b[:])
	c.skipRawRead = false
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// startTLS makes the connection's stream a TLS client.
func (c *conn) startTLS(config *tls.Config) *tls.Conn {
	t := tls.Client(c, config)
	c.stream = t
	return t
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// attachBuffers gives the connection buffers for one exchange. Idle connections have none,
// which saves memory when there are thousands of them.
func (c *conn) attachBuffers() {
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c.stream)
	c.bw = writers.Get().(*bufio.Writer)
	c.bw.Reset(c.stream)
}

// releaseBuffers returns the buffers to their pools. It must not be called while the writer
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

// The following methods complete net.Conn for TLS, which sets a write deadline only for its
// closing alert.
func (c *conn) Close() error                       { return c.raw.Close() }
func (c *conn) LocalAddr() net.Addr                { return c.raw.LocalAddr() }
func (c *conn) RemoteAddr() net.Addr               { return c.raw.RemoteAddr() }
func (c *conn) SetDeadline(t time.Time) error      { return c.raw.SetDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error  { return c.raw.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.raw.SetWriteDeadline(t) }
