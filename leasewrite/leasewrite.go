// Package leasewrite writes to sockets only while a lease is valid.
//
// Checking the clock before a write is not enough: if the process is suspended (SIGSTOP, a
// frozen cgroup) between the check and the system call, it writes when it resumes, possibly
// long after the lease has expired. Write closes this gap with a restartable sequence
// (rseq(2)): if a thread is interrupted between reading the clock and entering the system
// call, the kernel aborts the sequence and the clock is read again.
//
// Where Check returns an error, Write may fall back to an ordinary clock check immediately
// before the system call. A hypervisor that suspends the whole VM within the gap is not
// detected in either case.
package leasewrite

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tarragongw/clock"
)

var (
	// ErrExpired means that the lease expired before all bytes were written.
	ErrExpired = errors.New("leasewrite: the lease has expired")
	// ErrInterrupted means that the thread was interrupted between reading the clock and the
	// system call in every attempt, up to a fixed limit.
	ErrInterrupted = errors.New("leasewrite: interrupted between clock check and write in every attempt")
	// ErrUnsupported means that this build, the C library or the kernel does not support
	// restartable sequences.
	ErrUnsupported = errors.New("leasewrite: no restartable sequences")
)

// IsLeaseError reports whether err means that Write stopped because it could not guarantee that
// the lease was still valid.
func IsLeaseError(err error) bool {
	return errors.Is(err, ErrExpired) || errors.Is(err, ErrInterrupted)
}

// Write writes b to a non-blocking stream socket while clock.Boot is before expiry. When the
// socket's send buffer is full, it waits for space until the socket's write deadline. It
// returns the number of bytes that the kernel accepted, and ErrExpired or ErrInterrupted if
// it stopped because of the lease.
func Write(sock syscall.RawConn, b []byte, expiry time.Duration) (int, error) {
	publishToRaceDetector()
	written := 0
	var sendErr error
	err := sock.Write(func(fd uintptr) bool {
		for written < len(b) {
			n, err := sendBefore(fd, b[written:], expiry)
			switch err {
			case nil:
				written += n
			case syscall.EINTR:
			case syscall.EAGAIN:
				return false
			default:
				sendErr = err
				return true
			}
		}
		return true
	})
	if err == nil {
		err = sendErr
	}
	return written, err
}

// checkAndSend is sendBefore without a restartable sequence: a suspension between the clock
// check and the system call goes unnoticed.
func checkAndSend(fd uintptr, b []byte, expiry time.Duration) (int, error) {
	if (clock.Boot{}).Now() >= expiry {
		return 0, ErrExpired
	}
	n, err := unix.SendmsgN(int(fd), b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	return max(n, 0), err
}
