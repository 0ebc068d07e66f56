package kv_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/kv"
	"tarragongw/kv/standin"
)

func TestPrefixedStoreSeesOnlyKeysUnderItsPrefix(t *testing.T) {
	ctx := context.Background()
	store := standin.New(standin.Config{}).Client("test")
	sub := kv.Prefixed(store, "ours/")
	_, err := store.CompareAndSwap(ctx, "theirs/a", 0, []byte("theirs"))
	assert.NilError(t, err)
	revision, err := sub.CompareAndSwap(ctx, "a", 0, []byte("ours"))
	assert.NilError(t, err)

	rec, err := store.Get(ctx, "ours/a")
	assert.NilError(t, err)
	assert.Equal(t, string(rec.Value), "ours")
	records, _, err := sub.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Key, "a")
	changes, _, err := sub.Watch(ctx, "", revision-1)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Key, "a")
}
