package kv_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/kv"
	"tarragongw/kv/standin"
)

func TestPrefixedSeesOnlyItsPart(t *testing.T) {
	ctx := context.Background()
	whole := standin.New(standin.Config{}).Client("test")
	part := kv.Prefixed(whole, "ours/")
	_, err := whole.CompareAndSwap(ctx, "theirs/a", 0, []byte("theirs"))
	assert.NilError(t, err)
	revision, err := part.CompareAndSwap(ctx, "a", 0, []byte("ours"))
	assert.NilError(t, err)

	rec, err := whole.Get(ctx, "ours/a")
	assert.NilError(t, err)
	assert.Equal(t, string(rec.Value), "ours")
	records, _, err := part.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Key, "a")
	changed, _, err := part.Watch(ctx, "", revision-1)
	assert.NilError(t, err)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Key, "a")
}
