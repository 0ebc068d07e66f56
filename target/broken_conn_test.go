package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

// countingTarget is a target that counts how often it ran each request id. It runs a request
// when it has received the whole body.
type countingTarget struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.mu.Lock()
	c.runs[r.Header.Get(HeaderRequestID)]++
	c.mu.Unlock()
	fmt.Fprintf(w, "got %d bytes", len(body))
}

func (c *countingTarget) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// breakingConn is a connection that breaks after a number of bytes; a negative number means
// never.
type breakingConn struct {
	net.Conn
	mu        sync.Mutex
	writeLeft int
	readLeft  int
	written   int
	read      int
}

// breakAfter makes the connection break after that many more written or read bytes, and resets
// the counts.
func (c *breakingConn) breakAfter(writeLeft, readLeft int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLeft, c.readLeft = writeLeft, readLeft
	c.written, c.read = 0, 0
}

func (c *breakingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := len(b)
	breaks := c.writeLeft >= 0 && allowed > c.writeLeft
	if breaks {
		allowed = c.writeLeft
	}
	n := 0
	var err error
	if allowed > 0 {
		n, err = c.Conn.Write(b[:allowed])
	}
	c.written += n
	if c.writeLeft >= 0 {
		c.writeLeft -= n
	}
	if breaks && err == nil {
		c.Conn.Close()
		err = syscall.ECONNRESET
	}
	return n, err
}

func (c *breakingConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	left := c.readLeft
	c.mu.Unlock()
	if left == 0 {
		// Wait until the next byte of the response arrives, so that the request has run, and
		// discard it.
		_, _ = c.Conn.Read(make([]byte, 1))
		c.Conn.Close()
		return 0, syscall.ECONNRESET
	}
	if left > 0 && len(b) > left {
		b = b[:left]
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	if c.readLeft > 0 {
		c.readLeft -= n
	}
	return n, err
}

// breakHarness is a target with a pool whose connections can be made to break.
type breakHarness struct {
	*countingTarget
	pool      *Pool
	server    *http.Server
	serveDone chan struct{}
	last      *breakingConn
	dialError error
	// body is the body of each request; empty means none.
	body string
}

func newBreakHarness(t *testing.T) *breakHarness {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &breakHarness{countingTarget: &countingTarget{runs: map[string]int{}}, serveDone: make(chan struct{}), body: "a payout of 300"}
	b.server = &http.Server{Handler: b.countingTarget}
	go func() {
		defer close(b.serveDone)
		_ = b.server.Serve(listener)
	}()
	t.Cleanup(b.shutDown)
	b.pool = newPool(t, listener.Addr().String(), func(c *PoolConfig) {
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if b.dialError != nil {
				return nil, b.dialError
			}
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			b.last = &breakingConn{Conn: raw, writeLeft: -1, readLeft: -1}
			return b.last, nil
		}
	})
	return b
}

// shutDown waits until the target has finished all requests that it received, so that the
// counts are final.
func (b *breakHarness) shutDown() {
	b.pool.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := b.server.Shutdown(ctx); err != nil {
		panic(err)
	}
	<-b.serveDone
}

// outcome is the result of a request as reported to its sender.
type outcome struct {
	id   string
	kind fault.Kind
	ran  fault.Ran
	// answered is set if a complete response was received.
	answered bool
}

// send sends a write request and reads the response to its end.
func (b *breakHarness) send(t *testing.T, id string) outcome {
	r := newRequest(t, "POST", strings.NewReader(b.body))
	r.Header.Set(HeaderRequestID, id)
	// With this field, or with GET, net/http's Transport would retry the request.
	r.Header.Set("Idempotency-Key", id)
	resp, f := b.pool.Attempt(context.Background(), r)
	if f != nil {
		return outcome{id: id, kind: f.Kind, ran: f.Ran}
	}
	defer resp.Body.Close()
	_, err := io.ReadAll(resp.Body)
	if err == nil {
		return outcome{id: id, ran: fault.RanFully, answered: true}
	}
	f = err.(*fault.Fault)
	if !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		t.Errorf("%s: a truncated response ended with %v", id, err)
	}
	return outcome{id: id, kind: f.Kind, ran: f.Ran}
}

// warmConnection leaves an idle connection in the pool, so that the next request reuses it. If
// a response arrives before the writer has finished, the connection may be closed; then the
// next request would use a new connection, which isn't set to break.
func (b *breakHarness) warmConnection(t *testing.T, id string) {
	for try := 0; try == 0 || b.pool.Stats().Idle == 0; try++ {
		assert.Assert(t, try < maxWarmUpRequests, "no connection became idle")
		o := b.send(t, fmt.Sprintf("%s.%02d", id, try))
		assert.Assert(t, o.answered, "%+v", o)
	}
}

// maxWarmUpRequests bounds the requests that warmConnection sends.
const maxWarmUpRequests = 50

// checkRuns checks the reported outcome of a request against how often the target ran it.
func (b *breakHarness) checkRuns(t *testing.T, o outcome) {
	t.Helper()
	runs := b.runsOf(o.id)
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", o.id, runs)
	case o.ran == fault.NotRun && runs != 0:
		t.Errorf("%s was reported as not run and ran: %+v", o.id, o)
	case o.ran == fault.RanFully && runs != 1:
		t.Errorf("%s was reported as run and did not: %+v", o.id, o)
	}
}

