package kv_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/kv"
	"tarragongw/kv/standin"
)

// counter is the value of a record that each write must increase by one.
type counter struct {
	Value int     `json:"value"`
	Ops   []kv.Op `json:"ops"`
}

const keptOps = 3

// next returns the counter after one more write, the op.
func (c counter) next(op kv.Op) counter {
	ops := append([]kv.Op{op}, c.Ops...)
	return counter{Value: c.Value + 1, Ops: ops[:min(len(ops), keptOps)]}
}

func decodeCounter(t *testing.T, value []byte) (c counter) {
	t.Helper()
	if len(value) > 0 {
		assert.NilError(t, json.Unmarshal(value, &c))
	}
	return c
}

func counterOps(value []byte) ([]kv.Op, error) {
	var c counter
	err := json.Unmarshal(value, &c)
	return c.Ops, err
}

// readCounter returns the counter and its revision.
func readCounter(t *testing.T, s kv.Store) (counter, kv.Revision) {
	t.Helper()
	record, err := s.Get(context.Background(), "counter")
	if errors.Is(err, kv.ErrNotFound) {
		return counter{}, 0
	}
	assert.NilError(t, err)
	return decodeCounter(t, record.Value), record.Revision
}

// increment returns a write that adds one to the current value in the store.
func increment(t *testing.T, s kv.Store, id string) kv.Write {
	t.Helper()
	c, revision := readCounter(t, s)
	value, err := json.Marshal(c.next(kv.Op{ID: id, Base: revision}))
	assert.NilError(t, err)
	return kv.Write{Key: "counter", OpID: id, Expect: revision, Value: value}
}

func newResolver(s kv.Store) kv.WriteResolver {
	return kv.WriteResolver{
		Store:  s,
		Ops:    counterOps,
		Sleep:  func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		Random: func() float64 { return 0.5 },
	}
}

// mustIncrement increments the counter and asserts that the write took effect.
func mustIncrement(t *testing.T, s kv.Store, id string) {
	t.Helper()
	got, err := newResolver(s).Write(context.Background(), increment(t, s, id))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
}

// Guards against a change that is applied twice, such as a payout: the write takes effect, its reply
// is lost, and a writer that takes this for a failure reads the record and applies the change again.
func TestLostReplyIsSettledByOpID(t *testing.T) {
	for _, start := range []string{"absent", "present"} {
		t.Run(start, func(t *testing.T) {
			p := standin.New(standin.Config{})
			s := p.Client("a")
			want := 1
			if start == "present" {
				mustIncrement(t, s, "op-0")
				want = 2
			}
			p.LoseReplies(kv.CallCAS, 1)
			got, err := newResolver(s).Write(context.Background(), increment(t, s, "op-1"))
			assert.NilError(t, err)
			assert.Equal(t, got.Outcome, kv.Landed)
			c, revision := readCounter(t, s)
			assert.Equal(t, c.Value, want)
			assert.Equal(t, got.Revision, revision)
		})
	}
}

// The same sequence with a retry after a new read, without checking the op ids: the change is applied
// twice, which shows that the test above can fail.
func TestBlindRetryAppliesTwice(t *testing.T) {
	p := standin.New(standin.Config{})
	s := p.Client("a")
	p.LoseReplies(kv.CallCAS, 1)
	for {
		w := increment(t, s, "op-1")
		if _, err := s.CompareAndSwap(context.Background(), w.Key, w.Expect, w.Value); err == nil {
			break
		}
	}
	c, _ := readCounter(t, s)
	assert.Equal(t, c.Value, 2)
}

// Guards against a change being reported as failed although it took effect: its reply is lost,
// another writer changes the record before it is read back, and only the last op is compared.
func TestLandedWriteIsFoundUnderLaterWrites(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := p.Client("a"), p.Client("b")
	p.LoseReplies(kv.CallCAS, 1)
	resolver := newResolver(s)
	resolver.Sleep = func(context.Context, time.Duration) error {
		mustIncrement(t, other, "op-2")
		return nil
	}
	got, err := resolver.Write(context.Background(), increment(t, s, "op-1"))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
	assert.Equal(t, got.Revision, kv.Revision(0))
	c, _ := readCounter(t, s)
	assert.Equal(t, c.Value, 2)
}

