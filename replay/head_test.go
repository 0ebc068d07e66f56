package replay

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHeadIsTheFirstBytesWhateverWasReadAfterThem(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), maxKeptBytes/5)
	b := newBody(t, bytes.NewReader(content))
	attempt := nextAttempt(t, b)
	_, known := b.Head(maxHead)
	assert.Assert(t, !known, "nothing was read yet")
	for _, read := range []int{maxHead, maxKeptBytes, maxHead} {
		_, err := io.CopyN(io.Discard, attempt, int64(read))
		assert.NilError(t, err)
		head, known := b.Head(maxHead)
		assert.Assert(t, known)
		assert.Assert(t, bytes.Equal(head, content[:maxHead]))
	}
}

func TestHeadOfShortBodyIsKnownOnceItHasEnded(t *testing.T) {
	b := newBody(t, bytes.NewReader([]byte("short")))
	attempt := nextAttempt(t, b)
	_, err := io.ReadFull(attempt, make([]byte, 5))
	assert.NilError(t, err)
	_, known := b.Head(maxHead)
	assert.Assert(t, !known, "more may follow")
	_, err = attempt.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	head, known := b.Head(maxHead)
	assert.Assert(t, known)
	assert.Equal(t, string(head), "short")
	var none *Body
	head, known = none.Head(maxHead)
	assert.Assert(t, known && len(head) == 0)
}
