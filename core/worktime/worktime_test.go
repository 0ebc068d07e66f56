package worktime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestTimeIsForgottenAfterAWhile(t *testing.T) {
	var l Longest
	began := time.Unix(1000, 0)
	_, known := l.Of(began, "a")
	assert.Assert(t, !known)
	l.Record(began, "a", 3*time.Second)
	l.Record(began.Add(time.Second), "a", time.Second)
	l.Record(began.Add(Window+time.Second), "a", 2*time.Second)
	got, known := l.Of(began.Add(Window+2*time.Second), "a")
	assert.Assert(t, known)
	assert.Equal(t, got, 3*time.Second)
	got, _ = l.Of(began.Add(2*Window), "a")
	assert.Equal(t, got, 2*time.Second)
	_, known = l.Of(began.Add(4*Window), "a")
	assert.Assert(t, !known)
	_, known = l.Of(began, "b")
	assert.Assert(t, !known)
}

func TestKindsOfWorkThatEndedAreForgotten(t *testing.T) {
	var l Longest
	began := time.Unix(1000, 0)
	l.Record(began, "a", time.Second)
	l.Record(began.Add(2*Window), "b", time.Second)
	assert.Equal(t, len(l.kinds), 1)
}
