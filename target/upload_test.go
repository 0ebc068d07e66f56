package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against sending a large upload to its end although the target has refused it, and
// against losing the refusal when the connection breaks. The target responds after the header
// and stops reading, and the client reads the response only after writing the whole request.
func TestEarlyResponseIsReadDuringTheUpload(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			_, _ = br.Peek(1 << 20) // wait until the connection is closed, without reading further
		})
		p := newPool(t, s.addr(), nil)
		body, caller := io.Pipe()
		r := newRequest(t, "PUT", body)
		r.ContentLength = length
		resp := attempt(t, p, background, r)
		assert.Equal(t, resp.StatusCode, 413)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "no")
		assert.Equal(t, p.Stats().Open, 0, "the target would take the rest of the body for a request")
		// The writer is in a read of the caller's body, which only the caller can end.
		caller.Close()
	}
}

func TestUploadAndResponseStreamConcurrently(t *testing.T) {
	withFakeTime(t, nil, func(conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		b := make([]byte, 1)
		for {
			if _, err := io.ReadFull(r.Body, b); err != nil {
				break
			}
			io.WriteString(conn, "1\r\n"+strings.ToUpper(string(b))+"\r\n")
		}
		io.WriteString(conn, "0\r\n\r\n")
		readUntilClosed(br, make(chan struct{}))
	}, func(t *testing.T, p *Pool) {
		body, caller := io.Pipe()
		resp := attempt(t, p, background, newRequest(t, "POST", body))
		b := make([]byte, 1)
		for _, letter := range []string{"a", "b", "c"} {
			io.WriteString(caller, letter)
			_, err := io.ReadFull(resp.Body, b)
			assert.NilError(t, err)
			assert.Equal(t, string(b), strings.ToUpper(letter))
		}
		caller.Close()
		_, err := resp.Body.Read(b)
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, p.Stats().Idle, 1)
	})
}

func TestRequestBodyAbortedByTheCaller(t *testing.T) {
	closed := make(chan struct{})
	s := startTarget(t, func(_ net.Conn, br *bufio.Reader) { readUntilClosed(br, closed) })
	p := newPool(t, s.addr(), nil)
	body, caller := io.Pipe()
	bodyErr := errors.New("caller aborted the body")
	go func() {
		io.WriteString(caller, "half")
		caller.CloseWithError(bodyErr)
	}()
	_, f := p.Attempt(background, newRequest(t, "POST", body))
	faulttest.Is(t, f, fault.CallerGone, fault.RanUnknown)
	assert.Assert(t, errors.Is(f, bodyErr))
	<-closed
	assert.Equal(t, p.Stats().Open, 0)
}

// watchedBody is a request body that counts its reads and closes.
type watchedBody struct {
	io.Reader
	reads, closes int
}

func (w *watchedBody) Read(p []byte) (int, error) {
	w.reads++
	return w.Reader.Read(p)
}

func (w *watchedBody) Close() error {
	w.closes++
	return nil
}

func newExpectContinueRequest(t *testing.T, body io.Reader) *http.Request {
	r := newRequest(t, "PUT", body)
	r.ContentLength = 4
	r.Header.Set("Expect", "100-continue")
	return r
}

func TestExpectContinueDelaysTheBody(t *testing.T) {
	body := func() *watchedBody { return &watchedBody{Reader: strings.NewReader("body")} }
	t.Run("asked for", func(t *testing.T) {
		withFakeTime(t, nil, func(conn net.Conn, br *bufio.Reader) {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			assert.Check(t, br.Buffered() == 0)
			io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, okResponse)
			readUntilClosed(br, make(chan struct{}))
		}, func(t *testing.T, p *Pool) {
			w := body()
			resp := attempt(t, p, background, newExpectContinueRequest(t, w))
			io.ReadAll(resp.Body)
			assert.Equal(t, p.Stats().Idle, 1)
			assert.Equal(t, w.closes, 0)
		})
	})
	t.Run("refused", func(t *testing.T) {
		withFakeTime(t, nil, func(conn net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			io.WriteString(conn, "HTTP/1.1 503 No\r\nTarragon-Not-Run: overload\r\nContent-Length: 0\r\n\r\n")
			readUntilClosed(br, make(chan struct{}))
		}, func(t *testing.T, p *Pool) {
			w := body()
			_, f := p.Attempt(background, newExpectContinueRequest(t, w))
			assert.Equal(t, f.Ran, fault.NotRun)
			assert.Equal(t, w.reads, 0, "the body must remain available for another target")
			assert.Equal(t, p.Stats().Open, 0)
		})
	})
	t.Run("neither", func(t *testing.T) {
		withFakeTime(t, nil, respondAlways(okResponse), func(t *testing.T, p *Pool) {
			start := time.Now()
			resp := attempt(t, p, background, newExpectContinueRequest(t, body()))
			io.ReadAll(resp.Body)
			assert.Equal(t, time.Since(start), continueTimeout)
		})
	})
}

func TestNotRunBeforeTheFirstByteDoesNotReadTheBody(t *testing.T) {
	b := newBreakHarness(t)
	b.warmConnection(t, "warm")
	b.last.breakAfter(0, -1)
	w := &watchedBody{Reader: strings.NewReader("body")}
	_, f := b.pool.Attempt(background, newRequest(t, "POST", w))
	assert.Equal(t, f.Ran, fault.NotRun)
	assert.Equal(t, w.reads, 0)
	assert.Equal(t, w.closes, 0)
}
