//go:build amd64 || arm64

package leasewrite

import (
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAttempts bounds how often an interrupted sequence is restarted.
	maxAttempts = 1000
	// maxSendBytes bounds one system call: the garbage collector has to wait for its end.
	maxSendBytes = 256 << 10
	// resultInterrupted is returned by sendIfRecent, beside byte counts and negated error
	// numbers, which are at most 4095.
	resultInterrupted = -4097
)

// ticks returns the processor's counter, which keeps running while the process is suspended.
func ticks() uint64

// sendIfRecent makes the system call sendto(fd, buf, n, MSG_DONTWAIT|MSG_NOSIGNAL) unless more
// than maxAge ticks have passed since a value of ticks. If armed is the rseq_cs field of the
// thread's registered area, an interruption between that check and the system call also
// prevents the call.
//
//go:noescape
func sendIfRecent(armed *uint64, fd uintptr, buf *byte, n int, since, maxAge uint64) int64

// sendBefore sends b, or as much of it as one system call may, with one system call, or makes
// none if clock.Boot has reached expiry.
func sendBefore(fd uintptr, b []byte, expiry time.Duration) (int, error) {
	b = b[:min(len(b), maxSendBytes)]
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	a := acquireArea()
	defer a.release()
	for range maxAttempts {
		since := ticks()
		if expired(expiry) {
			return 0, ErrExpired
		}
		n := sendIfRecent(a.armed(), fd, &b[0], len(b), since, ticksPerClockAge())
		switch {
		case n >= 0:
			a.countSend()
			return int(n), nil
		case n != resultInterrupted:
			return 0, syscall.Errno(-n)
		}
		restarts.Add(1)
	}
	return 0, ErrInterrupted
}

// Check returns nil if Write is protected against a suspension between the clock check and
// the system call, and otherwise an error that says why it is not.
func Check() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	a := acquireArea()
	defer a.release()
	return errors.Wrap(a.err, "leasewrite: no restartable sequence")
}
