//go:build unix

package target

import "syscall"

// openAndEmpty reports whether a socket is open and holds nothing to read, without
// taking anything from it. An end of stream, an error or unasked bytes give false.
func openAndEmpty(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}
