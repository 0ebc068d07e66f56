package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
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
