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
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
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
		assert.Equal(t, revision, f.platform.Revision())
		assert.Equal(t, len(records), 2)
		assert.Equal(t, string(records[0].Value), "two")
		assert.Equal(t, string(records[1].Value), "new")
	})
}

// watchResult is the result of a watch in the background.
type watchResult struct {
	records  []kv.Record
	revision kv.Revision
	err      error
}

// watchInBackground starts a watch and returns once the store has counted it.
func watchInBackground(t *testing.T, f *fixture, s client, ctx context.Context, since kv.Revision) <-chan watchResult {
	t.Helper()
	before := f.platform.Calls()[kv.CallWatch]
	results := make(chan watchResult, 1)
	go func() {
		records, revision, err := s.Watch(ctx, "a/", since)
		results <- watchResult{records, revision, err}
	}()
	waittest.Until(t, "the watch is counted", func() bool { return f.platform.Calls()[kv.CallWatch] > before })
	return results
}

func TestWatchWaitsForAChange(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(context.Background())
		s := f.connect("a")
		results := watchInBackground(t, f, s, ctx, 0)
		_, err := s.CompareAndSwap(ctx, "b/1", 0, []byte("elsewhere"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
		got := <-results
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.records), 1)
		assert.Equal(t, got.records[0].Key, "a/1")

		results = watchInBackground(t, f, s, ctx, got.revision)
		cancel()
		got = <-results
		assert.ErrorIs(t, got.err, context.Canceled)
	})
}

// Guards against a router that never sees a change: it is disconnected while more changes happen
// than the history has room for, and continues watching from its old revision. Without an error the
// watch would start at the oldest change in the history.
func TestWatchOfCompactedRevisionIsRefused(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		revision := kv.Revision(0)
		for range historySize + 1 {
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
		f.platform.Compact()
		_, _, err = s.Watch(ctx, "a/", since)
		assert.ErrorIs(t, err, kv.ErrCompacted)
	})
}

// Guards against a router that no longer sees changes: the platform's store is replaced by one that
// starts at a lower revision, and a watch from the higher one would wait until the new store
// reaches it.
func TestWatchAheadOfTheStoreIsRefused(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		_, _, err := f.connect("a").Watch(context.Background(), "a/", 99)
		assert.ErrorIs(t, err, kv.ErrCompacted)
	})
}

func TestBrokenWatchFails(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		results := watchInBackground(t, f, s, ctx, 0)
		f.platform.SetWatchFault(standin.WatchBroken)
		got := <-results
		assert.ErrorIs(t, got.err, kv.ErrUnavailable)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
	})
}

func TestSilentWatchHangsUntilItsContextEnds(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := f.connect("a")
		f.platform.SetWatchFault(standin.WatchSilent)
		results := watchInBackground(t, f, s, ctx, 0)
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
