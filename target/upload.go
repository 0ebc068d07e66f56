package target

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// continueTimeout is how long a body waits for "100 Continue"; targets need not send it.
	continueTimeout = time.Second
	// uploadFinishTimeout is how long after the end of the response a request body may take to
	// finish before the connection is closed.
	uploadFinishTimeout = 5 * time.Millisecond
)

// errExchangeEnded stops the writer when the exchange no longer needs the body.
var errExchangeEnded = errors.New("target: the exchange ended before the body was sent")

type uploadState uint8

const (
	uploadWriting uploadState = iota
	// uploadReading means that the writer is reading the caller's body.
	uploadReading
	uploadSent
	uploadFailed
)

// upload writes a request with a body in a goroutine of its own, so that an early response can
// be read at the same time. It wraps the request's body and never closes it.
type upload struct {
	conn *conn
	body io.Reader
	// length is the body's length; negative means unknown.
	length int64

	mu sync.Mutex
	// left is how many bytes of the body are still to be read, if its length is known.
	left int64
	// changed signals changes of state and ended.
	changed sync.Cond
	state   uploadState
	// ended is set when no more of the body is to be read.
	ended bool
	// bodyErr is the error of the caller's body.
	bodyErr error
	// malformed is set if net/http refused to write the request.
	malformed bool

	// continued is closed when a body that waits for "100 Continue" may be sent or has been
	// cancelled; nil if the body doesn't wait. continueOnce guards the close; continueWaited is
	// used only by the writer.
	continued      chan struct{}
	continueOnce   sync.Once
	continueWaited bool
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// maxInlineBody is the largest body, in bytes, that is written together with its header.
const maxInlineBody = 2 << 10

// inlineBody reports whether the whole body is in memory and short enough to be sent in one
// write with the header. A writer goroutine would gain nothing then, since an early response
// waits on the connection.
func inlineBody(r *http.Request) bool {
	return r.GetBody != nil && r.ContentLength > 0 && r.ContentLength <= maxInlineBody && r.Header.Get("Expect") == ""
}

func startUpload(c *conn, r *http.Request) *upload {
	u := &upload{conn: c, body: r.Body, length: r.ContentLength}
	u.changed.L = &u.mu
	out := *r
	out.Body = u
	if out.ContentLength == 0 {
		// As in net/http, zero together with a body means that the length is unknown.
		u.length = -1
	}
	u.left = u.length
	if u.length < 0 {
		// Set explicitly, because otherwise net/http reads ahead in another goroutine to
		// detect an empty body.
		out.ContentLength = -1
		out.TransferEncoding = []string{"chunked"}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		u.continued = make(chan struct{})
	}
	go u.write(&out)
	return u
}

func (u *upload) write(r *http.Request) {
	err := writeRequest(u.conn.bw, r)
	if err == nil {
		err = u.conn.bw.Flush()
	}
	u.mu.Lock()
	u.state = uploadSent
	if err != nil {
		u.state = uploadFailed
	}
	u.malformed = err != nil && u.bodyErr == nil && !u.ended && !u.conn.writeFailed.Load()
	abort := u.malformed || u.bodyErr != nil
	u.changed.Broadcast()
	u.mu.Unlock()
	if abort {
		// The target would wait for the rest of a body that never comes. After a failed
		// write the connection stays open, since an early response may still be read from it.
		u.conn.abort()
	}
}

// Read implements io.Reader for net/http, which writes the body. It reads from the caller's
// body.
func (u *upload) Read(b []byte) (int, error) {
	u.awaitContinue()
	if err := u.beginRead(); err != nil {
		return 0, err
	}
	n, err := u.body.Read(b)
	u.endRead(n, err)
	return n, err
}

// Close implements io.Closer for net/http, which closes a body after writing it. It leaves
// the caller's body open, since the caller owns it.
func (u *upload) Close() error { return nil }

// beginRead notes that the writer starts to read the caller's body. It returns an error if
// there is nothing more to read.
func (u *upload) beginRead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.ended:
		return errExchangeEnded
	case u.left == 0:
		return io.EOF
	}
	u.state = uploadReading
	u.conn.timeoutPaused.Store(true)
	u.changed.Broadcast()
	return nil
}

// endRead notes that a read of the caller's body has returned.
func (u *upload) endRead(n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = uploadWriting
	u.conn.timeoutPaused.Store(false)
	if u.length >= 0 {
		u.left = max(u.left-int64(n), 0)
	}
	if err != nil && err != io.EOF {
		u.bodyErr = err
	}
}

// awaitContinue delays a body with "Expect: 100-continue" until the target asks for it or
// responds, or until continueTimeout.
func (u *upload) awaitContinue() {
	if u.continued == nil || u.continueWaited {
		return
	}
	u.continueWaited = true
	u.conn.timeoutPaused.Store(true)
	defer u.conn.timeoutPaused.Store(false)
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case <-u.continued:
	case <-timer.C:
	}
}

// continueBody allows a delayed body to be sent.
func (u *upload) continueBody() {
	if u == nil || u.continued == nil {
		return
	}
	u.continueOnce.Do(func() { close(u.continued) })
}

// responseReceived cancels a body that is still delayed: the target has responded without
// asking for it.
func (u *upload) responseReceived() {
	if u == nil || u.continued == nil {
		return
	}
	u.continueOnce.Do(func() {
		u.mu.Lock()
		u.ended = true
		u.mu.Unlock()
		close(u.continued)
	})
}

// stop prevents further reads of the caller's body. It waits until the writer has finished,
// or is in a read of the body, which only the caller can end.
func (u *upload) stop() {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	u.continueBody()
	for u.state == uploadWriting {
		u.changed.Wait()
	}
}

// waitSent reports at the end of the response whether the whole body has been written. It
// waits for the writer for up to uploadFinishTimeout.
//
// The response may be read to its end before the writer goroutine has set its final state.
// Without the wait, most uploads would close their connection for that reason.
func (u *upload) waitSent() bool {
	if u == nil {
		return true
	}
	timer := time.AfterFunc(uploadFinishTimeout, func() {
		u.conn.abort()
		u.mu.Lock()
		u.ended = true
		u.changed.Broadcast()
		u.mu.Unlock()
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.pending() {
		u.changed.Wait()
	}
	return timer.Stop() && u.state == uploadSent
}

// pending reports whether waitSent has to wait for the writer. A body of known length that is
// still being read is not waited for: part of it is missing. The caller holds mu.
func (u *upload) pending() bool {
	switch u.state {
	case uploadWriting:
		return true
	case uploadReading:
		return u.length < 0 && !u.ended
	}
	return false
}

// writerDone reports whether the writer goroutine no longer uses the connection's buffers.
func (u *upload) writerDone() bool {
	if u == nil {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state >= uploadSent
}

// callerBodyError returns the error of the caller's body, or nil.
func (u *upload) callerBodyError() error {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodyErr
}

// isMalformed reports whether net/http refused to write the request.
func (u *upload) isMalformed() bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.malformed
}
