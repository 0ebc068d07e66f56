package httpstore_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/kv/standin"
)

func TestWatchReturnsLastValueOfEachKey(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		first, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("old"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "a/2", 0, []byte("two"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "b/1", 0, []byte("elsewhere"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "a/1", first, []byte("new"))
		assert.NilError(t, err)
		records, revision, err := s.Watch(ctx, "a/", 0)
		assert.NilError(t, err)
		assert.Equal(t, revision, b.platform.Revision())
		assert.Equal(t, len(records), 2)
		assert.Equal(t, string(records[0].Value), "two")
		assert.Equal(t, string(records[1].Value), "new")
	})
}

// watchResult is what a watch in the background returned.
type watchResult struct {
	records  []kv.Record
	revision kv.Revision
	err      error
}

// watchInBackground starts a watch and returns once the store has counted it.
func watchInBackground(t *testing.T, b *bench, s client, ctx context.Context, since kv.Revision) <-chan watchResult {
	t.Helper()
	before := b.platform.Calls()[kv.CallWatch]
	results := make(chan watchResult, 1)
	go func() {
		records, revision, err := s.Watch(ctx, "a/", since)
		results <- watchResult{records, revision, err}
	}()
	waittest.Until(t, "the watch is counted", func() bool { return b.platform.Calls()[kv.CallWatch] > before })
	return results
}

func TestWatchWaits(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, cancel := context.WithCancel(context.Background())
		s := b.connect("a")
		results := watchInBackground(t, b, s, ctx, 0)
		_, err := s.CompareAndSwap(ctx, "b/1", 0, []byte("elsewhere"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
		got := <-results
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.records), 1)
		assert.Equal(t, got.records[0].Key, "a/1")

		results = watchInBackground(t, b, s, ctx, got.revision)
		cancel()
		got = <-results
		assert.ErrorIs(t, got.err, context.Canceled)
	})
}

// Symptom: a router misses a change for good.
// Sequence: it is cut off while more changes happen than the store has history
// for, then goes on watching from its old revision.
// Cause: a store that silently starts at the oldest change it still has.
func TestWatchOfCompactedRevisionIsRefused(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		revision := kv.Revision(0)
		for range history + 1 {
			next, err := s.CompareAndSwap(ctx, "a/1", revision, []byte("x"))
			assert.NilError(t, err)
			revision = next
		}
		_, _, err := s.Watch(ctx, "a/", 0)
		assert.ErrorIs(t, err, kv.ErrCompacted)
		_, _, err = s.Watch(ctx, "a/", 1)
		assert.NilError(t, err)
		_, since, err := s.List(ctx, "a/")
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "a/1", revision, []byte("y"))
		assert.NilError(t, err)
		records, _, err := s.Watch(ctx, "a/", since)
		assert.NilError(t, err)
		assert.Equal(t, string(records[0].Value), "y")
		b.platform.Compact()
		_, _, err = s.Watch(ctx, "a/", since)
		assert.ErrorIs(t, err, kv.ErrCompacted)
	})
}

// Symptom: a router never learns of changes again.
// Sequence: the platform's service is replaced and counts from a lower revision;
// a watch goes on from the higher one.
// Cause: waiting for a revision that the new service reaches much later, if ever.
func TestWatchAheadOfTheStoreIsRefused(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		_, _, err := b.connect("a").Watch(context.Background(), "a/", 99)
		assert.ErrorIs(t, err, kv.ErrCompacted)
	})
}

func TestBrokenWatchFails(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		results := watchInBackground(t, b, s, ctx, 0)
		b.platform.SetWatchFault(standin.WatchBroken)
		got := <-results
		assert.ErrorIs(t, got.err, kv.ErrUnavailable)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
	})
}

func TestSilentWatchHangsUntilItsContextEnds(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := b.connect("a")
		b.platform.SetWatchFault(standin.WatchSilent)
		results := watchInBackground(t, b, s, ctx, 0)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
		select {
		case got := <-results:
			t.Fatalf("a silent watch returned %+v", got)
		case <-time.After(50 * time.Millisecond):
		}
		cancel()
		assert.ErrorIs(t, (<-results).err, context.Canceled)
	})
}
