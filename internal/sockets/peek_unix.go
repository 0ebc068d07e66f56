//go:build unix

// Package sockets looks at sockets without reading from them.
package sockets

import "syscall"

// OpenAndEmpty reports whether a socket is open and has no data to read. It consumes nothing.
// At the end of the stream, on an error or if there is data, it returns false.
func OpenAndEmpty(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}
