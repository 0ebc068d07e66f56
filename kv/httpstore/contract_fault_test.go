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
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		results := watchInBackground(t, f, s, ctx, 0)
		f.platform.SetDown(true)
		assert.ErrorIs(t, (<-results).err, kv.ErrUnavailable)
		assertUnreachable(t, s)
		f.platform.SetDown(false)
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

func TestCutOffDataCentreCanNotReachTheStore(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, cut, other := context.Background(), f.connect("lapu/router-1"), f.connect("lapu-lapu/router-1")
		f.platform.CutOff("lapu", true)
		assertUnreachable(t, cut)
		_, err := other.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.NilError(t, err)
		f.platform.CutOff("lapu", false)
		_, err = cut.Get(ctx, "a/1")
		assert.NilError(t, err)
	})
}

// Guards against a write that is reported as failed although it took effect: its reply is lost, and
// the client takes every error for a call without effect.
func TestLostReplyIsUnknown(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		f.platform.LoseReplies(kv.CallCAS, 1)
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.ErrorIs(t, err, kv.ErrUnknown)
		record, err := s.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Equal(t, string(record.Value), "one")
		_, err = s.CompareAndSwap(ctx, "a/1", record.Revision, []byte("two"))
		assert.NilError(t, err)
		f.platform.LoseReplies(kv.CallAcquire, 1)
		_, err = s.Acquire(ctx, "duty", "a", time.Minute)
		assert.ErrorIs(t, err, kv.ErrUnknown)
		_, err = s.Acquire(ctx, "duty", "a", time.Minute)
		assert.NilError(t, err)
	})
}

// A slow store may apply a write long after the caller's context has ended. That can't be prevented,
// so callers must handle it, and the stand-in reproduces it.
func TestSlowWriteTakesEffectAfterItsCallerCancelled(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		s := f.connect("a")
		f.platform.SetDelay(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-f.clock.delayed
			cancel()
		}()
		_, err := s.CompareAndSwap(ctx, "a/1", 0, []byte("one"))
		assert.ErrorIs(t, err, kv.ErrUnknown)
		_, err = s.Get(ctx, "a/1")
		assert.ErrorIs(t, err, kv.ErrUnavailable)
		f.platform.SetDelay(0)
		waittest.Until(t, "the write takes effect", func() bool { return f.platform.Revision() > 0 })
		_, err = s.Get(context.Background(), "a/1")
		assert.NilError(t, err)
	})
}

func TestStaleListOfVMs(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		old := []kv.VM{{Name: "r1", DataCentre: "lapu", PeerAddress: "127.0.0.1:1"}}
		current := []kv.VM{{Name: "r1", DataCentre: "lapu", PeerAddress: "127.0.0.1:1", Leaving: true}}
		f.platform.SetVMs(old)
		f.platform.SetStaleVMs(true)
		f.platform.SetVMs(current)
		vms, err := s.VMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, old)
		f.platform.SetStaleVMs(false)
		vms, err = s.VMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, current)
	})
}
