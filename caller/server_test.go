package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startShutdown starts a shutdown and returns once no connection is accepted. The channel
// receives the result of Shutdown.
func startShutdown(s *testServer, ctx context.Context) chan int {
	cut := make(chan int, 1)
	go func() { cut <- s.server.Shutdown(ctx) }()
	for {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			return cut
		}
		conn.Close()
	}
}

type getResult struct {
	resp *http.Response
	body []byte
	err  error
}

func asyncGet(c *http.Client, url string) chan getResult {
	done := make(chan getResult, 1)
	go func() {
		var got getResult
		if got.resp, got.err = c.Get(url); got.err == nil {
			got.body, got.err = io.ReadAll(got.resp.Body)
			got.resp.Body.Close()
		}
		done <- got
	}()
	return done
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		g := newGate()
		s := startServer(t, Config{}, g.forward)
		done := asyncGet(c, s.url+"/x")
		<-g.entered
		cut := startShutdown(s, context.Background())
		assert.Equal(t, s.server.InFlight(), int64(1))
		g.open()
		got := <-done
		assert.NilError(t, got.err)
		assert.Equal(t, string(got.body), "whole")
		assert.Equal(t, got.resp.Close, got.resp.ProtoMajor == 1)
		assert.Equal(t, <-cut, 0)
		open, _ := s.server.Conns()
		assert.Equal(t, open, 0)
	})
}

func TestShutdownReturnsNumberOfCutRequests(t *testing.T) {
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		g := newGate()
		s := startServer(t, Config{}, g.forward)
		t.Cleanup(g.open)
		done := asyncGet(c, s.url+"/x")
		<-g.entered
		ctx, cancel := context.WithCancel(context.Background())
		cut := startShutdown(s, ctx)
		cancel()
		assert.Equal(t, <-cut, 1)
		assert.Assert(t, (<-done).err != nil)
	})
}

// Guards against a shutdown that takes five seconds longer than its requests. A load balancer
// keeps connections open on which no request has come yet, and net/http waits for the first
// request on a new connection.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	s := startServer(t, Config{}, answerWhole)
	_, reader := dial(t, s)
	awaitOpenConns(s, 1)
	began := time.Now()
	assert.Equal(t, s.server.Shutdown(context.Background()), 0)
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) < 4*time.Second)
}

func awaitOpenConns(s *testServer, want int) {
	for {
		if open, _ := s.server.Conns(); open == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestConnectionsPerAddressAreBounded(t *testing.T) {
	s := startServer(t, Config{MaxConnsPerAddress: 1}, answerWhole)
	first, _ := dial(t, s)
	awaitOpenConns(s, 1)
	_, refused := dial(t, s)
	_, err := refused.ReadByte()
	assert.Assert(t, err != nil)
	_, count := s.server.Conns()
	assert.Equal(t, count, int64(1))
	first.Close()
	awaitOpenConns(s, 0)
	third, reader := dial(t, s)
	resp := exchangeRaw(t, third, reader, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, readBody(t, resp), "whole")
}

func TestTLSServesHTTP1AndHTTP2(t *testing.T) {
	s := startTLSServer(t, answerWhole)
	for _, major := range []int{1, 2} {
		c := newClient(t, 1)
		transport := c.Transport.(*http.Transport)
		transport.Protocols.SetHTTP1(major == 1)
		transport.Protocols.SetHTTP2(major == 2)
		transport.TLSClientConfig.InsecureSkipVerify = true
		resp := do(t, c, "GET", s.url+"/x", nil)
		assert.Equal(t, resp.ProtoMajor, major)
		assert.Equal(t, readBody(t, resp), "whole")
	}
}
