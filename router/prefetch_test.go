package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
	"tarragongw/replay"
)

func uploadOf(ctx context.Context, t *testing.T, body io.Reader, length int64) *exchange {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/x", body)
	assert.NilError(t, err)
	req.ContentLength = length
	return &exchange{r: req, body: replay.New(req, maxReplayBytes)}
}

// Symptom: a body that was waited for reaches the target with its beginning missing.
func TestPrefetchedBodyIsWholeForEachAttempt(t *testing.T) {
	for _, length := range []int{1, replay.PrefetchChunk, prefetchBytes, prefetchBytes + 1, 3 * prefetchBytes} {
		text := strings.Repeat("0123456789", length/10+1)[:length]
		x := uploadOf(t.Context(), t, strings.NewReader(text), int64(length))
		assert.Assert(t, x.awaitBody() == nil)
		for range 2 {
			assert.Assert(t, x.body.RewindInto(x.r))
			got, err := io.ReadAll(x.r.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), text)
		}
	}
}

// Symptom: a slot is taken, or "unknown" is said, for a body that never came.
// Sequence: the deadline passes, or the caller leaves, while the router waits for it.
// Cause: the wait is not bound to the request.
func TestBodyThatDoesNotArriveIsNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	x := uploadOf(ctx, t, reader, 10)
	cancel()
	f := x.awaitBody()
	faulttest.Is(t, f, fault.BodyStalled, fault.NotRun)
	assert.NilError(t, writer.Close())

	reader, writer = io.Pipe()
	x = uploadOf(t.Context(), t, reader, 10)
	assert.NilError(t, writer.CloseWithError(io.ErrUnexpectedEOF))
	f = x.awaitBody()
	faulttest.Is(t, f, fault.CallerGone, fault.NotRun)
}

// A caller that streams may wait for an answer before it sends more.
func TestBodyOfUndeclaredLengthIsNotAwaited(t *testing.T) {
	reader, _ := io.Pipe()
	assert.Assert(t, uploadOf(t.Context(), t, reader, -1).awaitBody() == nil)
}
