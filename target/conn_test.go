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

// blockedConn is a raw connection whose Write blocks until the connection is closed, and then
// reports that all bytes were sent.
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

// Guards against reporting a request as not run that did run. The caller cancels while the
// writer goroutine hands the header to the kernel, and the count of sent bytes is evaluated
// before the write has returned.
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

// Guards against timing out a long upload, or a long response during one. Bytes flow in one
// direction only for longer than the progress timeout, and each direction has a timeout of its
// own.
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

// unwritableConn is a connection whose writes fail and from which a response can be read.
type unwritableConn struct {
	net.Conn
	response io.Reader
}

func (u *unwritableConn) Write([]byte) (int, error)  { return 0, syscall.EPIPE }
func (u *unwritableConn) Read(b []byte) (int, error) { return u.response.Read(b) }

// Guards against returning a response that doesn't belong to the request. A target sends a
// response unasked on an idle connection; it arrives after the check of the connection and
// before the next request is written, and is taken for the response to that request.
func TestResponseBeforeTheRequestIsRejected(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			return &unwritableConn{Conn: raw, response: strings.NewReader(okResponse)}, err
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
	body, err := io.ReadAll(resp.Body) // it is in the buffer already
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.Equal(t, p.Stats().Open, 0)
}

// bufferingConn is a raw connection that collects writes in a buffer while buffering is set.
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

// Guards against the failure of TestResponseBeforeTheRequestIsRejected over TLS. The unasked
// bytes arrive in a record of their own right after the response. TLS has read them ahead, so a
// check of the socket alone doesn't find them.
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

// Guards against a connection budget that shrinks until the pool is full forever. An attempt
// stops waiting just as it is sent a connection, or the permission to open one, and nobody
// takes either.
func TestAbandonedWaitPassesOnItsConnection(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	c, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	w := &waiter{ready: make(chan *conn, 1)}
	w.ready <- c
	p.abandonWait(w, false)
	assert.Equal(t, p.Stats().Idle, 1)
	assert.Equal(t, p.Stats().InUse, 0)

	_, f = p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	w.ready <- nil // the connection is closed, its slot is passed on
	p.abandonWait(w, false)
	assert.Equal(t, p.Stats().Open, 0)
	assert.Equal(t, p.Stats().InUse, 0)
}

func TestMostRecentlyUsedConnectionIsReusedFirst(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	first, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	second, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	p.release(first)
	p.release(second)
	got, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	assert.Assert(t, got == second)
	p.release(got)
}

// Guards against requests that hang, one after the other, on connections that a cut path has left open.
func TestFreshAttemptTakesNoIdleConnection(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	idle, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	p.release(idle)
	fresh, f := p.acquire(background, &acquireOptions{fresh: true})
	assert.Assert(t, f == nil)
	assert.Assert(t, fresh != idle)
	assert.Equal(t, p.Stats().Open, 2)
	p.release(fresh)

	full := newPool(t, s.addr(), func(cfg *PoolConfig) { cfg.MaxConns, cfg.ControlConns = 1, -1 })
	idle, f = full.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	full.release(idle)
	fresh, f = full.acquire(background, &acquireOptions{fresh: true})
	assert.Assert(t, f == nil)
	assert.Assert(t, fresh != idle)
	assert.Equal(t, full.Stats().Open, 1, "an idle one makes room")
	full.release(fresh)
}
