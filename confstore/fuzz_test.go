package confstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/kv"
)

// FuzzDecodeRecord: a record of the store is refused or gives a model that encodes to
// a record which decodes to the same revision; packed data never unpacks beyond its
// limit. In pieces it gives the same.
func FuzzDecodeRecord(f *testing.F) {
	state := &State{Model: &model.Model{Revision: 3}, Author: "ann"}
	whole, err := state.encode("op-1", nil)
	assert.NilError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte(`{"revision":1,"model":"H4sIAAAAAAAA/6uuBQBDv6ajAgAAAA=="}`))
	f.Add([]byte(`{"revision":1,"model":"bm90IHBhY2tlZA=="}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(kv.Record{Value: value, Revision: 1})
		pieces, failed := DecodeAfter(nil, kv.Record{Value: value, Revision: 1})
		if err != nil {
			return
		}
		assert.NilError(t, failed)
		assert.DeepEqual(t, pieces.Model, s.Model)
		again, err := s.encode("op-2", pieces)
		assert.NilError(t, err)
		back, err := Decode(kv.Record{Value: again, Revision: 2})
		assert.NilError(t, err)
		assert.Equal(t, back.Revision(), s.Revision())
		ops, err := opsOf(again)
		assert.NilError(t, err)
		assert.Assert(t, len(ops) >= 1 && len(ops) <= keptOps)
	})
}
