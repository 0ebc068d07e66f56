// Package replay buffers the part of a request's body that was read, so that an attempt that
// did not run can be repeated.
package replay

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// errSuperseded ends the reads of an attempt after a later one has started.
var errSuperseded = errors.New("replay: a later attempt reads the request's body")

// Body buffers the first bytes of a request body, so that an attempt that provably did not run
// can be repeated although it read part of the body.
//
// The writer of an attempt that ended may still be in a read of the caller's body. The bytes
// that it gets belong to the next attempt; if the old attempt got them, the target would be
// sent a body with a part missing. Therefore each read is tied to its attempt: the bytes are
// buffered, and the next attempt waits for that read before it reads the source itself.
type Body struct {
	source io.Reader
	// length is the body's length; negative if unknown.
	length int64
	// maxKept bounds the buffered bytes.
	maxKept int
	// sourceMu is held during a read of the source.
	sourceMu sync.Mutex

	// mu guards the fields below and is never held during a read.
	mu sync.Mutex
	// kept are the bytes read from the source from offset keptFrom on. keptFrom is above zero
	// once bytes were dropped; no further attempt is possible then.
	kept     []byte
	keptFrom int64
	// head has the first bytes of the body once they are no longer in kept.
	head []byte
	// sourceErr is the error that ended the source, or io.EOF.
	sourceErr      error
	currentAttempt *Attempt
}

// Attempt is the body as read by one attempt.
type Attempt struct {
	body *Body
	// offset is the offset of the next byte to read.
	offset int64
}

// New returns the body of r, of which up to maxKept bytes are buffered, or nil if the request
// has no body.
func New(r *http.Request, maxKept int) *Body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &Body{source: r.Body, length: r.ContentLength, maxKept: maxKept}
}

// Rewind returns the body for the next attempt and ends the reads of the attempt before it. It
// returns false if so much was read that no further attempt is possible.
func (b *Body) Rewind() (*Attempt, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keptFrom > 0 {
		return nil, false
	}
	b.currentAttempt = &Attempt{body: b}
	return b.currentAttempt, true
}

// RewindInto sets the body of the request's next attempt and reports whether that is possible.
// It always is for a request without a body.
func (b *Body) RewindInto(r *http.Request) bool {
	if b == nil {
		return true
	}
	attempt, ok := b.Rewind()
	if ok {
		r.Body = attempt
	}
	return ok
}

// Read implements io.Reader.
func (a *Attempt) Read(p []byte) (int, error) {
	for {
		n, end, err := a.readKept(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if n := a.readSource(p, end); n > 0 {
			return n, nil
		}
	}
}

// Close does not close the source: the caller's server does, after the last attempt.
func (a *Attempt) Close() error { return nil }

// readKept copies buffered bytes to p. If there are none, it returns the offset up to which
// the source was read.
func (a *Attempt) readKept(p []byte) (n int, end int64, err error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentAttempt != a {
		return 0, 0, errSuperseded
	}
	n = copy(p, b.kept[a.offset-b.keptFrom:])
	a.offset += int64(n)
	end = b.keptFrom + int64(len(b.kept))
	if n == 0 && b.sourceErr != nil {
		return 0, end, b.sourceErr
	}
	if a.offset == end && end > int64(b.maxKept) {
		b.dropKept(end)
	}
	return n, end, nil
}

// readSource reads from the source unless another read has got beyond end meanwhile. It
// returns the number of bytes in p for this attempt. If a later attempt has started meanwhile,
// that number is zero and the bytes are buffered for the later attempt.
func (a *Attempt) readSource(p []byte, end int64) int {
	b := a.body
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	if b.readBeyond(end) {
		return 0
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.sourceErr = err
	}
	stillCurrent := b.currentAttempt == a
	if stillCurrent && end+int64(n) > int64(b.maxKept) {
		b.dropKept(end + int64(n))
		a.offset = b.keptFrom
		return n
	}
	b.kept = append(b.kept, p[:n]...)
	if !stillCurrent {
		return 0
	}
	a.offset += int64(n)
	return n
}

// readBeyond reports whether the source was read beyond end or has ended.
func (b *Body) readBeyond(end int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sourceErr != nil || b.keptFrom+int64(len(b.kept)) > end
}
