package target

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

// blockedConn is a raw connection whose Write ends when it is closed, and has sent all
// by then.
type blockedConn struct {
	net.Conn
	writing, closed chan struct{}
	writes          int
}

func (s *blockedConn) Write(b []byte) (int, error) {
	s.writes++
	s.writing <- struct{}{}
	<-s.closed
	return len(b), nil
}

func (s *blockedConn) Close() error {
	close(s.closed)
	return nil
}

// Symptom: a request is reported as not run, and ran.
// Sequence: the caller cancels while the writer's goroutine hands the header to the
// kernel; the count of sent bytes is read before the write has returned.
// Cause: a count that isn't final when it is judged.
func TestCloseWaitsForAWriteAndAllowsNoOther(t *testing.T) {
	raw := &blockedConn{writing: make(chan struct{}, 2), closed: make(chan struct{})}
	c := newConn(raw, 0, time.Now())
	go c.Write([]byte("GET"))
	<-raw.writing
	c.closeAndWait()
	assert.Equal(t, c.sent.Load(), int64(3))
	_, err := c.Write([]byte("more"))
	assert.Assert(t, errors.Is(err, errWritesClosed))
	assert.Equal(t, raw.writes, 1)
}

// Symptom: a long upload, or a long answer beside one, is cut as silent.
// Sequence: bytes go one way only, for longer than the progress timeout.
// Cause: each direction measured by itself.
func TestProgressInOneDirectionExtendsTheOthersTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c := newConn(near, steadyProgress, time.Now())

		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}()
		b := make([]byte, 1)
		for range steadySteps { // written steadily, nothing read
			time.Sleep(steadyStep)
			go c.Write([]byte("x"))
			_, err := io.ReadFull(far, b)
			assert.NilError(t, err)
		}
		assert.Assert(t, !c.timedOut.Load())
		assert.Assert(t, <-ended != nil)
		assert.Assert(t, c.timedOut.Load())

		c.timedOut.Store(false)
		go func() {
			_, err := c.Write([]byte("x"))
			ended <- err
		}()
		for range steadySteps { // read steadily, nothing written
			time.Sleep(steadyStep)
			go far.Write([]byte("x"))
			_, err := c.Read(b)
			assert.NilError(t, err)
		}
		assert.Assert(t, !c.timedOut.Load())
		assert.Assert(t, <-ended != nil)
		assert.Assert(t, c.timedOut.Load())
	})
}

// unwritableConn answers by itself and takes no byte.
type unwritableConn struct {
	net.Conn
	answer io.Reader
}

func (u *unwritableConn) Write([]byte) (int, error)  { return 0, syscall.EPIPE }
func (u *unwritableConn) Read(b []byte) (int, error) { return u.answer.Read(b) }

// Symptom: a caller gets the answer to another's request.
// Sequence: a target sends an answer unasked on a connection at rest; it arrives
// after the look at the connection and before the next request is written.
// Cause: an answer taken for that of a request of which nothing was sent.
func TestResponseBeforeTheRequestIsRejected(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			return &unwritableConn{Conn: raw, answer: strings.NewReader(okResponse)}, err
		}
	})
	_, f := p.Attempt(background, newRequest(t, "PUT", strings.NewReader("body")))
	faulttest.Is(t, f, fault.TargetUnreachable, fault.NotRun)
}

func TestConnectionClosedByCancellationIsNotKept(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	ctx, cancel := context.WithCancel(background)
	resp := attempt(t, p, ctx, newRequest(t, "GET", nil))
	cancel()
	for resp.Body.(*exchange).conn.raw.SetDeadline(time.Time{}) == nil {
		time.Sleep(time.Millisecond)
	}
	body, err := io.ReadAll(resp.Body) // the whole of it is in the buffer
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.Equal(t, p.Stats().Open, 0)
}

// bufferingConn is a raw connection that holds writes back until it is told.
type bufferingConn struct {
	net.Conn
	buffered  bytes.Buffer
	buffering bool
}

func (g *bufferingConn) Write(b []byte) (int, error) {
	if g.buffering {
		return g.buffered.Write(b)
	}
	return g.Conn.Write(b)
}

// Symptom: as above, over TLS.
// Sequence: the unasked bytes come in a record of their own right behind the
// answer; TLS has read them ahead, so the socket is quiet.
// Cause: a look at the socket alone.
func TestRecordReadAheadByTLSMakesAConnectionStale(t *testing.T) {
	certificates := httptest.NewTLSServer(http.NotFoundHandler())
	defer certificates.Close()
	s := startTarget(t, func(raw net.Conn, _ *bufio.Reader) {
		g := &bufferingConn{Conn: raw}
		c := tls.Server(g, &tls.Config{Certificates: certificates.TLS.Certificates})
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		g.buffering = true
		io.WriteString(c, okResponse)
		io.WriteString(c, okResponse)
		_, _ = raw.Write(g.buffered.Bytes())
		io.Copy(io.Discard, br)
	})
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.TLS = func() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }
	})
	for range 2 {
		_, _, err := sendGet(t, p, background)
		assert.NilError(t, err)
	}
	assert.Equal(t, p.Stats().Stale, uint64(1))
	assert.Equal(t, p.Stats().Reuses, uint64(0))
}

// Symptom: the connection budget shrinks until the pool is full for good.
// Sequence: an attempt gives up waiting just as it is handed a connection, or the
// permission to open one.
// Cause: what was handed over and nobody took.
func TestAbandonedWaitPassesOnItsConnection(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	c, f := p.acquire(background)
	assert.Assert(t, f == nil)
	w := &waiter{ready: make(chan *conn, 1)}
	w.ready <- c
	p.abandonWait(w, false)
	assert.Equal(t, p.Stats().Idle, 1)
	assert.Equal(t, p.Stats().InUse, 0)

	_, f = p.acquire(background)
	assert.Assert(t, f == nil)
	w.ready <- nil // its place, the connection is gone
	p.abandonWait(w, false)
	assert.Equal(t, p.Stats().Open, 0)
	assert.Equal(t, p.Stats().InUse, 0)
}

func TestMostRecentlyUsedConnectionIsReusedFirst(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	first, f := p.acquire(background)
	assert.Assert(t, f == nil)
	second, f := p.acquire(background)
	assert.Assert(t, f == nil)
	p.release(first)
	p.release(second)
	got, f := p.acquire(background)
	assert.Assert(t, f == nil)
	assert.Assert(t, got == second)
	p.release(got)
}
