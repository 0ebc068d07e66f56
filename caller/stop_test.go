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

// stoppingAhead is a server that serves requests before their turn, and what has it announce
// the end of its callers' connections.
func stoppingAhead(t *testing.T, f *held) (*bench, *atomic.Bool) {
	closing := &atomic.Bool{}
	return start(t, Config{LookAhead: 3, ClosesAfter: closing.Load}, f.forward), closing
}

// Symptom: in a planned stop callers get the router's own 504 in place of answers that
// targets were about to give; the requests were sent long after the stop had begun.
// Sequence: a caller has a slow read under way and another behind it, which began early. The
// stop waits for both before it closes anything. Meanwhile a caller whose connection rested
// since before the stop, and a new one, send requests; these are passed on and cut off at the
// end of the grace. The log showed it: "no more requests accepted" with before_their_turn above
// zero, "closing connections" up to two seconds later, and between them
// "request" lines with code=deadline_exceeded whose work began in that time.
// Cause: net/http closes a connection after the answer that is under way, so its shutdown has
// to wait for answers that wait for their turn; with it waited what keeps new work away.
func TestStopTakesNoNewWorkWhileAnswersWaitForTheirTurn(t *testing.T) {
	f := newHeld()
	b, closing := stoppingAhead(t, f)
	rested := newPipe(t, b)
	rested.get("before")
	close(f.gate("before"))
	_, body := rested.answer()
	assert.Equal(t, body, "answer to before")
	busy := newPipe(t, b)
	busy.get("a", "b")
	waittest.Until(t, "both are at work", func() bool { return len(f.names(&f.begun)) == len("before a b") })

	closing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := stopping(b, ctx)
	if _, err := io.WriteString(rested.conn, "GET /x/late HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
		resp, err := http.ReadResponse(rested.in, nil)
		assert.Assert(t, err != nil || resp.StatusCode == http.StatusServiceUnavailable && resp.Close, "%+v", resp)
	}
	for _, name := range []string{"a", "b"} {
		close(f.gate(name))
		_, body := busy.answer()
		assert.Equal(t, body, "answer to "+name)
	}
	assert.Equal(t, <-stopped, 0)
	assert.Equal(t, len(f.names(&f.begun)), len("before a b"), "nothing else was passed on: %s", f.names(&f.begun))
}

// A connection that comes to rest while the stop waits is closed then: its answer had begun
// before the end of the connection could be announced in it.
func TestStopClosesConnectionsThatComeToRest(t *testing.T) {
	f := newHeld()
	b, closing := stoppingAhead(t, f)
	busy := newPipe(t, b)
	busy.get("a", "b")
	waittest.Until(t, "both are at work", func() bool { return len(f.names(&f.begun)) == len("a b") })
	late := newPipe(t, b)
	late.get("c")
	waittest.Until(t, "the third is at work", func() bool { return len(f.names(&f.begun)) == len("a b c") })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := stopping(b, ctx)
	// The end isn't announced: the answer is as one that began before the stop.
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

// A request that comes on a connection which the stop has not closed yet is refused as not
// run, on HTTP/1.1 and on HTTP/2: what is passed on so late may be cut off.
func TestRequestsThatComeAfterAcceptingEndedAreRefused(t *testing.T) {
	onBoth(t, func(t *testing.T, c *http.Client) {
		f := newHeld()
		b, _ := stoppingAhead(t, f)
		busy := newPipe(t, b)
		busy.get("a", "b")
		waittest.Until(t, "both are at work", func() bool { return len(f.names(&f.begun)) == len("a b") })
		// The connection is open and fresh, so that the stop leaves it a while.
		conn, err := net.Dial("tcp", b.address)
		assert.NilError(t, err)
		defer conn.Close()
		c.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		awaitOpen(b, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		stopped := stopping(b, ctx)
		resp, err := c.Get(b.url + "/x/late")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(HeaderRan), "not-run")
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		awaitOpen(b, 1) // its caller is told to leave, and that of the two reads is not
		for _, name := range []string{"a", "b"} {
			close(f.gate(name))
			_, body := busy.answer()
			assert.Equal(t, body, "answer to "+name)
		}
		assert.Equal(t, <-stopped, 0)
		assert.Equal(t, len(f.names(&f.begun)), len("a b"), "nothing else was passed on: %s", f.names(&f.begun))
	})
}

// Symptom: in a planned stop a caller's connection is closed without the answer to a read that
// its target has answered seconds ago.
// Sequence: a caller sends reads at once; the first outlasts the grace, and the second is
// answered meanwhile and waits for its turn; at the end of the grace the first is told that
// its time is over, and the connection is closed.
// Cause: net/http's shutdown has begun by then, which ends a connection after the answer
// under way. One such read was sent 0.34 s before SIGTERM and had run to its end 1.8 s after
// it; its connection was closed 5.3 s after it, at the end of the grace.
func TestStopDeliversAnswersThatAreReady(t *testing.T) {
	f := newHeld()
	b, closing := stoppingAhead(t, f)
	p := newPipe(t, b)
	p.get("a", "b", "c", "d")
	waittest.Until(t, "all are at work", func() bool { return len(f.names(&f.begun)) == len("a b c d") })
	close(f.gate("b"))
	close(f.gate("d"))
	closing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, b.server.Shutdown(ctx), 2, "the first and the third are cut")
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
