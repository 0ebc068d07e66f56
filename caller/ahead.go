package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
)

const (
	// aheadBytes bounds what is read of a connection beyond the request that is served: some
	// dozen requests without a body.
	aheadBytes = 16 * kibibyte
	// aheadRead is read at once.
	aheadRead = 4 * kibibyte
)

// lookAhead begins the requests that a caller sends behind the one that is being served.
// Their answers wait for their turn, so that the caller gets them in order.
//
// It answers callers that send further requests before the first is answered: net/http
// serves a connection's requests one after the other, so that each waits for all before it
// and not for the slowest alone. Of a mixed load whose callers do so, 8 in 100 requests
// reached a target after half of the time in which their answer has its full worth.
//
// What is begun early are requests that may run more than once and have no body, since a
// connection that ends before their turn has their caller send them again. The server
// itself still parses each request in its turn; lookAhead only hands its bytes out one
// request at a time, and stops for good at the first that it doesn't understand for certain.
type lookAhead struct {
	conn *callerConn
	// begin starts a request early, or returns nil where it may not be.
	begin func(ctx context.Context, r *http.Request) *earlyAnswer
	most  int
	// ctx ends with the connection.
	ctx context.Context
	end context.CancelFunc

	// What follows belongs to the server's reads, of which there is one at a time.

	// pending has been read and not handed out, and rest is how much of it belongs to the
	// request that is being handed out.
	pending []byte
	rest    int
	// begun is how many bytes of pending lie before the next request to begin; stuck says
	// that it may not be begun before its turn.
	begun int
	stuck bool
	// off says that no request is begun early any more.
	off bool

	// mu guards early, the answers of the requests in pending that were begun, and turns,
	// those of the requests that were handed out and whose handler was not called yet, nil
	// for one that was not begun early.
	mu    sync.Mutex
	early []*earlyAnswer
	turns []*earlyAnswer
}

func newLookAhead(c *callerConn, base context.Context, most int, begin func(context.Context, *http.Request) *earlyAnswer) *lookAhead {
	a := &lookAhead{conn: c, begin: begin, most: most}
	a.ctx, a.end = context.WithCancel(base)
	return a
}

// Read is what the server reads of the connection. While a request is served, the server
// reads a single byte to learn of the caller's end; this is when there is time to look ahead.
func (a *lookAhead) Read(p []byte) (int, error) {
	if len(p) == 1 && a.rest == 0 && !a.off {
		return a.watch(p)
	}
	return a.handOut(p)
}

// handOut returns bytes of one request at most.
func (a *lookAhead) handOut(p []byte) (int, error) {
	if a.off && len(a.pending) == 0 {
		return a.conn.Conn.Read(p)
	}
	if a.rest == 0 {
		if err := a.nextRequest(); err != nil {
			return 0, err
		}
	}
	n := copy(p, a.pending[:a.rest])
	a.pending = a.pending[n:]
	a.rest -= n
	return n, nil
}

// nextRequest makes the next request the one that is handed out.
func (a *lookAhead) nextRequest() error {
	if len(a.pending) == 0 {
		if err := a.readMore(); err != nil {
			return err
		}
	}
	a.rest = simpleRequest(a.pending)
	if a.off = a.off || a.rest == 0; a.off {
		a.rest = len(a.pending)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var turn *earlyAnswer
	if len(a.early) > 0 {
		turn, a.early = a.early[0], a.early[1:]
		a.begun -= a.rest
	}
	a.turns = append(a.turns, turn)
	a.stuck = false
	return nil
}

func (a *lookAhead) readMore() error {
	var b [aheadRead]byte
	n, err := a.conn.Conn.Read(b[:])
	a.pending = append(a.pending, b[:n]...)
	if n > 0 {
		return nil
	}
	return err
}

// watch begins what comes behind the request that is being served, until the caller leaves
// or the server calls the read back, which it does by a deadline in the past.
func (a *lookAhead) watch(p []byte) (int, error) {
	for {
		a.beginPending()
		if len(a.pending) >= aheadBytes {
			return a.handOut(p) // the server asks no more before the request's end
		}
		if err := a.readMore(); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				a.end()
			}
			return 0, err
		}
	}
}

// beginPending begins the whole requests among what is pending.
func (a *lookAhead) beginPending() {
	for !a.stuck && !a.off {
		whole := simpleRequest(a.pending[a.begun:])
		if whole == 0 || a.outstanding() >= a.most {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(a.pending[a.begun : a.begun+whole])))
		if err != nil {
			a.stuck = true
			return
		}
		r.RemoteAddr = a.conn.RemoteAddr().String()
		if !a.beginNow(r) {
			a.stuck = true
			return
		}
		a.begun += whole
	}
}

// beginNow begins a request unless it may not be. It holds the lock throughout: a stop that
// begins meanwhile would else find nothing outstanding and announce the end of the
// connection, which would cut this request off.
func (a *lookAhead) beginNow(r *http.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := a.begin(a.ctx, r)
	if answer == nil {
		return false
	}
	a.early = append(a.early, answer)
	return true
}

// outstanding is the number of requests that were begun and whose turn has not come.
func (a *lookAhead) outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.early)
	for _, turn := range a.turns {
		if turn != nil {
			n++
		}
	}
	return n
}

// take returns the answer of the request whose turn it is, if that was begun early.
func (a *lookAhead) take(r *http.Request) *earlyAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.turns) == 0 {
		return nil
	}
	turn := a.turns[0]
	a.turns = a.turns[1:]
	if turn == nil || turn.isFor(r) {
		return turn
	}
	turn.leave()
	return nil
}

var (
	requestEnd = []byte("\r\n\r\n")
	// excluded are words of headers, in lower case, with which a request is not begun early:
	// it has a body, is answered in steps, or is the connection's last.
	excluded = [][]byte{
		[]byte("\r\ncontent-length"), []byte("\r\ntransfer-encoding"), []byte("\r\nconnection"), []byte("\r\nexpect"),
		[]byte("\r\nupgrade"), []byte("\r\ntrailer"),
	}
)

// simpleRequest returns the length of the request at the beginning of b, or zero where it
// isn't whole or where its end could be seen differently by another parser: then what
// follows it might be a part of it, and no request of the caller.
func simpleRequest(b []byte) int {
	end := bytes.Index(b, requestEnd)
	if end < 0 || !bytes.HasPrefix(b, []byte("GET ")) {
		return 0
	}
	whole := b[:end+len(requestEnd)]
	line, _, _ := bytes.Cut(whole, []byte("\r\n"))
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return 0
	}
	// Each line ends with both characters, and neither stands alone.
	ends := bytes.Count(whole, []byte("\r\n"))
	if bytes.Count(whole, []byte("\n")) != ends || bytes.Count(whole, []byte("\r")) != ends || bytes.IndexByte(whole, 0) >= 0 {
		return 0
	}
	lower := bytes.ToLower(whole)
	for _, word := range excluded {
		if bytes.Contains(lower, word) {
			return 0
		}
	}
	return len(whole)
}
