package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// startClosable starts a server that starts pipelined requests early. Setting the returned
// flag makes the server announce the end of its callers' connections.
func startClosable(t *testing.T, f *gatedForwarder) (*testServer, *atomic.Bool) {
	closing := &atomic.Bool{}
	return startServer(t, Config{MaxPipelined: 3, CloseAfterAnswer: closing.Load}, f.forward), closing
}

// Guards against a planned stop in which callers get a 504 from the router for requests that
// were sent long after the stop began. A caller has a slow read in flight and a pipelined one
// behind it, for which the stop waits before it closes anything, since net/http closes a
// connection after the answer in flight. New requests on other connections must be refused
// meanwhile; if they are forwarded, they are cut off at the end of the grace period. In the
// log this shows as "no more requests accepted" with before_their_turn above zero, "closing
// connections" up to two seconds later, and between them "request" lines with
// code=deadline_exceeded for requests that began in that time.
func TestShutdownRefusesNewRequestsWhilePipelinedAnswersWait(t *testing.T) {
	f := newGatedForwarder()
	s, closing := startClosable(t, f)
	idle := dialPipelining(t, s)
	idle.get("before")
	close(f.gate("before"))
	_, body := idle.answer()
	assert.Equal(t, body, "answer to before")
	busy := dialPipelining(t, s)
	busy.get("a", "b")
	waittest.Until(t, "both are in flight", func() bool { return len(f.names(&f.started)) == len("before a b") })

	closing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := startShutdown(s, ctx)
	if _, err := io.WriteString(idle.conn, "GET /x/late HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
		resp, err := http.ReadResponse(idle.in, nil)
		assert.Assert(t, err != nil || resp.StatusCode == http.StatusServiceUnavailable && resp.Close, "%+v", resp)
	}
	for _, name := range []string{"a", "b"} {
		close(f.gate(name))
		_, body := busy.answer()
		assert.Equal(t, body, "answer to "+name)
	}
	assert.Equal(t, <-stopped, 0)
	assert.Equal(t, len(f.names(&f.started)), len("before a b"), "nothing else was forwarded: %s", f.names(&f.started))
}

// A connection that becomes idle while the stop waits is closed: its answer had begun before
// the end of the connection could be announced in it.
func TestShutdownClosesConnectionsThatBecomeIdle(t *testing.T) {
	f := newGatedForwarder()
	s, closing := startClosable(t, f)
	busy := dialPipelining(t, s)
	busy.get("a", "b")
	waittest.Until(t, "both are in flight", func() bool { return len(f.names(&f.started)) == len("a b") })
	late := dialPipelining(t, s)
	late.get("c")
	waittest.Until(t, "the third is in flight", func() bool { return len(f.names(&f.started)) == len("a b c") })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := startShutdown(s, ctx)
	// The end of the connection isn't announced, as in an answer that began before the stop.
	assert.Assert(t, !closing.Load())
	close(f.gate("c"))
	_, body := late.answer()
	assert.Equal(t, body, "answer to c")
	_, err := late.in.ReadByte()
	assert.Equal(t, err, io.EOF)
	for _, name := range []string{"a", "b"} {
		close(f.gate(name))
		_, body := busy.answer()
		assert.Equal(t, body, "answer to "+name)
	}
	assert.Equal(t, <-stopped, 0)
}

// A request on a connection that the stop has not closed yet is refused as not run, on
// HTTP/1.1 and HTTP/2: if it were forwarded this late, it could be cut off.
func TestShutdownRefusesRequestsOnOpenConnections(t *testing.T) {
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		f := newGatedForwarder()
		s, _ := startClosable(t, f)
		busy := dialPipelining(t, s)
		busy.get("a", "b")
		waittest.Until(t, "both are in flight", func() bool { return len(f.names(&f.started)) == len("a b") })
		// The connection is open and unused, so the stop does not close it at once.
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		defer conn.Close()
		c.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		awaitOpenConns(s, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		stopped := startShutdown(s, ctx)
		resp, err := c.Get(s.url + "/x/late")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(HeaderRan), "not-run")
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		awaitOpenConns(s, 1) // the connection of the refused request is closed, that of the two reads is not
		for _, name := range []string{"a", "b"} {
			close(f.gate(name))
			_, body := busy.answer()
			assert.Equal(t, body, "answer to "+name)
		}
		assert.Equal(t, <-stopped, 0)
		assert.Equal(t, len(f.names(&f.started)), len("a b"), "nothing else was forwarded: %s", f.names(&f.started))
	})
}

// Guards against a planned stop that closes a connection without sending an answer that is
// ready. A caller pipelines reads; the first outlasts the grace period, and the second is
// answered meanwhile and waits for its turn. If the shutdown of net/http has already begun,
// the connection is closed after the timeout answer to the first. In one case a read was sent
// 0.34 s before SIGTERM and had run 1.8 s after it; its connection was closed 5.3 s after
// SIGTERM, at the end of the grace period.
func TestShutdownDeliversReadyPipelinedAnswers(t *testing.T) {
	f := newGatedForwarder()
	s, closing := startClosable(t, f)
	p := dialPipelining(t, s)
	p.get("a", "b", "c", "d")
	waittest.Until(t, "all are in flight", func() bool { return len(f.names(&f.started)) == len("a b c d") })
	close(f.gate("b"))
	close(f.gate("d"))
	closing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, s.server.Shutdown(ctx), 2, "the first and the third are cut")
	for _, c := range []struct {
		status int
		body   string
		last   bool
	}{{http.StatusGatewayTimeout, "", false}, {http.StatusOK, "answer to b", false}, {http.StatusGatewayTimeout, "", false}, {http.StatusOK, "answer to d", true}} {
		resp, err := http.ReadResponse(p.in, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, resp.Close, c.last)
		if c.body != "" {
			assert.Equal(t, string(body), c.body)
		}
	}
}
