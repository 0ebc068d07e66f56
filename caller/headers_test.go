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

// Guards against a caller that poses as a router: forwarded unchanged, the router's own
// headers, sent as headers or as a trailer, would make a target work under a wrong token.
func TestForgedHeadersAreStripped(t *testing.T) {
	var header, trailer http.Header
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		buffer := make([]byte, 16)
		for err := error(nil); err == nil; {
			_, err = r.Body.Read(buffer)
		}
		header, trailer = r.Header.Clone(), r.Trailer.Clone()
		return answerWhole(w, r, m)
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		r, err := http.NewRequest("POST", s.url+"/x", struct{ *strings.Reader }{strings.NewReader("body")})
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
		assert.Equal(t, readBody(t, resp), "whole")
		for name := range header {
			assert.Assert(t, !isRouterHeader(name), name)
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

func TestHeadersListedInConnectionAreStripped(t *testing.T) {
	var header http.Header
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		header = r.Header.Clone()
		return answerWhole(w, r, m)
	})
	do(t, newClient(t, 1), "GET", s.url+"/x", nil, "Connection", "x-one, keep-alive", "X-One", "1", "Keep-Alive", "5",
		"X-Two", "2", "X-Request-Id", "bad id")
	assert.Equal(t, header.Get("X-One"), "")
	assert.Equal(t, header.Get("Keep-Alive"), "")
	assert.Equal(t, header.Get("Connection"), "")
	assert.Equal(t, header.Get("X-Two"), "2")
	assert.Equal(t, len(header.Get("X-Request-Id")), idHexBytes)
	assert.Equal(t, len(header.Get("Traceparent")), 55)
}

// Guards against connections to targets that are used for one request only. Callers that do
// not keep connections open send "Connection: close". net/http stores that in Request.Close,
// apart from the header, so that removing the header alone leaves it in force and the target
// closes its pooled connection.
func TestConnectionCloseIsNotForwarded(t *testing.T) {
	var passedOn bool
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		passedOn = r.Close
		return answerWhole(w, r, m)
	})
	resp := do(t, newClient(t, 1), "GET", s.url+"/x", nil, "Connection", "close")
	assert.Equal(t, readBody(t, resp), "whole")
	assert.Assert(t, resp.Close, "the caller's own connection ends as it asked")
	assert.Assert(t, !passedOn)
}

func TestTunnelsAreRefused(t *testing.T) {
	s := startServer(t, Config{}, answerWhole)
	for _, head := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
		"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n",
	} {
		resp := sendRaw(t, s, head)
		assert.Equal(t, resp.StatusCode, 501)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "unsupported")
		assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
	}
	resp := sendRaw(t, s, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: \r\n\r\n")
	assert.Equal(t, resp.StatusCode, 200)
}

// sendRaw sends bytes on a new connection and reads one answer.
func sendRaw(t *testing.T, s *testServer, head string) *http.Response {
	t.Helper()
	conn, reader := dial(t, s)
	return exchangeRaw(t, conn, reader, head)
}

// exchangeRaw writes text to the connection and reads the next answer.
func exchangeRaw(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	return resp
}

func dial(t *testing.T, s *testServer) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}