// Guards against running a request twice, and against running one that was reported as not run.
// A reused connection breaks after any byte of the request or of the response, and the client
// retries the request by itself, or takes the broken connection as proof that the target did
// nothing.
func TestReusedConnectionThatBreaksAfterAnyByte(t *testing.T) {
	for _, body := range []string{"a payout of 300", ""} {
		t.Run(fmt.Sprintf("body of %d", len(body)), func(t *testing.T) {
			b := newBreakHarness(t)
			b.body = body
			breakAfterEveryByte(t, b)
		})
	}
}

func breakAfterEveryByte(t *testing.T, b *breakHarness) {
	// All ids have the same length, so that all requests have the same length too.
	b.warmConnection(t, "warm-a-0000")
	b.last.breakAfter(-1, -1)
	b.warmConnection(t, "warm-a-0001")
	requestBytes, responseBytes := b.last.written, b.last.read
	assert.Assert(t, requestBytes > 140 && responseBytes > 100)

	var outcomes []outcome
	for n := range requestBytes + 1 {
		b.warmConnection(t, fmt.Sprintf("warm-w-%04d", n))
		b.last.breakAfter(n, -1)
		o := b.send(t, fmt.Sprintf("cut--w-%04d.00", n))
		b.last.breakAfter(-1, -1)
		outcomes = append(outcomes, o)
		switch {
		case n == 0:
			assert.Equal(t, o.kind, fault.TargetUnreachable)
			assert.Equal(t, o.ran, fault.NotRun)
		case n < requestBytes:
			assert.Equal(t, o.kind, fault.TargetLost, "after %d bytes", n)
			assert.Equal(t, o.ran, fault.RanUnknown, "after %d bytes", n)
		default:
			assert.Assert(t, o.answered, "%+v after %d bytes", o, n)
		}
	}
	headerEnd := 0
	for n := range responseBytes + 1 {
		b.warmConnection(t, fmt.Sprintf("warm-r-%04d", n))
		b.last.breakAfter(-1, n)
		o := b.send(t, fmt.Sprintf("cut--r-%04d.00", n))
		b.last.breakAfter(-1, -1)
		outcomes = append(outcomes, o)
		switch {
		case n == responseBytes:
			assert.Assert(t, o.answered, "%+v after %d bytes", o, n)
		case o.kind == fault.AnswerTruncated:
			assert.Equal(t, o.ran, fault.RanFully)
		default:
			headerEnd = n + 1
			assert.Equal(t, o.kind, fault.TargetLost, "after %d bytes", n)
			assert.Equal(t, o.ran, fault.RanUnknown, "after %d bytes", n)
		}
	}
	assert.Equal(t, responseBytes-headerEnd, len(fmt.Sprintf("got %d bytes", len(b.body))))
	b.shutDown()
	for _, o := range outcomes {
		b.checkRuns(t, o)
	}
	for n := range responseBytes + 1 {
		assert.Equal(t, b.runsOf(fmt.Sprintf("cut--r-%04d.00", n)), 1, "response broken off after %d bytes", n)
	}
}

func TestFaultBeforeTheFirstByteIsNotRun(t *testing.T) {
	b := newBreakHarness(t)
	b.dialError = syscall.ECONNREFUSED
	o := b.send(t, "before dial")
	assert.Equal(t, o.kind, fault.TargetUnreachable)
	assert.Equal(t, o.ran, fault.NotRun)

	b.dialError = nil
	b.warmConnection(t, "warm")
	b.last.breakAfter(0, -1)
	o2 := b.send(t, "dialled, nothing written")
	assert.Equal(t, o2.ran, fault.NotRun)
	b.shutDown()
	b.checkRuns(t, o)
	b.checkRuns(t, o2)
	assert.Equal(t, b.pool.Stats().DialErrors, uint64(1))
}

// startLossyTarget starts a target that responds to the first request of each connection and
// closes the connection without a response on later ones. received returns how many requests
// it has received.
func startLossyTarget(t *testing.T) (address string, received func() int) {
	var mu sync.Mutex
	count := 0
	answered := map[string]bool{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		count++
		reused := answered[r.RemoteAddr]
		answered[r.RemoteAddr] = true
		mu.Unlock()
		if reused {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "done")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveDone := make(chan struct{})
	go func() {
		defer close(serveDone)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		server.Close()
		<-serveDone
	})
	return listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// Guards against running a request with an Idempotency-Key twice. The target reads the request
// on a reused connection, runs it and breaks the connection before it responds. net/http's
// Transport retries such a request, like any GET, if a reused connection breaks before the
// response. The first subtest shows that it does, so that the second is known to be able to
// fail.
func TestLostResponseIsNotRetried(t *testing.T) {
	request := func(address string) *http.Request {
		r, err := http.NewRequest("POST", "http://"+address+"/payout", nil)
		assert.NilError(t, err)
		r.Header.Set("Idempotency-Key", "payout-7")
		return r
	}
	t.Run("net/http", func(t *testing.T) {
		address, received := startLossyTarget(t)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for range 2 {
			resp, err := transport.RoundTrip(request(address))
			assert.NilError(t, err)
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		assert.Equal(t, received(), 3) // for two requests
	})
	t.Run("pool", func(t *testing.T) {
		address, received := startLossyTarget(t)
		p := newPool(t, address, nil)
		resp := attempt(t, p, context.Background(), request(address))
		io.Copy(io.Discard, resp.Body)
		_, f := p.Attempt(context.Background(), request(address))
		faulttest.Is(t, f, fault.TargetLost, fault.RanUnknown)
		assert.Equal(t, received(), 2)
		assert.Equal(t, p.Stats().Reuses, uint64(1))
	})
}
