package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

const (
	shortProgress  = time.Second
	steadyProgress = 2 * time.Second
	steadyStep     = steadyProgress / 10
	steadySteps    = 16
)

// Guards against requests that hang forever on one connection while new connections work. A
// middlebox has dropped the connection's state: the request is written, and neither a response
// nor an error comes back.
func TestOnlyTheSilentConnectionIsClosed(t *testing.T) {
	var conns atomic.Int32
	withFakeTime(t, progressTimeout(shortProgress), func(c net.Conn, br *bufio.Reader) {
		if conns.Add(1) > 1 {
			respondAlways(okResponse)(c, br)
			return
		}
		_, _ = http.ReadRequest(br)
		io.WriteString(c, okResponse)
		io.Copy(io.Discard, br)
	}, func(t *testing.T, p *Pool) {
		_, _, err := sendGet(t, p, background)
		assert.NilError(t, err)
		_, _, err = sendGet(t, p, background)
		assert.Equal(t, err.(*fault.Fault).Kind, fault.TargetStalled)
		assert.Equal(t, err.(*fault.Fault).Ran, fault.RanUnknown)
		_, _, err = sendGet(t, p, background)
		assert.NilError(t, err)
		stats := p.Stats()
		assert.Equal(t, stats.Silent, uint64(1))
		assert.Equal(t, stats.Dials, uint64(2))
		assert.Equal(t, stats.Open, 1)
	})
}

func TestSilenceInTheBodyTruncatesTheResponse(t *testing.T) {
	withFakeTime(t, progressTimeout(shortProgress), func(c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		io.Copy(io.Discard, br)
	}, func(t *testing.T, p *Pool) {
		_, body, err := sendGet(t, p, background)
		assert.Equal(t, body, "ok")
		assert.Equal(t, err.(*fault.Fault).Kind, fault.AnswerTruncated)
		assert.Equal(t, p.Stats().Silent, uint64(1))
	})
}

func TestSlowButSteadyResponseDoesNotTimeOut(t *testing.T) {
	withFakeTime(t, progressTimeout(steadyProgress), func(c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n")
		for range steadySteps {
			time.Sleep(steadyStep)
			io.WriteString(c, "x")
		}
	}, func(t *testing.T, p *Pool) {
		_, body, err := sendGet(t, p, background)
		assert.NilError(t, err)
		assert.Equal(t, body, strings.Repeat("x", steadySteps))
	})
}

func TestPausedCallerDoesNotTimeOutTheTarget(t *testing.T) {
	withFakeTime(t, progressTimeout(shortProgress), respondAlways(okResponse), func(t *testing.T, p *Pool) {
		body, caller := io.Pipe()
		go func() {
			io.WriteString(caller, "half")
			time.Sleep(2 * shortProgress)
			caller.Close()
		}()
		resp := attempt(t, p, background, newRequest(t, "POST", body))
		_, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, p.Stats().Silent, uint64(0))
	})
}

// Guards against an upload that never ends because the target has stopped reading. The target
// reads the header, the buffers fill up, and a progress timeout on reads alone doesn't notice.
func TestTargetThatStopsReadingTimesOut(t *testing.T) {
	withFakeTime(t, progressTimeout(shortProgress), func(_ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		time.Sleep(2 * shortProgress)
	}, func(t *testing.T, p *Pool) {
		r := newRequest(t, "PUT", io.LimitReader(endlessReader{}, 1<<30))
		r.ContentLength = 1 << 30
		_, f := p.Attempt(background, r)
		faulttest.Is(t, f, fault.TargetStalled, fault.RanUnknown)
	})
}

// endlessReader is a reader without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