// delayingStore delays the next compare-and-swaps and returns ErrUnknown for them. deliver executes
// the last one; if it is not called, the write is lost.
type delayingStore struct {
	kv.Store
	delayNext int
	deliver   func()
}

func (d *delayingStore) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if d.delayNext == 0 {
		return d.Store.CompareAndSwap(ctx, key, expect, value)
	}
	d.delayNext--
	d.deliver = func() { _, _ = d.Store.CompareAndSwap(ctx, key, expect, value) }
	return 0, kv.ErrUnknown
}

// Guards against a change that is reported as not made and takes effect later: the write is delayed,
// its caller reads the record back, and takes the unchanged record for proof that the write is lost.
func TestDelayedWriteCannotLandTwice(t *testing.T) {
	p := standin.New(standin.Config{})
	s := &delayingStore{Store: p.Client("a"), delayNext: 1}
	got, err := newResolver(s).Write(context.Background(), increment(t, s, "op-1"))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
	s.deliver()
	c, revision := readCounter(t, s)
	assert.Equal(t, c.Value, 1)
	assert.Equal(t, revision, got.Revision)
}

func TestWriteThatLostARaceHasNotLanded(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := &delayingStore{Store: p.Client("a"), delayNext: 1}, p.Client("b")
	w := increment(t, s, "op-1")
	mustIncrement(t, other, "op-2")
	got, err := newResolver(s).Write(context.Background(), w)
	assert.ErrorIs(t, err, kv.ErrConflict)
	assert.Equal(t, got.Outcome, kv.NotLanded)
	assert.Equal(t, decodeCounter(t, got.Current.Value).Ops[0].ID, "op-2")
}

// Guards against a change being reported as not made although it took effect: the reply is lost, and
// so many writes follow that the record's bounded list of ops no longer contains this one.
func TestEvictedOpStaysUnknown(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := p.Client("a"), p.Client("b")
	p.LoseReplies(kv.CallCAS, 1)
	resolver := newResolver(s)
	resolver.Sleep = func(context.Context, time.Duration) error {
		for _, id := range []string{"op-2", "op-3", "op-4"} {
			mustIncrement(t, other, id)
		}
		return nil
	}
	got, err := resolver.Write(context.Background(), increment(t, s, "op-1"))
	assert.ErrorIs(t, err, kv.ErrUnknown)
	assert.Equal(t, got.Outcome, kv.StillUnknown)
}

func TestUnknownWhileTheStoreIsDown(t *testing.T) {
	p := standin.New(standin.Config{})
	s := p.Client("a")
	ctx, cancel := context.WithCancel(context.Background())
	p.LoseReplies(kv.CallCAS, 1)
	resolver := newResolver(s)
	waits := 0
	resolver.Sleep = func(context.Context, time.Duration) error {
		p.SetDown(true)
		if waits++; waits == 5 {
			cancel()
		}
		return nil
	}
	got, err := resolver.Write(ctx, increment(t, s, "op-1"))
	assert.ErrorIs(t, err, kv.ErrUnknown)
	assert.Equal(t, got.Outcome, kv.StillUnknown)
}

func TestRefusedWriteHasNotLanded(t *testing.T) {
	p := standin.New(standin.Config{})
	s := p.Client("a")
	w := increment(t, s, "op-1")
	p.SetDown(true)
	got, err := newResolver(s).Write(context.Background(), w)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	assert.Equal(t, got.Outcome, kv.NotLanded)
	assert.DeepEqual(t, p.Calls(), map[kv.CallKind]uint64{kv.CallGet: 1, kv.CallCAS: 1})
}
