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

func rewound(t *testing.T, b *Body) *Attempt {
	t.Helper()
	a, ok := b.Rewind()
	assert.Assert(t, ok)
	return a
}

func TestNextAttemptReadsWhatTheOneBeforeTook(t *testing.T) {
	b := newBody(t, bytes.NewReader([]byte("whole body")))
	first := rewound(t, b)
	_, err := io.ReadFull(first, make([]byte, 5))
	assert.NilError(t, err)
	all, err := io.ReadAll(rewound(t, b))
	assert.NilError(t, err)
	assert.Equal(t, string(all), "whole body")
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, errSuperseded)
}

// Symptom: a target is sent a body with a piece missing, or the same piece twice.
// Sequence: a router refuses a forwarded upload as not run while the writer still
// waits for the caller's next bytes; the upload is attempted again; the bytes come.
// Cause: the old writer's read takes bytes that belong to the new attempt.
func TestReadOfAnEndedAttemptIsNotLost(t *testing.T) {
	out, in := io.Pipe()
	b := newBody(t, out)
	first := rewound(t, b)
	ended := make(chan error, 1)
	entered := &enteredReader{Reader: b.source, entered: make(chan struct{})}
	b.source = entered
	go func() {
		_, err := first.Read(make([]byte, 4))
		ended <- err
	}()
	<-entered.entered
	second := rewound(t, b)
	go func() {
		_, _ = in.Write([]byte("late bytes"))
		_ = in.Close()
	}()
	all, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "late bytes")
	assert.ErrorIs(t, <-ended, errSuperseded)
}

// enteredReader tells once that a read has begun.
type enteredReader struct {
	io.Reader
	entered chan struct{}
	told    bool
}

func (r *enteredReader) Read(p []byte) (int, error) {
	if !r.told {
		r.told = true
		close(r.entered)
	}
	return r.Reader.Read(p)
}

func TestLongBodyIsReadWholeAndOnlyOnce(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), maxKeptBytes/5)
	b := newBody(t, bytes.NewReader(content))
	all, err := io.ReadAll(rewound(t, b))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(all, content))
	_, ok := b.Rewind()
	assert.Assert(t, !ok)
}

func TestLongBodyAfterASecondAttempt(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), maxKeptBytes/5)
	b := newBody(t, bytes.NewReader(content))
	_, err := io.ReadFull(rewound(t, b), make([]byte, maxKeptBytes/2))
	assert.NilError(t, err)
	all, err := io.ReadAll(rewound(t, b))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(all, content))
}
