package caller

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// requestBody passes on a caller's body and aborts the read if the caller makes too little
// progress. Without it, a caller that sends one byte a second would occupy a target's slot for
// as long as it likes.
//
// Only time spent waiting for the caller counts, so that a slow target does not cause a
// timeout for a caller that sends in time.
type requestBody struct {
	body     io.ReadCloser
	timeout  ioTimeout
	window   time.Duration
	minBytes int64
	// serverRequest is the server's request, whose trailers are copied into trailer at the end
	// of the body.
	serverRequest *http.Request
	trailer       http.Header

	mu sync.Mutex
	// windowWait and windowBytes are the time waited and the bytes received in the current
	// window.
	windowWait  time.Duration
	windowBytes int64
	total       int64
	ended       bool
	failed      bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	if !b.timeout.start(began, b.windowLeft()) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.body.Read(p)
	b.timeout.stop()
	b.recordRead(n, err, time.Since(began))
	return n, err
}

// Close implements io.Closer. It does nothing: the server closes the underlying body, and
// exchange.drain discards the unread rest.
func (b *requestBody) Close() error {
	return nil
}

// windowLeft returns the wait that is left in the current window.
func (b *requestBody) windowLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window - b.windowWait
}

// recordRead updates the progress of the body after a read.
func (b *requestBody) recordRead(n int, err error, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += int64(n)
	b.windowBytes += int64(n)
	b.windowWait += waited
	if b.windowBytes >= b.minBytes {
		b.windowBytes, b.windowWait = 0, 0
	}
	switch err {
	case nil:
	case io.EOF:
		b.ended = true
		b.copyTrailer()
	default:
		b.failed = true
	}
}

func (b *requestBody) copyTrailer() {
	for name := range b.trailer {
		b.trailer[name] = b.serverRequest.Trailer[name]
	}
}

// state returns the number of bytes received, whether the body was read to its end, whether
// reading it failed, and whether it failed because of the progress timeout.
func (b *requestBody) state() (total int64, ended, failed, stalled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.ended, b.failed, b.failed && b.timeout.timedOut()
}
