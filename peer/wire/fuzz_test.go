package wire

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"tarragongw/core/confirm"
	"tarragongw/core/membership"
	"tarragongw/core/spread"
	"tarragongw/peer/peerpb"
)

// addSeeds adds to the corpus the encoded message, its first half, a field whose length
// exceeds the input, and the empty input.
func addSeeds(f *testing.F, encoded []byte, err error) {
	f.Helper()
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{})
}

// The fuzz targets in this file check that a decoder returns an error for input that it
// can't read, and that an accepted message can be encoded again; except for the compact
// load report, decoding it once more must return the same message.

func FuzzDecodeMembership(f *testing.F) {
	encoded, err := EncodeMembership(&membership.Message{
		Kind: membership.Push, Seq: 3, Silent: time.Second, SilentMembers: []string{"b"},
		Digests: []membership.DCDigest{{DataCentre: "lapu", Sum: 9}},
		Links:   []membership.Link{{From: "a", Incarnation: 2, DataCentre: "lapu", Seq: 3, Up: true}},
		Updates: []membership.Update{{Member: membership.Member{Name: "a", DataCentre: "lapu", Incarnation: 4}, State: membership.Lost}},
	})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMembership(b)
		if err != nil {
			return
		}
		assert.Assert(t, m.RevisionAge >= 0 && m.Silent >= 0, "%+v", m)
		reencoded, err := EncodeMembership(&m)
		assert.NilError(t, err)
		decoded, err := DecodeMembership(reencoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
	})
}

func FuzzDecodeSpread(f *testing.F) {
	encoded, err := EncodeSpread(&spread.Message{
		Kind: 3, Root: "a", Seq: 4, Sums: []uint64{1}, Items: []spread.Item{{Hash: 1, Revision: 8}}, Hashes: []uint64{77},
		Rows:    []spread.Row{{Router: "a", DataCentre: "lapu", State: "alive", Revision: 3, Age: time.Second}},
		Entries: []spread.Entry{{Key: "config/x", Revision: 12, Class: spread.Configuration, Value: []byte("v")}},
		Patches: []spread.Patch{{Key: "config/x", Revision: 13, Class: spread.Configuration, Base: 12, Sum: 5, Bytes: []byte("p")}},
	})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeSpread(b)
		if err != nil {
			return
		}
		reencoded, err := EncodeSpread(&m)
		assert.NilError(t, err)
		decoded, err := DecodeSpread(reencoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
	})
}

func FuzzDecodeConfirm(f *testing.F) {
	encoded, err := EncodeConfirm(&confirm.Message{
		Kind: confirm.Kind(peerpb.Confirm_QUESTION), Incarnation: 2, Sequence: 3, Known: []confirm.Known{{Target: "t", Revision: 4}},
		Changed: []confirm.Change{{Index: 1, Revision: 5, Value: []byte("v")}},
	})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeConfirm(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Known) <= confirm.MaxTargets && len(m.Changed) <= confirm.MaxTargets)
		reencoded, err := EncodeConfirm(&m)
		assert.NilError(t, err)
		decoded, err := DecodeConfirm(reencoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
	})
}

func FuzzDecodeCompactLoad(f *testing.F) {
	encoded, err := EncodeCompactLoad(&peerpb.LoadReport{Service: "faq", Target: "t", Units: []*peerpb.UnitLoad{{Unit: "faq/1", Load: 2.5, HotKeyHash: 3}}})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := DecodeCompactLoad(b); err == nil {
			assert.Assert(t, len(m.Units) <= MaxUnitLoads)
			_, err = EncodeCompactLoad(m)
			assert.NilError(t, err)
		}
	})
}

func FuzzDecodeLoad(f *testing.F) {
	encoded, err := EncodeLoad(&peerpb.LoadReport{Service: "faq", Target: "t", Term: 8, Units: []*peerpb.UnitLoad{{Unit: "faq/1", Load: 2.5}}})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeLoad(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Units) <= MaxUnitLoads)
		for _, u := range m.Units {
			// A NaN or infinite load would make every sum that includes it NaN or infinite.
			assert.Assert(t, u.Load >= 0 && u.Load-u.Load == 0, "load %v", u.Load)
			assert.Assert(t, u.HotLoad >= 0 && u.HotLoad-u.HotLoad == 0, "hot load %v", u.HotLoad)
		}
		reencoded, err := EncodeLoad(m)
		assert.NilError(t, err)
		decoded, err := DecodeLoad(reencoded)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(decoded, m))
	})
}

func FuzzDecodeMoves(f *testing.F) {
	encoded, err := EncodeMoves(&peerpb.MoveOrder{Service: "faq", From: "t", Moves: []*peerpb.UnitMove{{Unit: "faq/1", To: "u"}}})
	addSeeds(f, encoded, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMoves(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Moves) <= MaxUnitMoves)
		reencoded, err := EncodeMoves(m)
		assert.NilError(t, err)
		decoded, err := DecodeMoves(reencoded)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(decoded, m))
	})
}
