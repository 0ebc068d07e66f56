package caller

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

func refuseAll(http.ResponseWriter, *http.Request, *request.Meta) *fault.Fault {
	return fault.New(fault.QueueFull, "")
}

// Guards against a caller that sees a broken connection in place of a refusal and does not
// learn that its upload did not run. If the server closes the connection with unread bytes of
// the upload, the reset can overtake the answer.
func TestRefusedUploadGetsItsAnswer(t *testing.T) {
	s := startServer(t, Config{}, refuseAll)
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		for _, size := range []int64{1, keepAliveDrainBytes + 1, largeBytes} {
			body := io.LimitReader(zeros{}, size)
			resp := do(t, c, "POST", s.url+"/x", body)
			assert.Equal(t, resp.StatusCode, 503)
			assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
			assert.Assert(t, strings.Contains(readBody(t, resp), "queue_full"))
		}
	})
}

func TestBusyRouterRefusesByClass(t *testing.T) {
	s := startServer(t, Config{Admit: func(class request.Class) *fault.Fault {
		if class == request.Batch {
			return fault.New(fault.RouterBusy, "")
		}
		return nil
	}}, answerWhole)
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		assert.Equal(t, do(t, c, "GET", s.url+"/faq/k", nil).StatusCode, 200)
		resp := do(t, c, "GET", s.url+"/faq/k", nil, "X-Class", "batch")
		assert.Equal(t, resp.Header.Get("Tarragon-Error")+" "+resp.Header.Get("Tarragon-Ran"), "router_busy not-run")
		assert.Assert(t, resp.Header.Get(HeaderRetryAfterMillis) != "")
	})
}

// A caller that reads only after it sent everything gets the answer if the upload is within
// DrainBytes.
func TestRefusedUploadIsReadBeforeTheClose(t *testing.T) {
	s := startServer(t, Config{DrainBytes: largeBytes, DrainTimeout: time.Minute}, refuseAll)
	conn, reader := dial(t, s)
	_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBytes)
	assert.NilError(t, err)
	_, err = io.CopyN(conn, zeros{}, largeBytes)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(readBody(t, resp), "queue_full"))
	assert.Assert(t, resp.Close)
}

// Guards against a refusal that is delayed until the caller has sent more of its body. The
// caller sends part of a small body and waits; by default net/http reads a body of less than
// 256 KiB before it answers.
func TestRefusalIsNotHeldBack(t *testing.T) {
	s := startServer(t, Config{}, refuseAll)
	for _, path := range []string{"/x", "/faq"} {
		resp := sendRaw(t, s, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nsome")
		assert.Assert(t, resp.StatusCode >= 400, path)
		resp = sendRaw(t, s, "POST "+path+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n")
		assert.Assert(t, resp.StatusCode >= 400, path)
	}
}

// Under overload there are many refusals, and a new connection for each would make it worse.
func TestSmallRefusedBodyKeepsItsConnection(t *testing.T) {
	s := startServer(t, Config{}, refuseAll)
	conn, reader := dial(t, s)
	for range 3 {
		resp := exchangeRaw(t, conn, reader, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nsome")
		assert.Assert(t, strings.Contains(readBody(t, resp), "queue_full"))
		assert.Assert(t, !resp.Close)
	}
}

func TestRefusalDoesNotAskForWithheldBody(t *testing.T) {
	s := startServer(t, Config{}, refuseAll)
	conn, reader := dial(t, s)
	_, err := fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	assert.NilError(t, err)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(rest), "HTTP/1.1 503"), "%s", rest)
	assert.Assert(t, !strings.Contains(string(rest), "100 Continue"))
}

func TestTooManyRequestsAreRefused(t *testing.T) {
	g := newGate()
	s := startServer(t, Config{MaxRequests: 1}, g.forward)
	t.Cleanup(g.open)
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		go func() {
			if resp, err := c.Get(s.url + "/first"); err == nil {
				resp.Body.Close()
			}
		}()
		<-g.entered
		resp := do(t, c, "GET", s.url+"/second", nil)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "router_busy")
		<-s.observer.outcomes
		g.opened <- struct{}{}
		assert.Equal(t, (<-s.observer.outcomes).Status, 200)
		for s.server.InFlight() > 0 {
			runtime.Gosched()
		}
	})
}
