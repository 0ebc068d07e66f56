package confstore

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/patch"
	"tarragongw/examples"
	"tarragongw/internal/proptest"
	"tarragongw/kv"
)

func TestMain(m *testing.M) { proptest.Main(m, "1") }

// drawTargets returns a next model, in which targets were added, removed, or had Drain toggled.
func drawTargets(t *rapid.T, present *model.Model) *model.Model {
	next := *present
	next.Revision++
	next.Targets = slices.Clone(present.Targets)
	for range rapid.IntRange(1, 4).Draw(t, "edits") {
		i := rapid.IntRange(0, len(next.Targets)-1).Draw(t, "target")
		switch added := next.Targets[i]; rapid.IntRange(0, 2).Draw(t, "edit") {
		case 0:
			next.Targets[i].Drain = !next.Targets[i].Drain
		case 1:
			next.Targets = slices.Delete(next.Targets, i, i+1)
		case 2:
			added.Name = fmt.Sprintf("t-%04d-%d", i, len(next.Targets))
			next.Targets = append(next.Targets, added)
		}
	}
	next.Sort()
	next.Targets = slices.CompactFunc(next.Targets, func(a, b model.Target) bool { return a.Name == b.Name })
	return &next
}

// Decoding a record in pieces, with unchanged pieces taken from the state before, gives the
// same model as decoding it whole, also if records are missed, repeated or out of order.
// Encoding with reused pieces gives the same bytes as encoding from scratch, a patch between
// two records reproduces the newer one, and History returns each model.
func TestReadingInPiecesEqualsReadingWhole(t *testing.T) {
	first, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	target := first.Targets[0]
	for i := range 200 {
		target.Name, target.Address = fmt.Sprintf("t-%04d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		first.Targets = append(first.Targets, target)
	}
	first.Sort()
	rapid.Check(t, func(t *rapid.T) {
		present := first
		var records []kv.Record
		var state *State
		var history History
		var models []*model.Model
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			present = drawTargets(t, present)
			models = append(models, present)
			history.Add(present)
			value, err := (&State{Model: present}).encode("op", state)
			assert.NilError(t, err)
			fresh, err := (&State{Model: present}).encode("op", nil)
			assert.NilError(t, err)
			assert.Equal(t, string(value), string(fresh))
			rec := kv.Record{Key: Key, Value: value, Revision: kv.Revision(present.Revision)}
			records = append(records, rec)
			at := max(0, len(records)-rapid.IntRange(1, 3).Draw(t, "late"))
			whole, err := Decode(records[at])
			assert.NilError(t, err)
			before := state
			state, err = DecodeAfter(before, records[at])
			assert.NilError(t, err)
			assert.Assert(t, before == nil || &state.Model.Services[0] == &before.Model.Services[0], "unchanged services were decoded again")
			assert.Assert(t, reflect.DeepEqual(state.Model, whole.Model))

			got, err := patch.Apply(records[0].Value, patch.Make(records[0].Value, value), len(value))
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(value))
		}
		for _, m := range models {
			assert.Assert(t, reflect.DeepEqual(history.Find(m.Revision), m), "revision %d", m.Revision)
		}
		assert.Assert(t, history.Find(present.Revision+1) == nil)
	})
}

// Guards against an accepted change whose record no router can read: when a target is
// appended after a full last piece and that piece is reused unchanged, the comma that must
// now follow it is missing.
func TestAddingAtTheEnd(t *testing.T) {
	m := &model.Model{}
	var before *State
	for i := range 200 {
		next := *m
		next.Targets = append(slices.Clip(m.Targets), model.Target{Name: fmt.Sprintf("t-%04d", i)})
		m = &next
		state := &State{Model: m}
		value, err := state.encode("op", before)
		assert.NilError(t, err)
		fresh, err := (&State{Model: m}).encode("op", nil)
		assert.NilError(t, err)
		assert.Equal(t, string(value), string(fresh), "%d targets", i+1)
		before = state
	}
}
