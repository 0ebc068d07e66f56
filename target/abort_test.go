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

// Symptom: a caller's connection breaks off without an answer when a key moves.
// Sequence: work runs longer than a closing unit allows; the router cuts it.
// Cause: the cut looks like a caller that went away, for whom there is no answer.
func TestAbortIsNotReportedAsCallerGone(t *testing.T) {
	t.Run("while the target is at work", func(t *testing.T) {
		var cut Cut
		s := startTarget(t, func(_ net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			cut.Now()
		})
		p := newPool(t, s.addr(), nil)
		_, f := p.AttemptOn(background, newRequest(t, "GET", nil), Terms{Cut: &cut})
		faulttest.Is(t, f, fault.TargetLost, fault.RanUnknown)
	})
	t.Run("before a byte was written", func(t *testing.T) {
		var cut Cut
		s := startTarget(t, respondAlways(okResponse))
		p := newPool(t, s.addr(), nil)
		cut.Now()
		_, f := p.AttemptOn(background, newRequest(t, "GET", nil), Terms{Cut: &cut})
		faulttest.Is(t, f, fault.StaleRoute, fault.NotRun)
	})
}

// Symptom: a request of another caller is cut off.
// Sequence: an exchange ends and its connection serves the next; then the first
// one is cut.
// Cause: the cut still holds on to the connection.
func TestAbortAfterTheEndDoesNotAffectTheNextExchange(t *testing.T) {
	var cut Cut
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	resp, f := p.AttemptOn(background, newRequest(t, "GET", nil), Terms{Cut: &cut})
	assert.Assert(t, f == nil)
	_, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	second := attempt(t, p, background, newRequest(t, "GET", nil))
	cut.Now()
	_, err = io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, p.Stats().Dials, uint64(1))
}

// Symptom: a caller is refused although the key is served again within a second.
// Sequence: a grant lapses because its renewal comes late; a request comes first.
// Cause: the refusal looks like that of a target that does not want the work, which
// is not waited for.
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
