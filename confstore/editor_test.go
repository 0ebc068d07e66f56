package confstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/confstore"
	"tarragongw/core/model"
	"tarragongw/examples"
	"tarragongw/kv"
	"tarragongw/kv/standin"
)

var ctx = context.Background()

func example(t *testing.T) *model.Model {
	t.Helper()
	m, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	return m
}

func newEditor(store kv.Store) *confstore.Editor {
	now := func() time.Time { return time.Unix(1_800_000_000, 0) }
	return &confstore.Editor{Store: store, History: &confstore.History{}, Now: now}
}

// stored returns an editor over a store that holds the example as revision 1.
func stored(t *testing.T) (*standin.Platform, *confstore.Editor) {
	t.Helper()
	p := standin.New(standin.Config{})
	e := newEditor(p.Client("test"))
	result, err := e.Replace(ctx, 0, example(t), "first", false)
	assert.NilError(t, err)
	assert.Equal(t, result.State.Revision(), uint64(1))
	return p, e
}

func drain(name string) confstore.Edit {
	return func(present *model.Model) (*model.Model, error) {
		next := *present
		next.Targets = append([]model.Target(nil), present.Targets...)
		next.Target(name).Drain = true
		return &next, nil
	}
}

func TestChangeIncrementsRevision(t *testing.T) {
	_, e := stored(t)
	result, err := e.Change(ctx, "second", false, drain("faq-viewer-01"))
	assert.NilError(t, err)
	assert.Equal(t, result.State.Revision(), uint64(2))
	assert.Equal(t, len(result.Changes), 1)
	loaded, err := e.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Revision(), uint64(2))
	assert.Equal(t, loaded.Author, "second")
	assert.Assert(t, loaded.Model.Target("faq-viewer-01").Drain)
}

func TestDryRunAndNoChangeWriteNothing(t *testing.T) {
	p, e := stored(t)
	before := p.Revision()
	_, err := e.Change(ctx, "dry", true, drain("faq-viewer-01"))
	assert.NilError(t, err)
	same := func(present *model.Model) (*model.Model, error) { return present, nil }
	result, err := e.Change(ctx, "same", false, same)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Changes), 0)
	assert.Equal(t, p.Revision(), before)
}

// Guards against a change that fails because the store is unreachable for a moment.
func TestChangeRetriesUntilStoreIsReachable(t *testing.T) {
	p, e := stored(t)
	p.SetDown(true)
	restore := time.AfterFunc(500*time.Millisecond, func() { p.SetDown(false) })
	defer restore.Stop()
	result, err := e.Change(ctx, "second", false, drain("faq-viewer-01"))
	assert.NilError(t, err)
	assert.Equal(t, result.State.Revision(), uint64(2))
}

// operatorCallTimeout bounds the handling of one operator call.
const operatorCallTimeout = 10 * time.Second

// Guards against a change that is retried until the operator's call times out, so that the
// operator doesn't learn that nothing was changed.
func TestChangeFailsIfStoreStaysUnreachable(t *testing.T) {
	p, e := stored(t)
	p.SetDown(true)
	began := time.Now()
	_, err := e.Change(ctx, "second", false, drain("faq-viewer-01"))
	assert.Assert(t, errors.Is(err, kv.ErrUnavailable), "%v", err)
	assert.Assert(t, time.Since(began) < operatorCallTimeout)
	p.SetDown(false)
	loaded, err := e.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Revision(), uint64(1))
}

// Guards against a change that is applied twice, or reported as failed although it was
// applied: the store writes, its reply is lost, and the write is repeated or abandoned
// without reading the record back.
func TestLostReplyIsResolved(t *testing.T) {
	p, e := stored(t)
	p.LoseReplies(kv.CallCAS, 1)
	result, err := e.Change(ctx, "lost", false, drain("faq-viewer-01"))
	assert.NilError(t, err)
	assert.Equal(t, result.State.Revision(), uint64(2))
	loaded, err := e.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Revision(), uint64(2))
}

// Guards against the loss of an acknowledged change: two editors read the same revision,
// both write, and the second write overwrites the first.
func TestRaceKeepsBothChanges(t *testing.T) {
	p, first := stored(t)
	second := newEditor(p.Client("second"))
	raced := false
	edit := func(present *model.Model) (*model.Model, error) {
		if !raced {
			raced = true
			_, err := second.Change(ctx, "quicker", false, drain("faq-viewer-02"))
			assert.NilError(t, err)
		}
		return drain("faq-viewer-01")(present)
	}
	result, err := first.Change(ctx, "slower", false, edit)
	assert.NilError(t, err)
	assert.Equal(t, result.State.Revision(), uint64(3))
	assert.Assert(t, result.State.Model.Target("faq-viewer-01").Drain)
	assert.Assert(t, result.State.Model.Target("faq-viewer-02").Drain)
}

func TestReplaceFromOlderBase(t *testing.T) {
	_, e := stored(t)
	mine := example(t)
	mine.Targets[0].Slots = 2
	_, err := e.Change(ctx, "other", false, drain("faq-viewer-01"))
	assert.NilError(t, err)
	merged, err := e.Replace(ctx, 1, mine, "mine", false)
	assert.NilError(t, err)
	assert.Assert(t, merged.Merged)
	assert.Assert(t, merged.State.Model.Target("faq-viewer-01").Drain)

	otherEditor := newEditor(e.Store)
	_, err = otherEditor.Replace(ctx, 1, mine, "stranger", false)
	assert.Assert(t, errors.Is(err, confstore.ErrBaseForgotten), err)
}

func TestRefusedEditsWriteNothing(t *testing.T) {
	p, e := stored(t)
	before := p.Revision()
	cases := []struct {
		name string
		edit func(m *model.Model)
		want string
	}{
		{"dangling", func(m *model.Model) { m.Targets[0].Service = "nowhere" }, "nowhere"},
		{"fixed for life", func(m *model.Model) { m.Service("faq-viewer").HashSlots = 2048 }, "fixed for life"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mine := example(t)
			c.edit(mine)
			_, err := e.Replace(ctx, 1, mine, "wrong", false)
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, p.Revision(), before)
		})
	}
}

func TestStoreDownChangesNothing(t *testing.T) {
	p, e := stored(t)
	p.SetDown(true)
	_, err := e.Change(ctx, "down", false, drain("faq-viewer-01"))
	assert.Assert(t, errors.Is(err, kv.ErrUnavailable), err)
	p.SetDown(false)
	loaded, err := e.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Revision(), uint64(1))
}

func TestMalformedRecordIsRefused(t *testing.T) {
	for _, value := range []string{"", "{", `{"revision":1,"model":"AAAA"}`} {
		_, err := confstore.Decode(kv.Record{Key: confstore.Key, Value: []byte(value), Revision: 1})
		assert.Assert(t, err != nil, value)
	}
}
