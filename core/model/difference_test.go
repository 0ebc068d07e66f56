package model

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// changeValue replaces v by another value of the same type.
func changeValue(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Int:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Map:
		v.Set(reflect.ValueOf(Labels{"a": "c"}))
	case reflect.Struct:
		changeValue(t, v.Field(0))
	default:
		t.Fatalf("changeValue does not support the type %s", v.Type())
	}
}

// assertEveryFieldCompared checks that same reports a difference in any single field.
func assertEveryFieldCompared[T any](t *testing.T, base T, same func(a, b *T) bool) {
	t.Helper()
	unchanged := base
	assert.Assert(t, same(&base, &unchanged))
	for i := range reflect.TypeFor[T]().NumField() {
		changed := base
		changeValue(t, reflect.ValueOf(&changed).Elem().Field(i))
		assert.Assert(t, !same(&base, &changed), "%T: %s", base, reflect.TypeFor[T]().Field(i).Name)
	}
}

// The fields of targets, ranges and callers are compared by handwritten code. If a field
// added to the model were missing there, a change of it would not be noticed, and a router
// would go on with the old value.
func TestCompareSeesEveryField(t *testing.T) {
	labels := Labels{"a": "b"}
	assertEveryFieldCompared(t, Target{Labels: labels}, sameTarget)
	assertEveryFieldCompared(t, KeyRange{Labels: labels}, sameRange)
	assertEveryFieldCompared(t, Caller{Labels: labels}, sameCaller)
}
