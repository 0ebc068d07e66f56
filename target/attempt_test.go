package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

var background = context.Background()

// sendGet sends a GET request and returns the response and its whole body, or the error of
// either.
func sendGet(t *testing.T, p *Pool, ctx context.Context) (*http.Response, string, error) {
	t.Helper()
	resp, f := p.Attempt(ctx, newRequest(t, "GET", nil))
	if f != nil {
		return nil, "", f
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestResponsesThatLeaveTheConnectionReusable(t *testing.T) {
	cases := []struct {
		name, method, response, body string
		idle                         int
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 1},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 1},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 1},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 70\r\n\r\n", "", 1},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n", "", 1},
		{"HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", "", 1},
		{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 0},
		{"1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 0},
		{"1.0 kept", "GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"bytes after the end", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1", "ok", 0},
		{"not run", "GET", "HTTP/1.1 503 No\r\nTarragon-Not-Run: overload\r\nContent-Length: 2\r\n\r\nno", "refused", 1},
		{"not run, chunks", "GET", "HTTP/1.1 409 No\r\nTarragon-Not-Run: draining\r\nTransfer-Encoding: chunked\r\n\r\n", "refused", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, respondAlways(c.response))
			p := newPool(t, s.addr(), nil)
			resp, f := p.Attempt(background, newRequest(t, c.method, nil))
			if c.body == "refused" {
				faulttest.Is(t, f, fault.TargetRefused, fault.NotRun)
			} else {
				assert.Assert(t, f == nil)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.body)
			}
			assert.Equal(t, p.Stats().Idle, c.idle)
			assert.Equal(t, p.Stats().InUse, 0)
		})
	}
}

// Guards against a caller taking a partial response for a complete one. The target's response
// breaks off within the body, and the end of the stream is taken for the end of the response.
func TestTruncatedResponsesNeverEndCleanly(t *testing.T) {
	cases := []struct{ name, response string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"mid chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{"no end of trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"},
		{"no framing", "HTTP/1.1 200 OK\r\n\r\nok"},
		{"no framing, 1.0", "HTTP/1.0 200 OK\r\n\r\nok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				io.WriteString(conn, c.response)
			})
			p := newPool(t, s.addr(), func(cfg *PoolConfig) { cfg.RequireFraming = true })
			_, body, err := sendGet(t, p, background)
			assert.Equal(t, body, "ok")
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
			assert.Assert(t, !errors.Is(err, io.EOF))
			var f *fault.Fault
			assert.Assert(t, errors.As(err, &f))
			faulttest.Is(t, f, fault.AnswerTruncated, fault.RanFully)
			assert.Equal(t, p.Stats().Open, 0)
		})
	}
}

func TestUnframedResponseIsAcceptedByDefault(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
	})
	p := newPool(t, s.addr(), nil)
	_, body, err := sendGet(t, p, background)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, p.Stats().Open, 0)
}

func TestTrailersAreForwardedInBothDirections(t *testing.T) {
	withFakeTime(t, nil, func(conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nok\r\n0\r\nSum: "+string(body)+r.Trailer.Get("Sum")+"\r\n\r\n")
	}, func(t *testing.T, p *Pool) {
		r := newRequest(t, "POST", io.NopCloser(strings.NewReader("body+")))
		r.Trailer = http.Header{"Sum": nil}
		r.Body = &trailerBody{Reader: strings.NewReader("body+"), r: r}
		resp := attempt(t, p, background, r)
		assert.DeepEqual(t, resp.Trailer, http.Header{"Sum": nil})
		_, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Trailer.Get("Sum"), "body+trailer")
		assert.Equal(t, p.Stats().Idle, 1)
	})
}

// trailerBody is a request body that sets the request's trailer at its end, as net/http's
// server does.
type trailerBody struct {
	io.Reader
	r *http.Request
}

func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.r.Trailer.Set("Sum", "trailer")
	}
	return n, err
}

func (b *trailerBody) Close() error { return nil }

func TestInformationalResponsesGoToTheTrace(t *testing.T) {
	s := startTarget(t, respondAlways("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := newPool(t, s.addr(), nil)
	var hints []string
	ctx := httptrace.WithClientTrace(background, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			hints = append(hints, h.Get("Link"))
			return nil
		}})
	resp, _, err := sendGet(t, p, ctx)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.DeepEqual(t, hints, []string{"</a>"})
}

