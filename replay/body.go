// Package replay keeps what was read of a request's body, so that an attempt that did not
// run can be made again.
package replay

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// errSuperseded ends the reads of an attempt that another one has followed.
var errSuperseded = errors.New("replay: a later attempt reads the request's body")

// Body keeps the first bytes of a request body, so that an attempt that
// provably did not run can be made again although it took some of the body.
//
// What goes wrong without the bookkeeping by attempt: the writer of an attempt
// that ended may still be in a read of the caller's body. What it gets there
// belongs to the next attempt; were it to go to the old one, the target would be
// sent a body with a piece missing. Here it is kept, and the next attempt waits
// for that read before it reads the source itself.
type Body struct {
	source io.Reader
	// most bounds what is kept, in bytes.
	most int
	// reading is held during a read of the source.
	reading sync.Mutex

	// mu guards what follows and is never held during a read.
	mu sync.Mutex
	// kept are the bytes from the offset base on that were read of the source; base is
	// above zero once some were dropped, and then there is no further attempt.
	kept []byte
	base int64
	// err is what ended the source.
	err     error
	current *Attempt
}

// Attempt is the body as one attempt reads it.
type Attempt struct {
	all *Body
	// next is the offset of the next byte.
	next int64
}

// New returns the body, of which up to most bytes are kept; nil where the request has none.
func New(r *http.Request, most int) *Body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &Body{source: r.Body, most: most}
}

// Rewind returns the body for the next attempt and ends the reads of the one
// before. It reports false where too much was read for another attempt.
func (b *Body) Rewind() (*Attempt, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.base > 0 {
		return nil, false
	}
	b.current = &Attempt{all: b}
	return b.current, true
}

// RewindInto gives the request's next attempt the whole body and reports whether it can. A
// request without a body has none to give.
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
		n, end, err := a.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if n := a.fill(p, end); n > 0 {
			return n, nil
		}
	}
}

// Close leaves the source open: the caller's server closes it after the last attempt.
func (a *Attempt) Close() error { return nil }

// take copies kept bytes. Where there are none it returns the offset up to which
// the source was read.
func (a *Attempt) take(p []byte) (n int, end int64, err error) {
	b := a.all
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, 0, errSuperseded
	}
	n = copy(p, b.kept[a.next-b.base:])
	a.next += int64(n)
	end = b.base + int64(len(b.kept))
	if n == 0 && b.err != nil {
		return 0, end, b.err
	}
	if a.next == end && end > int64(b.most) {
		b.base, b.kept = end, b.kept[:0]
	}
	return n, end, nil
}

// fill reads the source unless another read got beyond end meanwhile. It returns
// what it put into p for this attempt; what an attempt reads that was followed by
// another is kept for that one.
func (a *Attempt) fill(p []byte, end int64) int {
	b := a.all
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.ahead(end) {
		return 0
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.err = err
	}
	mine := b.current == a
	if mine && end+int64(n) > int64(b.most) {
		b.base, b.kept = end+int64(n), nil
		a.next = b.base
		return n
	}
	b.kept = append(b.kept, p[:n]...)
	if !mine {
		return 0
	}
	a.next += int64(n)
	return n
}

// ahead reports whether the source was read beyond end or has ended.
func (b *Body) ahead(end int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil || b.base+int64(len(b.kept)) > end
}
