package target

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
	"tarragongw/internal/sockets"
	"tarragongw/internal/waittest"
)

// endlessBody is a body that is never read to its end.
type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// closeUnread closes a connection on which there are bytes to read, which resets it.
func closeUnread(conn net.Conn) {
	sock, err := conn.(*net.TCPConn).SyscallConn()
	for empty := true; empty && err == nil; {
		err = sock.Control(func(fd uintptr) { empty = sockets.OpenAndEmpty(fd) })
	}
	conn.Close()
}

func endOutput(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// Guards against a part of an answer that passes for a whole one: the write of the upload is told of the reset, and the read
// behind it finds the end of the stream.
func TestUnframedResponseIsCutOffByAReset(t *testing.T) {
	for name, example := range map[string]struct {
		head  string
		end   func(conn net.Conn)
		whole bool
	}{
		"reset":                {"HTTP/1.1 200 OK\r\n\r\n", resetConn, false},
		"reset, HTTP/1.0":      {"HTTP/1.0 200 OK\r\n\r\n", resetConn, false},
		"reset, close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", resetConn, false},
		"closed unread":        {"HTTP/1.1 200 OK\r\n\r\n", closeUnread, false},
		"ended and then reset": {"HTTP/1.1 200 OK\r\n\r\n", func(conn net.Conn) { endOutput(conn); resetConn(conn) }, true},
		"reset, with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", resetConn, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				io.WriteString(conn, example.head+"part")
				example.end(conn)
			})
			p := newPool(t, s.addr(), nil)
			r := newRequest(t, http.MethodPut, endlessBody{})
			resp := attempt(t, p, background, r)
			c := resp.Body.(*exchange).conn
			waittest.Until(t, "the upload has failed", c.writeFailed.Load)
			checkEnd(t, resp, example.whole)
			assert.Equal(t, p.Stats().Open, 0)
		})
	}
}

func checkEnd(t *testing.T, resp *http.Response, whole bool) {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	assert.Equal(t, string(body), "part")
	if whole {
		assert.NilError(t, err)
		return
	}
	var f *fault.Fault
	assert.Assert(t, errors.As(err, &f) && errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	faulttest.Is(t, f, fault.AnswerTruncated, fault.RanFully)
}

// Guards against an answer that is lost although it was whole: the target ends it while it goes on reading the upload.
func TestUnframedResponseEndsBesideAnUpload(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		endOutput(conn)
		_, _ = io.Copy(io.Discard, br)
	})
	checkEnd(t, attempt(t, newPool(t, s.addr(), nil), background, newRequest(t, http.MethodPut, endlessBody{})), true)
}

// Guards against a part of an answer that passes for a whole one over TLS, where anybody on the way may end the connection.
func TestUnframedResponseOverTLSEndsWithAnAlert(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	for name, end := range map[string]func(c *tls.Conn){
		"alert":    func(c *tls.Conn) { c.Close() },
		"no alert": func(c *tls.Conn) { endOutput(c.NetConn()) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(conn net.Conn, _ *bufio.Reader) {
				c := tls.Server(conn, &tls.Config{Certificates: server.TLS.Certificates})
				_, _ = http.ReadRequest(bufio.NewReader(c))
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				end(c)
			})
			p := newPool(t, s.addr(), func(cfg *PoolConfig) {
				cfg.TLS = func() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }
			})
			checkEnd(t, attempt(t, p, background, newRequest(t, http.MethodGet, nil)), name == "alert")
		})
	}
}
