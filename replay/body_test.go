package replay

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

const maxKeptBytes = 64 << 10

func newBody(t *testing.T, source io.Reader) *Body {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://router.example/", io.NopCloser(source))
	assert.NilError(t, err)
	r.ContentLength = -1
	return New(r, maxKeptBytes)
}

func nextAttempt(t *testing.T, b *Body) *Attempt {
	t.Helper()
	a, ok := b.Rewind()
	assert.Assert(t, ok)
	return a
}

func TestNextAttemptReadsTheBodyFromTheStart(t *testing.T) {
	b := newBody(t, bytes.NewReader([]byte("whole body")))
	first := nextAttempt(t, b)
	_, err := io.ReadFull(first, make([]byte, 5))
	assert.NilError(t, err)
	all, err := io.ReadAll(nextAttempt(t, b))
	assert.NilError(t, err)
	assert.Equal(t, string(all), "whole body")
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, errSuperseded)
}

// Guards against a target that is sent a body with a part missing, or the same part twice. A
// router refuses a forwarded upload as not run while the writer still waits for the caller's
// next bytes. The upload is attempted again and the bytes arrive: the old writer's read must
// not take the bytes that belong to the new attempt.
func TestBytesReadBySupersededAttemptReachTheNext(t *testing.T) {
	pr, pw := io.Pipe()
	b := newBody(t, pr)
	first := nextAttempt(t, b)
	firstErr := make(chan error, 1)
	notifier := &readNotifier{Reader: b.source, started: make(chan struct{})}
	b.source = notifier
	go func() {
		_, err := first.Read(make([]byte, 4))
		firstErr <- err
	}()
	<-notifier.started
	second := nextAttempt(t, b)
	go func() {
		_, _ = pw.Write([]byte("late bytes"))
		_ = pw.Close()
	}()
	all, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "late bytes")
	assert.ErrorIs(t, <-firstErr, errSuperseded)
}

// readNotifier closes a channel when the first read starts.
type readNotifier struct {
	io.Reader
	started  chan struct{}
	notified bool
}

func (r *readNotifier) Read(p []byte) (int, error) {
	if !r.notified {
		r.notified = true
		close(r.started)
	}
	return r.Reader.Read(p)
}

func TestBodyLongerThanKeptIsReadOnlyOnce(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), maxKeptBytes/5)
	b := newBody(t, bytes.NewReader(content))
	all, err := io.ReadAll(nextAttempt(t, b))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(all, content))
	_, ok := b.Rewind()
	assert.Assert(t, !ok)
}

func TestSecondAttemptReadsLongBodyWhole(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), maxKeptBytes/5)
	b := newBody(t, bytes.NewReader(content))
	_, err := io.ReadFull(nextAttempt(t, b), make([]byte, maxKeptBytes/2))
	assert.NilError(t, err)
	all, err := io.ReadAll(nextAttempt(t, b))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(all, content))
}
