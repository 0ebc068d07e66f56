package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// sinceLastBytes returns how long ago the last bytes of a connection came, be they read or not.
func sinceLastBytes(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var info *unix.TCPInfo
	var infoErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }))
	assert.NilError(t, infoErr)
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
