package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/reqctx"
)

// Guards against requests of disconnected callers that keep their place in a target's queue. A
// connection that has already carried one request carries a second and is closed while that
// waits; the context of the second request must be cancelled.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	entered := make(chan struct{}, 1)
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		if r.URL.Path == "/first" {
			return answerWhole(w, r, m)
		}
		entered <- struct{}{}
		<-r.Context().Done()
		return fault.Wrap(fault.CallerGone, r.Context().Err(), "")
	})
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	first := <-s.observer.outcomes
	assert.Assert(t, first.Fault == nil)
	fmt.Fprint(conn, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	assert.NilError(t, conn.Close())
	second := <-s.observer.outcomes
	assert.Equal(t, second.Fault.Kind, fault.CallerGone)
}

// Guards against a race in the above: the server may read the end of the connection before it
// calls the handler, so a request that is attached later must be cancelled too.
func TestRequestAttachedAfterCloseIsCancelled(t *testing.T) {
	c := &callerConn{}
	early := reqctx.NewDetached(context.Background())
	defer early.End()
	c.attach(early)
	c.detach()
	c.cancelRequests()
	assert.NilError(t, early.Err(), "its handler had returned")
	late := reqctx.NewDetached(context.Background())
	defer late.End()
	c.attach(late)
	assert.Equal(t, late.Err(), context.Canceled)
}

// A read that the server interrupts by a deadline, as it does after each request, is not the
// end of the connection.
func TestReadDeadlineDoesNotCancelRequest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &callerConn{Conn: near, limits: newConnLimits(Config{})}
	defer c.Close()
	ctx := reqctx.NewDetached(context.Background())
	defer ctx.End()
	c.attach(ctx)
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err())
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	assert.NilError(t, far.Close())
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, ctx.Err(), context.Canceled)
}
