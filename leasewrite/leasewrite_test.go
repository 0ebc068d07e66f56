package leasewrite

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
)

// pair returns both ends of a connection and the socket of the first.
func pair(t *testing.T) (near, far *net.TCPConn, sock syscall.RawConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	near, far = c.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() { near.Close(); far.Close() })
	sock, err = near.SyscallConn()
	assert.NilError(t, err)
	return near, far, sock
}

func in(d time.Duration) time.Duration { return clock.Boot{}.Now() + d }

// A write whose right has ended hands no byte to the kernel.
func TestNothingIsWrittenOnceTheRightHasEnded(t *testing.T) {
	near, far, sock := pair(t)
	n, err := Write(sock, []byte("late"), in(0))
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, ErrLapsed) && GaveUp(err), "%v", err)
	near.Close()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

// A write that is larger than the socket's buffer arrives whole.
func TestLargeWritesArriveWhole(t *testing.T) {
	near, far, sock := pair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	ended := make(chan error, 1)
	go func() {
		_, err := Write(sock, sent, in(time.Minute))
		near.Close()
		ended <- err
	}()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.NilError(t, <-ended)
	assert.Assert(t, bytes.Equal(got, sent))
}

// A write that waits for room goes on after its right has ended, once the peer reads.
func TestRightThatEndsWhileAWriteWaitsForRoom(t *testing.T) {
	near, far, sock := pair(t)
	until := in(50 * time.Millisecond)
	type result struct {
		n   int
		err error
	}
	ended := make(chan result, 1)
	go func() {
		n, err := Write(sock, make([]byte, 64<<20), until)
		near.Close()
		ended <- result{n, err}
	}()
	time.Sleep(100 * time.Millisecond)
	read, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
	r := <-ended
	assert.Assert(t, errors.Is(r.err, ErrLapsed), "%v", r.err)
	assert.Equal(t, read, int64(r.n))
}

// A write that waits for room outlasts the socket's write deadline.
func TestWriteDeadlineEndsAWriteThatWaitsForRoom(t *testing.T) {
	near, _, sock := pair(t)
	assert.NilError(t, near.SetWriteDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := Write(sock, make([]byte, 64<<20), in(time.Minute))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
