package caller

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/internal/waittest"
)

// stalledAnswer is a target's answer that has the given part of its body, and then nothing until the request ends.
func stalledAnswer(r *http.Request, part string, length int64, header http.Header) *http.Response {
	in, out := io.Pipe()
	go func() {
		_, _ = io.WriteString(out, part)
		<-r.Context().Done()
		_ = out.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return &http.Response{StatusCode: http.StatusOK, ContentLength: length, Header: header, Body: in, Request: r}
}

// Guards against callers that get half an answer, or a closed connection, at a deadline by which nothing of use was passed on.
func TestAnswersThatDontEndInTimeAreReplaced(t *testing.T) {
	const deadline = "300"
	for name, answer := range map[string]struct {
		part   string
		length int64
	}{
		"no body":                        {"", 400},
		"no body of a long answer":       {"", 2 * maxHeldBytes},
		"half of a body":                 {strings.Repeat("b", 200), 400},
		"a part of unknown length":       {strings.Repeat("b", 200), -1},
		"a long part, of unknown length": {strings.Repeat("b", maxHeldBytes), -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, Config{LimitAnswers: true}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
				return CopyAnswer(w, stalledAnswer(r, answer.part, answer.length, http.Header{}))
			})
			onBothVersions(t, func(t *testing.T, c *http.Client) {
				resp := do(t, c, "GET", s.url+"/faq/k/a", nil, "X-Deadline", deadline)
				assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
				assert.Assert(t, strings.Contains(readBody(t, resp), "deadline_exceeded"))
				assert.Equal(t, (<-s.observer.outcomes).Fault.Kind, fault.DeadlineExceeded)
			})
		})
	}
}

// Guards against streams, and answers that are too long to be held back, whose parts arrive only with the last one.
func TestStreamsAndLongAnswersAreNotHeldBack(t *testing.T) {
	for name, answer := range map[string]struct {
		part   string
		length int64
		header http.Header
	}{
		"event stream":  {"data: a\n\n", -1, http.Header{"Content-Type": {"text/event-stream"}}},
		"not buffered":  {"a", -1, http.Header{"X-Accel-Buffering": {"no"}}},
		"long":          {strings.Repeat("b", maxHeldBytes/2), 2 * maxHeldBytes, http.Header{}},
		"of any length": {strings.Repeat("b", maxHeldBytes+1), -1, http.Header{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, Config{LimitAnswers: true}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
				return CopyAnswer(w, stalledAnswer(r, answer.part, answer.length, answer.header))
			})
			resp := do(t, newClient(t, 1), "GET", s.url+"/faq/k/a", nil, "X-Deadline", "2000")
			began := time.Now()
			_, err := io.ReadFull(resp.Body, make([]byte, min(len(answer.part), serverBufferBytes)))
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) < time.Second)
			_, err = io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "a part looks like the whole answer")
		})
	}
}

// Guards against trailers that are lost, or sent as headers, because the answer was held back.
func TestTrailersOfHeldAnswers(t *testing.T) {
	s := startServer(t, Config{LimitAnswers: true}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: " + r.Header.Get("X-Announced") + "\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n"
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), r)
		assert.NilError(t, err)
		return CopyAnswer(w, resp)
	})
	for _, announced := range []string{"X-Other", "X-Sum"} {
		resp := do(t, newClient(t, 1), "GET", s.url+"/faq/k/a", nil, "X-Deadline", "2000", "X-Announced", announced)
		assert.Equal(t, readBody(t, resp), "body")
		assert.Equal(t, resp.Trailer.Get("X-Sum"), "7")
		assert.Equal(t, resp.Header.Get("X-Sum"), "")
	}
}

// Guards against answers that are held back and together fill the memory.
func TestHeldAnswersAreBoundedTogether(t *testing.T) {
	const limit = 4 * kibibyte
	s := startServer(t, Config{LimitAnswers: true, MaxHeldBytes: limit}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		return CopyAnswer(w, stalledAnswer(r, strings.Repeat("b", limit/2), limit, http.Header{}))
	})
	c := newClient(t, 1)
	for range 2 {
		go func() {
			if resp, err := c.Get(s.url + "/faq/k/a"); err == nil {
				resp.Body.Close()
			}
		}()
	}
	waittest.Until(t, "the bound is reached", func() bool { return s.server.heldBytes.Load() == limit })
	resp := do(t, c, "GET", s.url+"/faq/k/a", nil, "X-Deadline", "5000")
	_, err := io.ReadFull(resp.Body, make([]byte, limit/2))
	assert.NilError(t, err)
	assert.Equal(t, s.server.heldBytes.Load(), int64(limit))
}
