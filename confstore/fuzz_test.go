package confstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/kv"
)

// FuzzDecodeRecord checks that a record of the store is either refused or gives a model
// whose encoding decodes to the same revision, and that decoding it in pieces gives the
// same model. Packed data never unpacks beyond its limit.
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
		fromPieces, piecesErr := DecodeAfter(nil, kv.Record{Value: value, Revision: 1})
		if err != nil {
			return
		}
		assert.NilError(t, piecesErr)
		assert.DeepEqual(t, fromPieces.Model, s.Model)
		encoded, err := s.encode("op-2", fromPieces)
		assert.NilError(t, err)
		decoded, err := Decode(kv.Record{Value: encoded, Revision: 2})
		assert.NilError(t, err)
		assert.Equal(t, decoded.Revision(), s.Revision())
		ops, err := opsOf(encoded)
		assert.NilError(t, err)
		assert.Assert(t, len(ops) >= 1 && len(ops) <= maxRecordedOps)
	})
}
