//go:build !(cgo && linux && amd64)

package leasewrite

import "time"

func sendBefore(fd uintptr, b []byte, until time.Duration) (int, error) {
	return lookAndSend(fd, b, until)
}

// Check returns an error that says why a suspension may fall between the clock and the system
// call here, or nil.
func Check() error { return ErrUnsupported }
