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

// tcpPair returns both ends of a TCP connection and the raw socket of the near end.
func tcpPair(t *testing.T) (near, far *net.TCPConn, sock syscall.RawConn) {
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

func fromNow(d time.Duration) time.Duration { return clock.Boot{}.Now() + d }

// until returns the expiry of a lease that doesn't change.
func until(expiry time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return expiry }
}

// A write under an expired lease hands no byte to the kernel.
func TestNothingIsWrittenAfterTheLeaseExpires(t *testing.T) {
	near, far, sock := tcpPair(t)
	n, err := Write(sock, []byte("late"), until(fromNow(0)))
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, ErrExpired) && IsLeaseError(err), "%v", err)
	near.Close()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

// A write that is larger than the socket's send buffer arrives completely.
func TestLargeWritesArriveWhole(t *testing.T) {
	near, far, sock := tcpPair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	ended := make(chan error, 1)
	go func() {
		_, err := Write(sock, sent, until(fromNow(time.Minute)))
		near.Close()
		ended <- err
	}()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.NilError(t, <-ended)
	assert.Assert(t, bytes.Equal(got, sent))
}

// The failure: a write that waits for space in the send buffer continues after its lease has
// expired, as soon as the peer reads.
func TestLeaseExpiresWhileAWriteIsBlocked(t *testing.T) {
	near, far, sock := tcpPair(t)
	end := fromNow(50 * time.Millisecond)
	type result struct {
		n   int
		err error
	}
	ended := make(chan result, 1)
	go func() {
		n, err := Write(sock, make([]byte, 64<<20), until(end))
		near.Close()
		ended <- result{n, err}
	}()
	time.Sleep(100 * time.Millisecond)
	read, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
	r := <-ended
	assert.Assert(t, errors.Is(r.err, ErrExpired), "%v", r.err)
	assert.Equal(t, read, int64(r.n))
}

// The failure: a write that waits for space in the send buffer ignores the socket's write
// deadline.
func TestWriteDeadlineEndsABlockedWrite(t *testing.T) {
	near, _, sock := tcpPair(t)
	assert.NilError(t, near.SetWriteDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := Write(sock, make([]byte, 64<<20), until(fromNow(time.Minute)))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against a blocked write that goes on after its lease where the socket isn't known.
func TestLeaseExpiresWhileAnUnprotectedWriteIsBlocked(t *testing.T) {
	near, far, _ := tcpPair(t)
	end := fromNow(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() {
		_, err := WriteUnprotected(near, make([]byte, 64<<20), end, time.Time{})
		near.Close()
		ended <- err
	}()
	time.Sleep(100 * time.Millisecond)
	read, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(<-ended, ErrExpired), "%d bytes were written", read)
}
