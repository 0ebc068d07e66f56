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

// Symptom: requests hang on one connection for good while new connections work.
// Sequence: something between the ends forgets the connection; the request is
// written, nothing comes back, no error either.
// Cause: no limit on the silence of a connection with work on it.
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

// Symptom: an upload to a target that stopped reading never ends.
// Sequence: the target takes the header, the buffers fill, no byte moves.
// Cause: a limit on the silence of reads alone.
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

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
