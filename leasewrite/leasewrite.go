// Package leasewrite writes to sockets under a right that ends at a given time.
//
// Reading the clock before a write leaves a gap: a process that is suspended (SIGSTOP, a
// frozen control group) between the two writes once it goes on, long after its right has
// ended. Write closes that gap with a restartable sequence (rseq(2)): the kernel sends a
// thread that it has suspended between the reading of the clock and the system call back to
// the reading.
//
// Where Check returns an error, Write reads the clock right before the system call instead.
// A hypervisor that suspends the whole VM is not noticed in the gap.
package leasewrite

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tarragongw/clock"
)

var (
	// ErrLapsed means that the right ended before all bytes were written.
	ErrLapsed = errors.New("leasewrite: the right to write has lapsed")
	// ErrInterrupted means that the thread was interrupted between the clock and the system
	// call in each of many attempts.
	ErrInterrupted = errors.New("leasewrite: interrupted in every attempt")
	// ErrUnsupported means that this program or its kernel has no restartable sequences.
	ErrUnsupported = errors.New("leasewrite: no restartable sequences")
)

// GaveUp reports whether Write ended with the error because it may not write any more.
func GaveUp(err error) bool { return errors.Is(err, ErrLapsed) || errors.Is(err, ErrInterrupted) }

// Write writes to a non-blocking stream socket as long as clock.Boot is before until. It
// waits for room in the socket's buffer up to the socket's write deadline. It returns how
// many bytes the kernel took, and ErrLapsed or ErrInterrupted where it gave up.
func Write(sock syscall.RawConn, b []byte, until time.Duration) (int, error) {
	noteSend()
	written := 0
	var sendErr error
	err := sock.Write(func(fd uintptr) bool {
		for written < len(b) {
			n, err := sendBefore(fd, b[written:], until)
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

// lookAndSend is sendBefore without a sequence.
func lookAndSend(fd uintptr, b []byte, until time.Duration) (int, error) {
	if (clock.Boot{}).Now() >= until {
		return 0, ErrLapsed
	}
	n, err := unix.SendmsgN(int(fd), b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	return max(n, 0), err
}
