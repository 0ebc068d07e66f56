package target

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

const testIDField = "X-Id"

// refuseAll answers each request of a connection with a refusal that bears its id, if it has one.
func refuseAll(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := ""
		if r.Header.Get("Without-Id") == "" {
			id = fmt.Sprintf("%s: %s\r\n", testIDField, r.Header.Get(testIDField))
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id); err != nil {
			return
		}
	}
}

func newPoolWithIDs(t *testing.T, maxConns int) *Pool {
	s := startTarget(t, refuseAll)
	return newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.MaxConns, cfg.ControlConns, cfg.Wait = maxConns, -1, -1
		cfg.Dialect = Dialect{NotRun: "Not-Run", RequestID: testIDField}
	})
}

// attemptWithID sends a request with an id and returns its connection.
func attemptWithID(t *testing.T, p *Pool, id string, sends *Sends, header ...string) (used net.Conn, f *fault.Fault) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://target/", nil)
	assert.NilError(t, err)
	r.Header.Set(testIDField, id)
	for _, name := range header {
		r.Header.Set(name, "1")
	}
	_, f = p.AttemptWithOptions(context.Background(), r, AttemptOptions{Sends: sends, GotConn: func(raw net.Conn) { used = raw }})
	return used, f
}

// Guards against an answer to the first send of a request that passes for that to the second: they bear the same id.
func TestRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	for _, maxConns := range []int{1, 3} {
		p := newPoolWithIDs(t, maxConns)
		used := map[net.Conn]bool{}
		var sends Sends
		for range 4 {
			conn, f := attemptWithID(t, p, "a", &sends)
			assert.Assert(t, f.Ran == fault.NotRun && !used[conn])
			used[conn] = true
		}
		other, _ := attemptWithID(t, p, "b", &Sends{})
		assert.Assert(t, used[other], "other requests go on using the connection")
		again, _ := attemptWithID(t, p, "b", &Sends{})
		assert.Assert(t, again != other, "the caller has sent a refused request again")
	}
}

// Guards against the same where the connection comes free while the request waits for one.
func TestRequestThatWaitsIsNotSentAgainOnItsConnection(t *testing.T) {
	p := newPoolWithIDs(t, 1)
	var sends Sends
	first, _ := attemptWithID(t, p, "a", &sends)
	c, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil && c.raw == first)
	again := make(chan net.Conn)
	go func() {
		conn, _ := attemptWithID(t, p, "a", &sends)
		again <- conn
	}()
	for p.Stats().Waiting == 0 {
		select {
		case <-again:
			t.Fatal("the limit was exceeded")
		default:
		}
	}
	p.release(c)
	assert.Assert(t, <-again != first)
	assert.Equal(t, p.Stats().Open, 1)
}

// Guards against an answer that belongs to nobody, and is taken for the one to the next request on its connection.
func TestAnswerWithoutAnIDCountsOnANewConnectionOnly(t *testing.T) {
	p := newPoolWithIDs(t, 3)
	_, f := attemptWithID(t, p, "a", nil, "Without-Id")
	assert.Equal(t, f.Ran, fault.NotRun)
	_, f = attemptWithID(t, p, "b", nil, "Without-Id")
	assert.Equal(t, f.Ran, fault.RanUnknown)
	assert.Equal(t, f.Kind, fault.AnswerInvalid)
	assert.Equal(t, p.Stats().Open, 0)
}
