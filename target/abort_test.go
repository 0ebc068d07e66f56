package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
)

// Guards against closing a caller's connection without a response when a key moves. Work runs
// longer than a unit that is being released allows, the router aborts it, and the abort is
// taken for a caller that went away, which gets no response.
func TestAbortIsNotReportedAsCallerGone(t *testing.T) {
	t.Run("while the target is working", func(t *testing.T) {
		var cut Aborter
		s := startTarget(t, func(_ net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			cut.Abort()
		})
		p := newPool(t, s.addr(), nil)
		_, f := p.AttemptWithOptions(background, newRequest(t, "GET", nil), AttemptOptions{Aborter: &cut})
		faulttest.Is(t, f, fault.TargetLost, fault.RanUnknown)
	})
	t.Run("before a byte was written", func(t *testing.T) {
		var cut Aborter
		s := startTarget(t, respondAlways(okResponse))
		p := newPool(t, s.addr(), nil)
		cut.Abort()
		_, f := p.AttemptWithOptions(background, newRequest(t, "GET", nil), AttemptOptions{Aborter: &cut})
		faulttest.Is(t, f, fault.StaleRoute, fault.NotRun)
	})
}

// Guards against aborting another caller's request. An exchange ends and its connection carries
// the next one; then the first exchange is aborted, and its aborter still refers to the connection.
func TestAbortAfterTheEndDoesNotAffectTheNextExchange(t *testing.T) {
	var cut Aborter
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	resp, f := p.AttemptWithOptions(background, newRequest(t, "GET", nil), AttemptOptions{Aborter: &cut})
	assert.Assert(t, f == nil)
	_, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	second := attempt(t, p, background, newRequest(t, "GET", nil))
	cut.Abort()
	_, err = io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, p.Stats().Dials, uint64(1))
}

// Guards against refusing a caller although the key is served again within a second. A grant
// expires because its renewal is late, a request arrives before the renewal, and the refusal is
// taken for that of a target that does not want the work, for which the router does not wait.
func TestGrantMismatchIsAStaleRoute(t *testing.T) {
	for cause, want := range map[string]fault.Kind{
		CauseUnit:    fault.StaleRoute,
		CauseToken:   fault.StaleRoute,
		CauseTerm:    fault.StaleRoute,
		CauseExpired: fault.StaleRoute,
		"overload":   fault.TargetRefused,
		"draining":   fault.TargetRefused,
	} {
		s := startTarget(t, respondAlways("HTTP/1.1 503 No\r\nTarragon-Not-Run: "+cause+"\r\nContent-Length: 0\r\n\r\n"))
		_, f := newPool(t, s.addr(), nil).Attempt(background, newRequest(t, "GET", nil))
		assert.Equal(t, f.Kind, want, cause)
		assert.Equal(t, f.Ran, fault.NotRun)
	}
}
