//go:build !(linux && (amd64 || arm64))

package leasewrite

import (
	"time"

	"golang.org/x/sys/unix"
)

// sendBefore sends b with one system call, or makes none if clock.Boot has reached expiry. A
// suspension between the clock check and the system call goes unnoticed.
func sendBefore(fd uintptr, b []byte, expiry time.Duration) (int, error) {
	if expired(expiry) {
		return 0, ErrExpired
	}
	n, err := unix.SendmsgN(int(fd), b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return 0, err
	}
	unprotectedSends.Add(1)
	return n, nil
}

// Check returns nil if Write is protected against a suspension between the clock check and
// the system call, and otherwise an error that says why it is not.
func Check() error { return ErrUnsupported }
