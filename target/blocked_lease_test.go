package target

import (
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
)

// Guards against a blocked write that goes by the lease from before it was shortened.
func TestBlockedWriteEndsWithAShortenedLease(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer near.Close()
	far, err := l.Accept()
	assert.NilError(t, err)
	defer far.Close()

	var expiry atomic.Int64
	expiry.Store(math.MaxInt64)
	c := newConn(near, 0, time.Now())
	c.setOptions(AttemptOptions{LeaseExpiry: func(bool) time.Duration { return time.Duration(expiry.Load()) }})
	const size = 64 << 20
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		near.Close()
		ended <- err
	}()
	time.Sleep(200 * time.Millisecond) // until the write waits for space
	expiry.Store(int64(clock.Boot{}.Now()))
	time.Sleep(10 * time.Millisecond)
	n, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
	assert.Assert(t, n < size, "all %d bytes were written, most of them after the lease had expired; the write ended with %v", n, <-ended)
}
