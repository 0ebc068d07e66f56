// Package faulttest compares faults in tests.
package faulttest

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

// Is fails the test if f is nil, has another kind, or differs on whether the request ran.
// The message is used as by assert.Equal.
func Is(t testing.TB, f *fault.Fault, kind fault.Kind, ran fault.Ran, message ...any) {
	t.Helper()
	assert.Assert(t, f != nil, message...)
	assert.Equal(t, f.Kind, kind, message...)
	assert.Equal(t, f.Ran, ran, message...)
}