func TestInvalidResponsesAreTargetLost(t *testing.T) {
	cases := []struct{ name, response string }{
		{"endless informational", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInformational+1)},
		{"switched", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"not HTTP", "hello\r\n\r\n"},
		{"header too large", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 5000) + "\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, respondAlways(c.response))
			p := newPool(t, s.addr(), func(cfg *PoolConfig) { cfg.MaxHeaderBytes = 4096 })
			_, _, err := sendGet(t, p, background)
			f := err.(*fault.Fault)
			faulttest.Is(t, f, fault.TargetLost, fault.RanUnknown)
			assert.Equal(t, p.Stats().Open, 0)
		})
	}
}

func TestRequestThatCannotBeWrittenIsNotRun(t *testing.T) {
	s := startTarget(t, respondAlways(""))
	p := newPool(t, s.addr(), nil)
	for _, body := range []io.Reader{nil, strings.NewReader("x")} {
		r := newRequest(t, "PUT", body)
		r.Host, r.URL = "", nil
		_, f := p.Attempt(background, r)
		faulttest.Is(t, f, fault.BadRequest, fault.NotRun)
	}
	short := newRequest(t, "PUT", strings.NewReader("x"))
	short.ContentLength = 5
	_, f := p.Attempt(background, short)
	assert.Equal(t, f.Kind, fault.BadRequest)
	assert.Equal(t, f.Ran, fault.RanUnknown) // its header went out
	assert.Equal(t, p.Stats().Open, 0)
}

// Guards against returning one caller's response to another caller. If a connection were kept
// after its exchange was cancelled, the late response would be taken for the response to the
// next request.
func TestCancelledExchangeClosesItsConnection(t *testing.T) {
	for _, inBody := range []bool{false, true} {
		received := make(chan struct{}, 1)
		closed := make(chan struct{})
		s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			if inBody {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			}
			received <- struct{}{}
			readUntilClosed(br, closed)
		})
		p := newPool(t, s.addr(), nil)
		ctx, cancel := context.WithCancel(background)
		go func() {
			<-received
			cancel()
		}()
		_, _, err := sendGet(t, p, ctx)
		f := err.(*fault.Fault)
		assert.Equal(t, f.Kind, fault.CallerGone)
		<-closed
		assert.Equal(t, p.Stats().Open, 0)
		assert.Equal(t, p.Stats().Cancelled, uint64(1))
	}
}

func TestDeadlineIsDistinguishedFromCancellation(t *testing.T) {
	withFakeTime(t, nil, func(_ net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) }, func(t *testing.T, p *Pool) {
		ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
		defer cancel()
		_, _, err := sendGet(t, p, ctx)
		assert.Equal(t, err.(*fault.Fault).Kind, fault.DeadlineExceeded)
		assert.Equal(t, err.(*fault.Fault).Ran, fault.RanUnknown)
		_, _, err = sendGet(t, p, ctx)
		assert.Equal(t, err.(*fault.Fault).Kind, fault.DeadlineExceeded)
		assert.Equal(t, err.(*fault.Fault).Ran, fault.NotRun)
		byCause, cancelCause := context.WithCancelCause(background)
		cancelCause(context.DeadlineExceeded)
		_, _, err = sendGet(t, p, byCause)
		assert.Equal(t, err.(*fault.Fault).Kind, fault.DeadlineExceeded)
	})
}

func TestClosingAnUnreadResponseClosesItsConnection(t *testing.T) {
	s := startTarget(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool(t, s.addr(), nil)
	resp := attempt(t, p, background, newRequest(t, "GET", nil))
	resp.Body.Close()
	resp.Body.Close()
	_, err := resp.Body.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, http.ErrBodyReadAfterClose))
	assert.Equal(t, p.Stats().Open, 0)
}

func TestCloseEndsAReadInProgress(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
		io.Copy(io.Discard, br)
	})
	p := newPool(t, s.addr(), nil)
	resp := attempt(t, p, background, newRequest(t, "GET", nil))
	ended := make(chan error)
	go func() {
		_, err := resp.Body.Read(make([]byte, 1))
		ended <- err
	}()
	resp.Body.Close()
	assert.Assert(t, <-ended != nil)
	assert.Equal(t, p.Stats().Open, 0)
}
