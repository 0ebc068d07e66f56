package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Symptom: a target takes a caller for a router and works under a wrong token.
// Sequence: a caller sends the router's own headers, plainly and as a trailer.
// Cause: the headers are passed on with the rest.
func TestForgedHeadersAreStripped(t *testing.T) {
	var header, trailer http.Header
	b := start(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		buffer := make([]byte, 16)
		for err := error(nil); err == nil; {
			_, err = r.Body.Read(buffer)
		}
		header, trailer = r.Header.Clone(), r.Trailer.Clone()
		return answered(w, r, m)
	})
	onBoth(t, func(t *testing.T, c *http.Client) {
		r, err := http.NewRequest("POST", b.url+"/x", struct{ *strings.Reader }{strings.NewReader("body")})
		assert.NilError(t, err)
		r.Trailer = http.Header{"Tarragon-Token": {"9"}, "X-Sum": {"42"}}
		for name, value := range map[string]string{
			"tarragon-token": "9", "Tarragon-Not-Run": "x", "Proxy-Authorization": "p", "X-Plain": "kept",
			"X-Forwarded-For": "10.0.0.1", "Traceparent": "00-11-22-01", "Tracestate": "a=b", "Te": "trailers",
		} {
			r.Header.Set(name, value)
		}
		resp, err := c.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, text(t, resp), "whole")
		for name := range header {
			assert.Assert(t, !isOwn(name), name)
		}
		assert.Equal(t, header.Get("Proxy-Authorization"), "")
		assert.Equal(t, header.Get("X-Plain"), "kept")
		assert.Equal(t, header.Get("X-Forwarded-For"), "10.0.0.1, 127.0.0.1")
		assert.Equal(t, header.Get("Traceparent"), "00-11-22-01")
		assert.Equal(t, header.Get("Tracestate"), "a=b")
		assert.Equal(t, header.Get("Te"), "trailers")
		assert.DeepEqual(t, trailer, http.Header{"X-Sum": {"42"}})
	})
}

func TestListedHeadersAreStripped(t *testing.T) {
	var header http.Header
	b := start(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		header = r.Header.Clone()
		return answered(w, r, m)
	})
	do(t, client(t, 1), "GET", b.url+"/x", nil, "Connection", "x-one, keep-alive", "X-One", "1", "Keep-Alive", "5",
		"X-Two", "2", "X-Request-Id", "bad id")
	assert.Equal(t, header.Get("X-One"), "")
	assert.Equal(t, header.Get("Keep-Alive"), "")
	assert.Equal(t, header.Get("Connection"), "")
	assert.Equal(t, header.Get("X-Two"), "2")
	assert.Equal(t, len(header.Get("X-Request-Id")), idHexBytes)
	assert.Equal(t, len(header.Get("Traceparent")), 55)
}

// Symptom: half of the connections to targets are opened for one request only.
// Sequence: callers that keep no connection say so; the request goes out with the same
// word, and the target closes the connection that a pool would have kept.
// Cause: net/http keeps a connection's end apart from the header, so that removing the
// header left it in force for the way to the target.
func TestEndOfTheCallersConnectionIsNotPassedOn(t *testing.T) {
	var passedOn bool
	b := start(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		passedOn = r.Close
		return answered(w, r, m)
	})
	resp := do(t, client(t, 1), "GET", b.url+"/x", nil, "Connection", "close")
	assert.Equal(t, text(t, resp), "whole")
	assert.Assert(t, resp.Close, "the caller's own connection ends as it asked")
	assert.Assert(t, !passedOn)
}

func TestTunnelsAreRefused(t *testing.T) {
	b := start(t, Config{}, answered)
	for _, head := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
		"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n",
	} {
		resp := raw(t, b, head)
		assert.Equal(t, resp.StatusCode, 501)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "unsupported")
		assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
	}
	resp := raw(t, b, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: \r\n\r\n")
	assert.Equal(t, resp.StatusCode, 200)
}

// raw sends bytes on a connection of their own and reads one answer.
func raw(t *testing.T, b *bench, head string) *http.Response {
	t.Helper()
	conn, reader := dial(t, b)
	return converse(t, conn, reader, head)
}

// converse writes text to the connection and reads the next answer.
func converse(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	return resp
}

func dial(t *testing.T, b *bench) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}
