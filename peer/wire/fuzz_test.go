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

// damaged adds a whole message, one cut short and one with a length beyond its end.
func damaged(f *testing.F, whole []byte, err error) {
	f.Helper()
	assert.NilError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{})
}

// The fuzz targets of this file hold a decoder to refuse what it can't read, and to
// read back what it read and wrote again.

func FuzzDecodeMembership(f *testing.F) {
	whole, err := EncodeMembership(&membership.Message{
		Kind: membership.Push, Seq: 3, Silent: time.Second, SilentMembers: []string{"b"},
		Digests: []membership.DCDigest{{DataCentre: "lapu", Sum: 9}},
		Links:   []membership.Link{{From: "a", Incarnation: 2, DataCentre: "lapu", Seq: 3, Up: true}},
		Updates: []membership.Update{{Member: membership.Member{Name: "a", DataCentre: "lapu", Incarnation: 4}, State: membership.Lost}},
	})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMembership(b)
		if err != nil {
			return
		}
		assert.Assert(t, m.RevisionAge >= 0 && m.Silent >= 0, "%+v", m)
		again, err := EncodeMembership(&m)
		assert.NilError(t, err)
		back, err := DecodeMembership(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
	})
}

func FuzzDecodeSpread(f *testing.F) {
	whole, err := EncodeSpread(&spread.Message{
		Kind: 3, Root: "a", Seq: 4, Sums: []uint64{1}, Items: []spread.Item{{Hash: 1, Revision: 8}}, Hashes: []uint64{77},
		Rows:    []spread.Row{{Router: "a", DataCentre: "lapu", State: "alive", Revision: 3, Age: time.Second}},
		Entries: []spread.Entry{{Key: "config/x", Revision: 12, Class: spread.Configuration, Value: []byte("v")}},
		Patches: []spread.Patch{{Key: "config/x", Revision: 13, Class: spread.Configuration, Base: 12, Sum: 5, Bytes: []byte("p")}},
	})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeSpread(b)
		if err != nil {
			return
		}
		again, err := EncodeSpread(&m)
		assert.NilError(t, err)
		back, err := DecodeSpread(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
	})
}

func FuzzDecodeConfirm(f *testing.F) {
	whole, err := EncodeConfirm(&confirm.Message{
		Kind: confirm.Kind(peerpb.Confirm_QUESTION), Incarnation: 2, Sequence: 3, Known: []confirm.Known{{Target: "t", Revision: 4}},
		Changed: []confirm.Change{{Index: 1, Revision: 5, Value: []byte("v")}},
	})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeConfirm(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Known) <= confirm.MaxTargets && len(m.Changed) <= confirm.MaxTargets)
		again, err := EncodeConfirm(&m)
		assert.NilError(t, err)
		back, err := DecodeConfirm(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
	})
}

func FuzzDecodeCompactLoad(f *testing.F) {
	whole, err := EncodeCompactLoad(&peerpb.LoadReport{Service: "faq", Target: "t", Units: []*peerpb.UnitLoad{{Unit: "faq/1", Load: 2.5, HotKeyHash: 3}}})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := DecodeCompactLoad(b); err == nil {
			assert.Assert(t, len(m.Units) <= MaxUnitLoads)
			_, err = EncodeCompactLoad(m)
			assert.NilError(t, err)
		}
	})
}

func FuzzDecodeLoad(f *testing.F) {
	whole, err := EncodeLoad(&peerpb.LoadReport{Service: "faq", Target: "t", Term: 8, Units: []*peerpb.UnitLoad{{Unit: "faq/1", Load: 2.5}}})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeLoad(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Units) <= MaxUnitLoads)
		for _, u := range m.Units {
			// NaN and infinity would spoil every sum that they go into.
			assert.Assert(t, u.Load >= 0 && u.Load-u.Load == 0, "load %v", u.Load)
			assert.Assert(t, u.HotLoad >= 0 && u.HotLoad-u.HotLoad == 0, "hot load %v", u.HotLoad)
		}
		again, err := EncodeLoad(m)
		assert.NilError(t, err)
		back, err := DecodeLoad(again)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(back, m))
	})
}

func FuzzDecodeMoves(f *testing.F) {
	whole, err := EncodeMoves(&peerpb.MoveOrder{Service: "faq", From: "t", Moves: []*peerpb.UnitMove{{Unit: "faq/1", To: "u"}}})
	damaged(f, whole, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMoves(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(m.Moves) <= MaxUnitMoves)
		again, err := EncodeMoves(m)
		assert.NilError(t, err)
		back, err := DecodeMoves(again)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(back, m))
	})
}
