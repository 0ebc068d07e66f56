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
	// continueTimeout is how long a body waits for "100 Continue"; a target need not send it.
	continueTimeout = time.Second
	// uploadFinishTimeout is how long the end of a body without a length may lag behind the end
	// of the answer before the connection is given up.
	uploadFinishTimeout = 5 * time.Millisecond
)

// errExchangeEnded ends a body that the exchange no longer needs.
var errExchangeEnded = errors.New("target: the exchange ended before the body was sent")

type uploadState uint8

const (
	uploadWriting uploadState = iota
	// uploadReading means that the writer waits for the caller's next bytes.
	uploadReading
	uploadSent
	uploadFailed
)

// upload writes a request with a body in a goroutine of its own, so that an early
// answer is read meanwhile. It wraps the request's body and never closes it.
type upload struct {
	conn *conn
	body io.Reader
	// length is the body's length; negative means unknown.
	length int64

	mu      sync.Mutex
	left    int64
	changed sync.Cond
	state   uploadState
	ended   bool
	bodyErr error
	// malformed says that net/http refused to write the request.
	malformed bool

	// continued is closed when a body held back for "100 Continue" may go on; nil where
	// it isn't held. released guards it, waited belongs to the writer.
	continued      chan struct{}
	continueOnce   sync.Once
	continueWaited bool
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// maxInlineBody bounds a body that is written in one piece with its header, in bytes.
const maxInlineBody = 2 << 10

// inlineBody reports whether the whole body is in memory and so short that it leaves in
// one write with the header: an early answer waits in the connection meanwhile, and
// nothing is gained by a goroutine to write in.
func inlineBody(r *http.Request) bool {
	return r.GetBody != nil && r.ContentLength > 0 && r.ContentLength <= maxInlineBody && r.Header.Get("Expect") == ""
}

func startUpload(c *conn, r *http.Request) *upload {
	u := &upload{conn: c, body: r.Body, length: r.ContentLength}
	u.changed.L = &u.mu
	out := *r
	out.Body = u
	if out.ContentLength == 0 {
		// Zero with a body means that the length is unknown, as in net/http.
		u.length = -1
	}
	u.left = u.length
	if u.length < 0 {
		// Said outright, for otherwise net/http reads ahead in another goroutine to find out.
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
	err := r.Write(u.conn.bw)
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
		// The target waits for a rest that never comes. After a failed write the
		// connection stays open, since an early answer may still be read from it.
		u.conn.abort()
	}
}

// Read hands the caller's next bytes to the writer.
func (u *upload) Read(b []byte) (int, error) {
	u.awaitContinue()
	if err := u.beginRead(); err != nil {
		return 0, err
	}
	n, err := u.body.Read(b)
	u.endRead(n, err)
	return n, err
}

// Close implements io.Closer for net/http, which closes what it has written. The
// caller's body stays open: the caller owns it.
func (u *upload) Close() error { return nil }

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

// awaitContinue holds the body back until the target asks for it, answers, or
// has had time to do either.
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

// continueBody lets a held body go.
func (u *upload) continueBody() {
	if u == nil || u.continued == nil {
		return
	}
	u.continueOnce.Do(func() { close(u.continued) })
}

// responseReceived lets a body that is still held back never be sent: the target answered
// without asking for it.
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

// stop lets no further byte of the caller's body be read and waits until the
// writer is out of the request, or in a read of the body that only the caller can end.
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

// waitSent reports whether the whole body is written, at the end of the answer.
//
// The answer may be read to its end before the writer's goroutine has noted its
// own end. A connection given up for that would cost a new one for most uploads.
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

func (u *upload) pending() bool {
	switch u.state {
	case uploadWriting:
		return true
	case uploadReading:
		return u.length < 0 && !u.ended
	}
	return false
}

// writerDone reports whether the writer's goroutine no longer uses the connection's buffers.
func (u *upload) writerDone() bool {
	if u == nil {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state >= uploadSent
}

func (u *upload) callerBodyError() error {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodyErr
}

// isMalformed reports whether net/http would not write the request.
func (u *upload) isMalformed() bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.malformed
}
