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

// counter is a record whose value must grow by one with each write.
type counter struct {
	Value int     `json:"value"`
	Ops   []kv.Op `json:"ops"`
}

const keptOps = 3

// next returns the counter after one more write.
func (c counter) next(op kv.Op) counter {
	ops := append([]kv.Op{op}, c.Ops...)
	return counter{Value: c.Value + 1, Ops: ops[:min(len(ops), keptOps)]}
}

func decode(t *testing.T, value []byte) (c counter) {
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

// read returns the counter and its revision.
func read(t *testing.T, s kv.Store) (counter, kv.Revision) {
	t.Helper()
	record, err := s.Get(context.Background(), "counter")
	if errors.Is(err, kv.ErrNotFound) {
		return counter{}, 0
	}
	assert.NilError(t, err)
	return decode(t, record.Value), record.Revision
}

// increment returns the write that adds one to what the store now holds.
func increment(t *testing.T, s kv.Store, id string) kv.Write {
	t.Helper()
	c, revision := read(t, s)
	value, err := json.Marshal(c.next(kv.Op{ID: id, Base: revision}))
	assert.NilError(t, err)
	return kv.Write{Key: "counter", OpID: id, Expect: revision, Value: value}
}

func settler(s kv.Store) kv.Settler {
	return kv.Settler{
		Store:  s,
		Ops:    counterOps,
		Sleep:  func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		Random: func() float64 { return 0.5 },
	}
}

// add increments with a settled write and expects it to land.
func add(t *testing.T, s kv.Store, id string) {
	t.Helper()
	got, err := settler(s).Write(context.Background(), increment(t, s, id))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
}

// Symptom: a payout is released twice.
// Sequence: the write takes effect, its reply is lost, the writer reads the
// record again and applies its change on top.
// Cause: a lost reply is taken for a failure.
func TestLostReplyIsSettledByOpID(t *testing.T) {
	for _, start := range []string{"absent", "present"} {
		t.Run(start, func(t *testing.T) {
			p := standin.New(standin.Config{})
			s := p.Client("a")
			want := 1
			if start == "present" {
				add(t, s, "op-0")
				want = 2
			}
			p.LoseReplies(kv.CallCAS, 1)
			got, err := settler(s).Write(context.Background(), increment(t, s, "op-1"))
			assert.NilError(t, err)
			assert.Equal(t, got.Outcome, kv.Landed)
			c, revision := read(t, s)
			assert.Equal(t, c.Value, want)
			assert.Equal(t, got.Revision, revision)
		})
	}
}

// The same sequence with a retry on a fresh read: what the settler is there to
// prevent does happen, so the test above can fail.
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
	c, _ := read(t, s)
	assert.Equal(t, c.Value, 2)
}

// Symptom: a change is reported as lost although it holds.
// Sequence: the write takes effect, its reply is lost, another writer changes the
// record before it is read back.
// Cause: looking only at the record's last writer.
func TestLandedWriteUnderLaterOnes(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := p.Client("a"), p.Client("b")
	p.LoseReplies(kv.CallCAS, 1)
	st := settler(s)
	st.Sleep = func(context.Context, time.Duration) error {
		add(t, other, "op-2")
		return nil
	}
	got, err := st.Write(context.Background(), increment(t, s, "op-1"))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
	assert.Equal(t, got.Revision, kv.Revision(0))
	c, _ := read(t, s)
	assert.Equal(t, c.Value, 2)
}

// lossy loses the next compare-and-swap altogether, or holds it back.
type lossy struct {
	kv.Store
	drop int
	held func()
}

func (l *lossy) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if l.drop == 0 {
		return l.Store.CompareAndSwap(ctx, key, expect, value)
	}
	l.drop--
	l.held = func() { _, _ = l.Store.CompareAndSwap(ctx, key, expect, value) }
	return 0, kv.ErrUnknown
}

// Symptom: a change acknowledged as not made appears later.
// Sequence: the write is delayed on its way, its caller reads back, finds the
// record as it was, and the delayed write lands after that.
// Cause: an unchanged record is taken for proof that the write is lost.
func TestDelayedWriteCannotLandTwice(t *testing.T) {
	p := standin.New(standin.Config{})
	s := &lossy{Store: p.Client("a"), drop: 1}
	got, err := settler(s).Write(context.Background(), increment(t, s, "op-1"))
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, kv.Landed)
	s.held()
	c, revision := read(t, s)
	assert.Equal(t, c.Value, 1)
	assert.Equal(t, revision, got.Revision)
}

func TestWriteThatLostTheRaceHasNotLanded(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := &lossy{Store: p.Client("a"), drop: 1}, p.Client("b")
	w := increment(t, s, "op-1")
	add(t, other, "op-2")
	got, err := settler(s).Write(context.Background(), w)
	assert.ErrorIs(t, err, kv.ErrConflict)
	assert.Equal(t, got.Outcome, kv.NotLanded)
	assert.Equal(t, decode(t, got.Current.Value).Ops[0].ID, "op-2")
}

// Symptom: a change is reported as not made although it was, long ago.
// Sequence: the reply is lost, and so many writes follow that the record no
// longer remembers this one.
// Cause: absence from a bounded list is taken for proof.
func TestForgottenOpStaysUnknown(t *testing.T) {
	p := standin.New(standin.Config{})
	s, other := p.Client("a"), p.Client("b")
	p.LoseReplies(kv.CallCAS, 1)
	st := settler(s)
	st.Sleep = func(context.Context, time.Duration) error {
		for _, id := range []string{"op-2", "op-3", "op-4"} {
			add(t, other, id)
		}
		return nil
	}
	got, err := st.Write(context.Background(), increment(t, s, "op-1"))
	assert.ErrorIs(t, err, kv.ErrUnknown)
	assert.Equal(t, got.Outcome, kv.StillUnknown)
}

func TestUnknownWhileTheStoreIsDown(t *testing.T) {
	p := standin.New(standin.Config{})
	s := p.Client("a")
	ctx, cancel := context.WithCancel(context.Background())
	p.LoseReplies(kv.CallCAS, 1)
	st := settler(s)
	waits := 0
	st.Sleep = func(context.Context, time.Duration) error {
		p.SetDown(true)
		if waits++; waits == 5 {
			cancel()
		}
		return nil
	}
	got, err := st.Write(ctx, increment(t, s, "op-1"))
	assert.ErrorIs(t, err, kv.ErrUnknown)
	assert.Equal(t, got.Outcome, kv.StillUnknown)
}

func TestRefusedWriteHasNotLanded(t *testing.T) {
	p := standin.New(standin.Config{})
	s := p.Client("a")
	w := increment(t, s, "op-1")
	p.SetDown(true)
	got, err := settler(s).Write(context.Background(), w)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	assert.Equal(t, got.Outcome, kv.NotLanded)
	assert.DeepEqual(t, p.Calls(), map[kv.CallKind]uint64{kv.CallGet: 1, kv.CallCAS: 1})
}
