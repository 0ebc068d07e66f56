package sockets

import (
	"syscall"

	"github.com/pkg/errors"
)

// IsBroken reports whether the error of a write says that the connection has broken, so that what the peer sent last may be lost.
// It returns false after the peer has ended the connection in order (EPIPE).
//
// The kernel reports a reset once, to a read or to a write. After a write has got it, reads return the end of the stream.
func IsBroken(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
