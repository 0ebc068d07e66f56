//go:build !(cgo && linux && amd64)

package leasewrite

import "time"

func sendBefore(fd uintptr, b []byte, expiry time.Duration) (int, error) {
	return checkAndSend(fd, b, expiry)
}

// Check returns nil if Write is protected against a suspension between the clock check and
// the system call, and otherwise an error that says why it is not.
func Check() error { return ErrUnsupported }
