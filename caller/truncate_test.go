package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/internal/faulttest"
)

// overlong is a query for an answer with more bytes than it declares.
const overlong = "?length=5&clean"

// forwardTruncated copies a truncated answer; "?length=n" declares a length and "?clean" ends
// the part without an error.
func forwardTruncated(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
	query := r.URL.Query()
	resp := &http.Response{StatusCode: 200, ContentLength: -1, Header: http.Header{}, Request: r}
	if length := query.Get("length"); length != "" {
		resp.ContentLength, _ = strconv.ParseInt(length, 10, 64)
		resp.Header.Set("Content-Length", length)
	}
	body := &endBody{data: "part of the answer", err: io.ErrUnexpectedEOF}
	if query.Has("clean") {
		body.err = nil
	}
	resp.Body = body
	return CopyAnswer(w, resp)
}

// Guards against a caller that takes a truncated answer for the whole one. If the target's
// connection breaks in the middle of its answer, the router must not end its own answer
// cleanly.
func TestTruncatedAnswerIsSeenAsBroken(t *testing.T) {
	s := startServer(t, Config{}, forwardTruncated)
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		for _, query := range []string{"", "?length=100", "?length=100&clean", overlong} {
			r, err := http.NewRequest("POST", s.url+"/x"+query, nil)
			assert.NilError(t, err)
			resp, err := c.Do(r)
			if query != overlong {
				assert.NilError(t, err, "the part was discarded")
			}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				assert.Assert(t, err != nil, "%s: %q passed for the whole answer", query, body)
				resp.Body.Close()
			}
			outcome := <-s.observer.outcomes
			faulttest.Is(t, outcome.Fault, fault.AnswerTruncated, fault.RanFully, query)
			assert.Equal(t, outcome.Status, 200)
			assert.Assert(t, outcome.Aborted)
		}
	})
}

// Guards against an HTTP/1.0 caller that takes a truncated answer for the whole one. An answer
// without a length ends with its connection, so a normal close would be a clean end.
func TestTruncatedAnswerResetsHTTP10(t *testing.T) {
	s := startServer(t, Config{}, forwardTruncated)
	conn, reader := dial(t, s)
	_, err := fmt.Fprint(conn, "GET /x HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(reader)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against an empty or short answer that looks complete. If the forwarder reports
// success without having written everything, net/http fills in a status, and HTTP/2 ends a
// short answer cleanly.
func TestIncompleteSuccessIsFault(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		}
		return nil
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "GET", s.url+"/none", nil)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "internal")
		assert.Equal(t, (<-s.observer.outcomes).Fault.Kind, fault.Internal)
		r, err := http.NewRequest("GET", s.url+"/short", nil)
		assert.NilError(t, err)
		if resp, err = c.Do(r); err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		assert.Assert(t, err != nil)
		outcome := <-s.observer.outcomes
		assert.Equal(t, outcome.Fault.Kind, fault.AnswerTruncated)
		assert.Assert(t, outcome.Aborted)
	})
}

// CopyAnswer is also checked directly, since the router also uses it without an exchange
// around it.
func TestCopyAnswerReportsHowTheAnswerEnded(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, example := range []struct {
		name   string
		length int64
		method string
		err    error
		ctx    context.Context
		want   fault.Kind
		whole  bool
	}{
		{name: "whole", length: 5, whole: true},
		{name: "whole without length", length: -1, whole: true},
		{name: "head", length: 99, method: "HEAD", whole: true},
		{name: "short but clean", length: 9, want: fault.AnswerTruncated},
		{name: "broken off", length: -1, err: io.ErrUnexpectedEOF, want: fault.AnswerTruncated},
		{name: "caller gone", length: -1, err: context.Canceled, ctx: gone, want: fault.CallerGone},
		{name: "broken off by the target's side", length: -1, err: context.Canceled, want: fault.AnswerTruncated},
	} {
		if example.ctx == nil {
			example.ctx = context.Background()
		}
		r, err := http.NewRequestWithContext(example.ctx, example.method, "http://h/", nil)
		assert.NilError(t, err)
		f := CopyAnswer(&discardWriter{header: http.Header{}}, &http.Response{StatusCode: 200, ContentLength: example.length,
			Request: r, Body: &endBody{data: "whole", err: example.err}})
		assert.Equal(t, f == nil, example.whole, example.name)
		if f != nil {
			faulttest.Is(t, f, example.want, fault.RanFully, example.name)
		}
	}
}

func TestFaultAfterAnswerBeganAborts(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		w.(http.Flusher).Flush()
		if r.URL.Path == "/panic" {
			panic("defect")
		}
		return fault.New(fault.QueueFull, "")
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		for _, path := range []string{"/fault", "/panic"} {
			resp := do(t, c, "GET", s.url+path, nil)
			_, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, path)
			outcome := <-s.observer.outcomes
			assert.Equal(t, outcome.Fault.Ran, fault.RanFully)
		}
	})
}

func TestPanicIsAnswered(t *testing.T) {
	s := startServer(t, Config{}, func(http.ResponseWriter, *http.Request, *request.Meta) *fault.Fault { panic("defect") })
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "GET", s.url+"/x", nil)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "internal")
		assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "unknown")
	})
}

func TestCopyAnswerDropsHopByHopAndRouterHeaders(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		return CopyAnswer(w, &http.Response{StatusCode: 200, ContentLength: 5, Body: &endBody{data: "whole"}, Header: http.Header{
			"Tarragon-Error": {"queue_full"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Plain": {"a", "b"},
			"X-Request-Id": {"the target's"}, "Keep-Alive": {"5"},
		}})
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "GET", s.url+"/x", nil, "X-Request-Id", "mine")
		assert.Equal(t, readBody(t, resp), "whole")
		resp.Header.Del("Date")
		assert.DeepEqual(t, resp.Header, http.Header{
			"X-Plain": {"a", "b"}, "X-Request-Id": {"mine"}, "Content-Length": {"5"},
		})
	})
}
