package httpstore_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/kv"
)

func TestDownStoreRefusesEverything(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		results := watchInBackground(t, b, s, ctx, 0)
		b.platform.SetDown(true)
		assert.ErrorIs(t, (<-results).err, kv.ErrUnavailable)
		assertUnreachable(t, s)
		b.platform.SetDown(false)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
	})
}

func assertUnreachable(t *testing.T, s client) {
	t.Helper()
	ctx := context.Background()
	_, err := s.Get(ctx, "a/1")
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, _, err = s.List(ctx, "a/")
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = s.CompareAndSwap(ctx, "a/1", 0, []byte("x"))
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, _, err = s.Watch(ctx, "a/", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = s.Acquire(ctx, "duty", "a", time.Second)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = s.Renew(ctx, kv.Lease{Name: "duty"})
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	assert.ErrorIs(t, s.Release(ctx, kv.Lease{Name: "duty"}), kv.ErrUnavailable)
	_, err = s.VMs(ctx)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
}

func TestCutOffDataCentre(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, cut, other := context.Background(), b.connect("lapu/router-1"), b.connect("lapu-lapu/router-1")
		b.platform.CutOff("lapu", true)
		assertUnreachable(t, cut)
		_, err := other.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
		b.platform.CutOff("lapu", false)
		_, err = cut.Get(ctx, "a/1")
		assert.NilError(t, err)
	})
}

// Symptom: a write is reported as failed and shows up nevertheless.
// Sequence: the write takes effect and its reply is lost.
// Cause: a client that takes every error for "did not happen".
func TestLostReplyIsUnknown(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		b.platform.LoseReplies(kv.CallCAS, 1)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.ErrorIs(t, err, kv.ErrUnknown)
		record, err := s.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Equal(t, string(record.Value), "one")
		_, err = s.CompareAndSwap(ctx, "a/1", record.Revision, []byte("two"))
		assert.NilError(t, err)
		b.platform.LoseReplies(kv.CallAcquire, 1)
		_, err = s.Acquire(ctx, "duty", "a", time.Minute)
		assert.ErrorIs(t, err, kv.ErrUnknown)
		_, err = s.Acquire(ctx, "duty", "a", time.Minute)
		assert.NilError(t, err)
	})
}

// Symptom: a write lands long after its caller gave up on it.
// Sequence: the store is slow, the caller's context ends, the store goes on.
// Cause: none to mend: callers must count with it, so the stand-in does it.
func TestSlowWriteLandsAfterItsCallerGaveUp(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		s := b.connect("a")
		b.platform.SetDelay(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-b.clock.asleep
			cancel()
		}()
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.ErrorIs(t, err, kv.ErrUnknown)
		_, err = s.Get(ctx, "a/1")
		assert.ErrorIs(t, err, kv.ErrUnavailable)
		b.platform.SetDelay(0)
		waittest.Until(t, "the write lands", func() bool { return b.platform.Revision() > 0 })
		_, err = s.Get(context.Background(), "a/1")
		assert.NilError(t, err)
	})
}

func TestStaleListOfVMs(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		old := []kv.VM{{Name: "r1", DataCentre: "lapu", PeerAddress: "127.0.0.1:1"}}
		current := []kv.VM{{Name: "r1", DataCentre: "lapu", PeerAddress: "127.0.0.1:1", Leaving: true}}
		b.platform.SetVMs(old)
		b.platform.SetStaleVMs(true)
		b.platform.SetVMs(current)
		vms, err := s.VMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, old)
		b.platform.SetStaleVMs(false)
		vms, err = s.VMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, current)
	})
}
