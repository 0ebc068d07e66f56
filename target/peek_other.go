//go:build !unix

package target

// openAndEmpty can't look into a socket on this system; a stale connection is then found
// by the write or read that fails on it.
func openAndEmpty(uintptr) bool { return true }
