package request

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestClassNamesRoundTrip(t *testing.T) {
	for _, class := range []Class{Interactive, Batch} {
		parsed, ok := ParseClass(class.String())
		assert.Assert(t, ok && parsed == class)
	}
	_, ok := ParseClass("urgent")
	assert.Assert(t, !ok)
}

func TestRepeatableByMethodAndOverride(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE"} {
		assert.Assert(t, RepeatableMethod(method), method)
	}
	for _, method := range []string{"POST", "PUT", "PATCH", "DELETE", "get", ""} {
		assert.Assert(t, !RepeatableMethod(method), method)
	}
	for value, want := range map[string]bool{"true": true, "repeatable": true, "false": false, "at-most-once": false} {
		got, ok := ParseRepeatable(value)
		assert.Assert(t, ok && got == want, value)
	}
	_, ok := ParseRepeatable("maybe")
	assert.Assert(t, !ok)
}
