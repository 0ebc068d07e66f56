package wire

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"tarragongw/peer/peerpb"
)

func TestLoadReportIsBoundedAndChecked(t *testing.T) {
	report := &peerpb.LoadReport{Service: "s", Target: "t", Term: 7}
	for range MaxUnitLoads + 10 {
		report.Units = append(report.Units, &peerpb.UnitLoad{Unit: "s/1", Load: 0.5, HotKeyHash: 9, HotLoad: 0.25})
	}
	b, err := EncodeLoad(report)
	assert.NilError(t, err)
	got, err := DecodeLoad(b)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Units), MaxUnitLoads)
	assert.Equal(t, got.Term, uint64(7))
	assert.Equal(t, got.Units[3].HotLoad, 0.25)

	for _, load := range []float64{-1, math.NaN(), math.Inf(1)} {
		b, err = EncodeLoad(&peerpb.LoadReport{Units: []*peerpb.UnitLoad{{Unit: "s/1", Load: load}}})
		assert.NilError(t, err)
		_, err = DecodeLoad(b)
		assert.ErrorContains(t, err, "load outside [0, 1e9)")
	}
	_, err = DecodeLoad([]byte{0xff})
	assert.ErrorContains(t, err, "decode")
}

// Guards against a planner that takes a busy target for an idle one and moves units to it,
// because encoding a load report as a CompactLoad and decoding it drops a unit, assigns
// its load to another unit, or loses the load.
func TestCompactLoadPreservesReport(t *testing.T) {
	report := &peerpb.LoadReport{Service: "s", Target: "t", Term: 7, Units: []*peerpb.UnitLoad{
		{Unit: "s/range:a", Load: 3, HotKeyHash: 5, HotLoad: 2},
		{Unit: "s/4095", Load: 1.5, AtMostOnce: true, HotKeyHash: 1 << 63, HotLoad: 0.25},
		{Unit: "s/0", Load: 0.0002, HotKeyHash: 9},
		{Unit: "s/7", Load: 0.5},
		{Unit: "s/8", AtMostOnce: true},
	}}
	reordered := proto.CloneOf(report)
	slices.Reverse(reordered.Units[2:])
	b, err := EncodeCompactLoad(reordered)
	assert.NilError(t, err)
	got, err := DecodeCompactLoad(b)
	assert.NilError(t, err)
	slices.SortFunc(got.Units[3:], func(x, y *peerpb.UnitLoad) int { return cmp.Compare(x.Unit, y.Unit) })
	assert.Assert(t, proto.Equal(got, report), "%v", got)

	for _, m := range []*peerpb.CompactLoad{
		{Slots: []uint32{1}},
		{Loads: []uint32{1}},
		{HotKeyHashes: []uint64{1}, HotLoads: []uint32{1}},
		{Slots: []uint32{1}, Loads: []uint32{1}, HotLoads: []uint32{1}},
		{AtMostOnce: []uint32{0}},
		{Named: []*peerpb.UnitLoad{{Unit: "s/range:a", Load: -1}}},
	} {
		b, err := proto.Marshal(m)
		assert.NilError(t, err)
		_, err = DecodeCompactLoad(b)
		assert.ErrorContains(t, err, "load report", "%v", m)
	}
}

func TestMoveOrderIsBounded(t *testing.T) {
	order := &peerpb.MoveOrder{Service: "s", From: "a"}
	for range MaxUnitMoves + 1 {
		order.Moves = append(order.Moves, &peerpb.UnitMove{Unit: "s/1", To: "b"})
	}
	b, err := EncodeMoves(order)
	assert.NilError(t, err)
	got, err := DecodeMoves(b)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Moves), MaxUnitMoves)
	assert.Equal(t, got.Moves[0].To, "b")
	_, err = DecodeMoves([]byte{0xff})
	assert.ErrorContains(t, err, "decode")
}
