package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// consumeBody is a forwarder that reads the whole body, as a target would.
func consumeBody(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fault.Wrap(fault.TargetLost, err, "while sending")
	}
	return answerWhole(w, r, m)
}

// Guards against a few callers that occupy all slots of a target by sending the header of an
// upload and then one byte now and then. Neither may single bytes count as progress, nor may
// the wait for the body be unbounded.
func TestStalledBodyIsCut(t *testing.T) {
	s := startServer(t, Config{BodyWindow: 100 * time.Millisecond}, consumeBody)
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		for _, pause := range []time.Duration{time.Hour, 5 * time.Millisecond} {
			body := &trickle{pause: pause, stop: make(chan struct{})}
			resp := do(t, c, "POST", s.url+"/x", body)
			assert.Equal(t, resp.StatusCode, 408)
			assert.Equal(t, resp.Header.Get("Tarragon-Error"), "body_stalled")
			assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "unknown")
			close(body.stop)
			assert.Equal(t, (<-s.observer.outcomes).Fault.Kind, fault.BodyStalled)
		}
	})
}

// trickle is a body that yields one byte after each pause.
type trickle struct {
	pause time.Duration
	stop  chan struct{}
}

func (b *trickle) Read(p []byte) (int, error) {
	select {
	case <-b.stop:
		return 0, io.EOF
	case <-time.After(b.pause):
		p[0] = 'x'
		return 1, nil
	}
}

// deadlineRecorder is a ResponseWriter that records the last read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	last time.Time
}

func (d *deadlineRecorder) SetReadDeadline(at time.Time) error {
	d.last = at
	return nil
}

func newTestBody(data string) (*requestBody, *deadlineRecorder) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	return &requestBody{body: io.NopCloser(strings.NewReader(data)), timeout: ioTimeout{setDeadline: w.SetReadDeadline},
		window: time.Hour, minBytes: 10}, w
}

// Guards against the upload of a fast caller that is aborted because the target reads more
// slowly than the window allows: the time between two reads must not count as waiting for the
// caller.
func TestOnlyTimeWaitingForCallerCounts(t *testing.T) {
	body, w := newTestBody("")
	now := time.Now()
	step := func(n int, waited, left time.Duration) {
		t.Helper()
		assert.Equal(t, body.windowLeft(), left)
		assert.Assert(t, body.timeout.start(now, left))
		body.timeout.stop()
		body.recordRead(n, nil, waited)
		now = now.Add(2 * time.Hour)
		body.timeout.expireAt(now)
		assert.Assert(t, w.last.IsZero(), "cut while no read waits")
	}
	step(4, 20*time.Minute, time.Hour)
	step(5, 10*time.Minute, 40*time.Minute)
	step(1, time.Minute, 30*time.Minute)
	step(0, 0, time.Hour)
	body.timeout.start(now, body.windowLeft())
	body.timeout.expireAt(now.Add(time.Hour - 1))
	assert.Assert(t, w.last.IsZero(), "cut too early")
	body.timeout.expireAt(now.Add(time.Hour))
	assert.Assert(t, w.last.Before(now.Add(time.Hour)) && !w.last.IsZero())
}

// Guards against a request that is cancelled although its caller waits. The forwarder of the
// previous request failed and left a read of the body behind, which times out while the
// connection serves the next request; the body must not reach the connection once its request
// is over.
func TestBodyOfEndedRequestDoesNotTouchConnection(t *testing.T) {
	body, w := newTestBody("x")
	now := time.Now()
	body.timeout.start(now, time.Hour)
	body.timeout.close()
	body.timeout.expireAt(now.Add(time.Hour))
	assert.Assert(t, w.last.IsZero())
	_, err := body.Read(make([]byte, 1))
	assert.ErrorIs(t, err, http.ErrBodyReadAfterClose)
}

// Guards against slots that stay occupied by a caller that requests a large answer and reads
// none of it.
func TestUnreadAnswerIsCut(t *testing.T) {
	// With a shorter window, a pause of the test itself before the header is sent would fail
	// the write too.
	s := startServer(t, Config{AnswerWindow: time.Second}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		body := io.NopCloser(io.LimitReader(zeros{}, largeBytes))
		return CopyAnswer(w, &http.Response{StatusCode: 200, ContentLength: largeBytes, Body: body})
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		do(t, c, "GET", s.url+"/x", nil)
		outcome := <-s.observer.outcomes
		assert.Equal(t, outcome.Fault.Kind, fault.CallerGone)
		assert.Assert(t, outcome.Aborted && outcome.BytesOut < largeBytes)
	})
}

// Guards against idle connections and goroutines that pile up. A caller sends request after
// request and reads none of the answers, each of which is small enough for the server to send
// it after the handler returned, so bounding the writes of the handler is not sufficient.
func TestUnreadSmallAnswersAreCut(t *testing.T) {
	s := startServer(t, Config{AnswerWindow: 100 * time.Millisecond}, answerWhole)
	s.server.observer = noObserver{}
	conn, _ := dial(t, s)
	awaitOpenConns(s, 1)
	for err := error(nil); err == nil; {
		_, err = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	awaitOpenConns(s, 0)
}

// An HTTP/2 stream is reset by a write deadline that passes while nothing is written, so an
// idle event stream must not have one.
func TestIdleStreamIsNotReset(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	const burst = 64 * kibibyte
	s := startServer(t, Config{AnswerWindow: window}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		for range 3 {
			_, _ = io.WriteString(w, strings.Repeat("x", burst))
			w.(http.Flusher).Flush()
			time.Sleep(2 * window)
		}
		return nil
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		assert.Equal(t, len(readBody(t, do(t, c, "GET", s.url+"/x", nil))), 3*burst)
	})
}

func TestSlowHeaderIsCut(t *testing.T) {
	s := startServer(t, Config{ReadHeaderTimeout: 50 * time.Millisecond}, answerWhole)
	conn, reader := dial(t, s)
	_, err := fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost:")
	assert.NilError(t, err)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(rest), "200"))
}

// Guards against an upload that fails on a kept-alive connection before it began. The
// connection is idle for longer than AnswerWindow, and the write of 100 Continue for the next
// request fails at once because the write deadline of the previous answer is still set.
// net/http clears it between requests; this test fails if it no longer does.
func TestContinueOnAnIdleConnection(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	s := startServer(t, Config{AnswerWindow: window}, consumeBody)
	conn, reader := dial(t, s)
	for range 2 {
		resp := exchangeRaw(t, conn, reader, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		resp = exchangeRaw(t, conn, reader, "some")
		assert.Equal(t, readBody(t, resp), "whole")
		time.Sleep(2 * window)
	}
}

// Guards against answers that block for AnswerWindow after their request's time is over, as their caller reads nothing.
func TestUnreadAnswerIsCutAtItsDeadline(t *testing.T) {
	s := startServer(t, Config{LimitAnswers: true}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		return CopyAnswer(w, &http.Response{StatusCode: 200, ContentLength: largeBytes, Body: io.NopCloser(io.LimitReader(zeros{}, largeBytes)), Request: r})
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		do(t, c, "GET", s.url+"/faq/k/a", nil, "X-Deadline", "300")
		outcome := <-s.observer.outcomes
		assert.Assert(t, outcome.Aborted && outcome.BytesOut < largeBytes)
		assert.Assert(t, outcome.Duration < 2*time.Second, "after %v", outcome.Duration)
	})
}
