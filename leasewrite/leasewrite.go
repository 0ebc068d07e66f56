// Package leasewrite writes to sockets only while a lease is valid.
//
// Checking the clock before a write is not enough: if the process is suspended (SIGSTOP, a
// frozen cgroup) between the check and the system call, it writes when it resumes, possibly
// long after the lease has expired. Write closes this gap with a restartable sequence
// (rseq(2)): the last instructions before the system call verify that the clock was read a
// moment ago, and if the thread is interrupted among them, the kernel makes it read the clock
// again.
//
// The sequence needs an area that is registered for the thread. Where the C library has
// registered one, that is used; otherwise Write registers one of its own. Where neither is
// possible, the same instructions run without the kernel's help, and Check returns an error:
// then only a suspension exactly between the last of them goes unnoticed. A hypervisor that
// suspends the whole VM there is not detected in either case.
package leasewrite

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
)

var (
	// ErrExpired means that the lease expired before all bytes were written.
	ErrExpired = errors.New("leasewrite: the lease has expired")
	// ErrInterrupted means that the thread was interrupted between reading the clock and the
	// system call in every attempt, up to a fixed limit.
	ErrInterrupted = errors.New("leasewrite: interrupted between clock check and write in every attempt")
	// ErrUnsupported means that there is no restartable sequence for this operating system and
	// processor.
	ErrUnsupported = errors.New("leasewrite: no restartable sequence for this processor")
)

// maxClockAge is the age that the reading of the clock may have when the system call is made.
// Nothing is written later than maxClockAge before the lease expires.
const maxClockAge = time.Millisecond

// Counters count system calls and interruptions of this process since it started.
type Counters struct {
	// Protected is the number of sends that a suspension could not delay unnoticed, Unprotected
	// that of the others.
	Protected, Unprotected int64
	// Restarted is how often the clock was read again because the thread had been interrupted.
	Restarted int64
}

var protectedSends, unprotectedSends, restarts atomic.Int64

// Count returns the counters.
func Count() Counters {
	return Counters{
		Protected:   protectedSends.Load(),
		Unprotected: unprotectedSends.Load(),
		Restarted:   restarts.Load(),
	}
}

// IsLeaseError reports whether err means that Write stopped because it could not guarantee that
// the lease was still valid.
func IsLeaseError(err error) bool {
	return errors.Is(err, ErrExpired) || errors.Is(err, ErrInterrupted)
}

// Write writes b to a non-blocking stream socket while clock.Boot is before the time that expiry
// returns. expiry is called before each system call with the number of bytes written so far, as
// a lease may change while Write waits. When the socket's send buffer is full, Write waits for
// space until the socket's write deadline. It returns the number of bytes that the kernel
// accepted, and ErrExpired or ErrInterrupted if it stopped because of the lease.
func Write(sock syscall.RawConn, b []byte, expiry func(written int) time.Duration) (int, error) {
	return NewWriter(sock).Write(b, expiry)
}

// Writer writes to one socket as Write does, and allocates nothing for a write. It is not safe for concurrent use.
type Writer struct {
	sock syscall.RawConn
	// send is sendRest.
	send func(fd uintptr) bool
	// What follows is of the write in progress.
	b       []byte
	expiry  func(written int) time.Duration
	written int
	err     error
}

// NewWriter returns a Writer for a non-blocking stream socket.
func NewWriter(sock syscall.RawConn) *Writer {
	w := &Writer{sock: sock}
	w.send = w.sendRest
	return w
}

// Write is the function Write for the socket.
func (w *Writer) Write(b []byte, expiry func(written int) time.Duration) (int, error) {
	publishToRaceDetector()
	w.b, w.expiry, w.written, w.err = b, expiry, 0, nil
	err := w.sock.Write(w.send)
	w.b, w.expiry = nil, nil
	if err == nil {
		err = w.err
	}
	return w.written, err
}

// sendRest sends the rest of the write in progress; it returns false if it has to wait for space.
func (w *Writer) sendRest(fd uintptr) bool {
	for w.written < len(w.b) {
		n, err := sendBefore(fd, w.b[w.written:], w.expiry(w.written))
		switch err {
		case nil:
			w.written += n
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			w.err = err
			return true
		}
	}
	return true
}

// WriteUnprotected writes b to a connection whose socket is not known, while clock.Boot is before
// expiry. It sets the connection's write deadline to the end of the lease if that is earlier than
// deadline, the present one, where the zero time stands for none; and restores it. A suspension
// between the clock check and the write goes unnoticed, and so does a lease that is shortened
// while the write waits.
func WriteUnprotected(conn net.Conn, b []byte, expiry time.Duration, deadline time.Time) (int, error) {
	left := expiry - maxClockAge - clock.Boot{}.Now()
	if left <= 0 {
		return 0, ErrExpired
	}
	unprotectedSends.Add(1)
	if left > maxUnprotectedLease || !deadline.IsZero() && left >= time.Until(deadline) {
		return conn.Write(b)
	}
	if err := conn.SetWriteDeadline(time.Now().Add(left)); err != nil {
		return 0, err
	}
	n, err := conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrExpired
	}
	if restoreErr := conn.SetWriteDeadline(deadline); err == nil {
		err = restoreErr
	}
	return n, err
}

// maxUnprotectedLease is the longest lease for which WriteUnprotected sets a deadline. Longer ones,
// of routers that nobody may take over from, are taken for endless.
const maxUnprotectedLease = 24 * time.Hour

// expired reports whether a lease is no longer valid for as long as a reading of the clock may be used.
func expired(expiry time.Duration) bool {
	return (clock.Boot{}).Now() >= expiry-maxClockAge
}
