package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"tarragongw/internal/sockets"
)

const (
	// pipelineBufferBytes bounds how much is read from a connection beyond the request that is
	// being served: room for some dozen requests without a body.
	pipelineBufferBytes = 16 * kibibyte
	// pipelineReadBytes is the size of a single read.
	pipelineReadBytes = 4 * kibibyte
	// maxReadPause is the longest pause between two reads in which no bytes count as waiting.
	maxReadPause = time.Millisecond
)

// pipeline starts the pipelined requests of an HTTP/1.1 connection, that is, those that the
// caller sends before the current one is answered. Their answers are buffered until their
// turn, so that the caller gets them in order.
//
// Without it, net/http serves the requests of a connection one after the other, so that each
// waits for the sum of those before it and not just for the slowest one. Under a mixed load
// from callers that pipeline, 8 in 100 requests reached a target only after half of the time
// within which their answer has its full value.
//
// Only requests that may run more than once and have no body are started early, because if the
// connection ends before their turn, the caller sends them again. The server still parses each
// request itself in its turn; pipeline only hands it the bytes of one request at a time, and
// disables itself for the rest of the connection at the first request that it cannot delimit
// with certainty.
//
// It also knows when the bytes of each request arrived, whether the request is started early or
// not. They are read while the requests before it are served, up to pipelineBufferBytes. Bytes
// that can't be read at once count as arrived when the connection had been read to its end.
type pipeline struct {
	conn *callerConn
	// start starts a request before its turn, or returns nil if the request must wait for it.
	start      func(ctx context.Context, r *http.Request, arrivedAt time.Time) *pipelinedAnswer
	maxStarted int
	// ctx is cancelled when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc

	// readAt is when the last read from the connection ended, and drainedAt when there was nothing more to read for the
	// last time; zero before the first read. They are only accessed by the server's reads, of which there is one at a time.
	readAt, drainedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// buffered holds bytes that were read from the connection and not yet returned to the
	// server; the first currentLeft of them belong to the request that is being returned.
	buffered    readBuffer
	currentLeft int
	// arrivedAt is when the bytes arrived that were returned last.
	arrivedAt time.Time
	// scanned is the number of bytes in buffered that precede the next request to start.
	// blocked means that this request must wait for its turn.
	scanned int
	blocked bool
	// disabled means that requests can't be delimited any more, so that no more of them are
	// started early; raw means that the connection isn't one of HTTP/1.
	disabled, raw bool
	// serving means that the server has read a request and not answered it yet, and placed that
	// those behind it may start.
	serving, placed bool
	// started are the answers of the requests in buffered that were started, and handedOut those
	// of the requests that were returned to the server and whose handler has not been called yet; an
	// entry is nil if its request was not started early.
	started   []*pipelinedAnswer
	handedOut []*pipelinedAnswer
}

func newPipeline(c *callerConn, base context.Context, maxStarted int, start func(context.Context, *http.Request, time.Time) *pipelinedAnswer) *pipeline {
	p := &pipeline{conn: c, start: start, maxStarted: maxStarted}
	p.ctx, p.cancel = context.WithCancel(base)
	return p
}

// Read serves the reads of the HTTP server. While a request is being served, the server reads
// a single byte to detect that the caller closed the connection; pipeline uses that read to
// start further requests.
func (p *pipeline) Read(dst []byte) (int, error) {
	if len(dst) == 1 && p.mayReadAhead() {
		return p.readAhead(dst)
	}
	return p.readCurrent(dst)
}

func (p *pipeline) mayReadAhead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving && !p.raw && (p.disabled || p.currentLeft == 0)
}

// readCurrent returns bytes of at most one request, or of one read of the connection.
func (p *pipeline) readCurrent(dst []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.buffered.unused()) == 0 {
		if p.disabled {
			return p.readDirectly(dst)
		}
		if err := p.readMore(); err != nil {
			return 0, err
		}
	}
	if p.currentLeft == 0 {
		p.advance()
	}
	n := p.buffered.take(dst[:min(len(dst), p.currentLeft)])
	p.currentLeft -= n
	return n, nil
}

// advance makes the next request the current one, whose bytes are returned to the server; or
// those of the next read if requests can't be delimited. The caller holds the lock.
func (p *pipeline) advance() {
	if !p.disabled {
		p.currentLeft = simpleRequestLength(p.buffered.unused())
		p.disabled = p.currentLeft == 0
		p.raw = bytes.HasPrefix(p.buffered.unused(), http2Preface)
	}
	if p.disabled {
		p.currentLeft = p.buffered.ofOneRead()
		p.arrivedAt = p.buffered.arrivalOf(p.currentLeft)
		return
	}
	p.arrivedAt = p.buffered.arrivalOf(p.currentLeft)
	var answer *pipelinedAnswer
	if len(p.started) > 0 {
		answer, p.started = p.started[0], p.started[1:]
		p.scanned -= p.currentLeft
	}
	p.handedOut = append(p.handedOut, answer)
	p.blocked = false
}

// readMore reads from the connection into the buffer. The caller holds the lock, which is
// released meanwhile.
func (p *pipeline) readMore() error {
	var b [pipelineReadBytes]byte
	n, arrivedAt, err := p.readUnlocked(b[:])
	p.buffered.add(b[:n], arrivedAt)
	if n > 0 {
		return nil
	}
	return err
}

// readDirectly reads from the connection into dst, with the lock as in readMore.
func (p *pipeline) readDirectly(dst []byte) (int, error) {
	n, arrivedAt, err := p.readUnlocked(dst)
	p.arrivedAt = arrivedAt
	return n, err
}

func (p *pipeline) readUnlocked(dst []byte) (int, time.Time, error) {
	p.mu.Unlock()
	defer p.mu.Lock()
	return p.readConn(dst)
}

// readConn reads from the connection and returns when the bytes arrived. If they were there before the
// read, that is at some time since drainedAt.
func (p *pipeline) readConn(dst []byte) (n int, arrivedAt time.Time, err error) {
	waited := p.bytesWait()
	n, err = p.conn.Conn.Read(dst)
	p.readAt = time.Now()
	arrivedAt = p.readAt
	if waited {
		arrivedAt = p.drainedAt
	}
	if !waited || err == nil && n < len(dst) {
		p.drainedAt = p.readAt
	}
	return n, arrivedAt, err
}

// bytesWait reports whether the connection has bytes that came while nobody read from it.
func (p *pipeline) bytesWait() bool {
	if p.readAt.IsZero() || p.drainedAt.Equal(p.readAt) && time.Since(p.readAt) < maxReadPause {
		return false
	}
	socket, ok := p.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := true
	err = raw.Control(func(fd uintptr) { empty = sockets.OpenAndEmpty(fd) })
	return err == nil && !empty
}

// readAhead starts the requests that arrive behind the one being served, until the caller
// closes the connection or the server interrupts the read by setting a deadline in the past.
func (p *pipeline) readAhead(dst []byte) (int, error) {
	for {
		full, err := p.startAndRead()
		switch {
		case full:
			return p.readCurrent(dst) // the server does not read again before the end of the request
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			p.cancel()
			return 0, err
		default:
			return 0, err
		}
	}
}

// startAndRead starts the requests in the buffer that may start, and reads more unless it is full.
func (p *pipeline) startAndRead() (full bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startBuffered()
	if len(p.buffered.unused()) >= pipelineBufferBytes {
		return true, nil
	}
	return false, p.readMore()
}

// setServing records whether a request is being served, which has just been read, and returns when that arrived.
func (p *pipeline) setServing(serving bool) (arrivedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.raw {
		return time.Time{}
	}
	p.serving, p.placed = serving, false
	return p.arrivedAt
}

// currentPlaced starts the requests behind the one being served.
//
// They must not start before that: where there is room for a part of them only, those behind would take it, and the one whose turn it
// is would be refused for good, while they could be served in their turn.
func (p *pipeline) currentPlaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placed {
		p.placed = true
		p.startBuffered()
	}
}

// startBuffered starts the complete requests in the buffer. The caller holds the lock: otherwise a
// shutdown that begins meanwhile would find no outstanding request and announce the end of the
// connection, which would cut them off.
func (p *pipeline) startBuffered() {
	for p.placed && !p.blocked && !p.disabled {
		length := simpleRequestLength(p.buffered.unused()[p.scanned:])
		if length == 0 || p.outstandingLocked() >= p.maxStarted {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p.buffered.unused()[p.scanned : p.scanned+length])))
		if err != nil {
			p.blocked = true
			return
		}
		r.RemoteAddr = p.conn.RemoteAddr().String()
		answer := p.start(p.ctx, r, p.buffered.arrivalOf(p.scanned+length))
		if answer == nil {
			p.blocked = true
			return
		}
		p.started = append(p.started, answer)
		p.scanned += length
	}
}

// outstanding returns the number of requests that were started early and whose turn has not
// come.
func (p *pipeline) outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outstandingLocked()
}

func (p *pipeline) outstandingLocked() int {
	n := len(p.started)
	for _, answer := range p.handedOut {
		if answer != nil {
			n++
		}
	}
	return n
}

// takeAnswer returns the answer of r, whose turn has come, or nil if r was not started early.
func (p *pipeline) takeAnswer(r *http.Request) *pipelinedAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.handedOut) == 0 {
		return nil
	}
	answer := p.handedOut[0]
	p.handedOut = p.handedOut[1:]
	if answer == nil || answer.matches(r) {
		return answer
	}
	answer.cancelRequest()
	return nil
}

var (
	requestEnd = []byte("\r\n\r\n")
	// http2Preface is how a connection of HTTP/2 begins.
	http2Preface = []byte("PRI * HTTP/2")
	// excludedHeaders are the beginnings of header lines, in lower case, that keep a request
	// from being started early: it has a body, gets interim answers, or is the last one on its
	// connection.
	excludedHeaders = [][]byte{
		[]byte("\r\ncontent-length"), []byte("\r\ntransfer-encoding"), []byte("\r\nconnection"), []byte("\r\nexpect"),
		[]byte("\r\nupgrade"), []byte("\r\ntrailer"),
	}
)

// simpleRequestLength returns the length of the request at the beginning of b. It returns zero
// if the request is incomplete, or if another parser could see its end elsewhere: bytes that
// pipeline takes for the next request might then be part of this one.
func simpleRequestLength(b []byte) int {
	end := bytes.Index(b, requestEnd)
	if end < 0 || !bytes.HasPrefix(b, []byte("GET ")) {
		return 0
	}
	whole := b[:end+len(requestEnd)]
	line, _, _ := bytes.Cut(whole, []byte("\r\n"))
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return 0
	}
	// Every line must end with CRLF; a CR or LF on its own is refused.
	ends := bytes.Count(whole, []byte("\r\n"))
	if bytes.Count(whole, []byte("\n")) != ends || bytes.Count(whole, []byte("\r")) != ends || bytes.IndexByte(whole, 0) >= 0 {
		return 0
	}
	lower := bytes.ToLower(whole)
	for _, header := range excludedHeaders {
		if bytes.Contains(lower, header) {
			return 0
		}
	}
	return len(whole)
}
