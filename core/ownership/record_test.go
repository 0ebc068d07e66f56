package ownership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/routing"
)

func mixedShard() *Shard {
	s := &Shard{Service: "faq", Index: 1, Ops: Ops{{Router{"r1", 7}, 3}}}
	for i := range ShardSlots {
		st := UnitState{Target: fmt.Sprintf("t%d", i%5), Token: uint64(1 + i/3)}
		if i%7 == 0 {
			st.Releasing, st.Next = true, "t9"
		}
		if i%11 == 0 {
			st = UnitState{}
		}
		s.Slots = append(s.Slots, st)
	}
	return s
}

func TestShardRoundTrip(t *testing.T) {
	s := mixedShard()
	got, err := DecodeShard(s.Key(), s.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s)
	assert.DeepEqual(t, pack(s).unpack(), s)

	r := &Shard{Service: "faq", Kind: routing.RangeUnit, Index: 3, Names: []string{"a", "b"},
		Ranges: []UnitState{{Target: "t1", Token: 4, Next: "t3"}, {Target: "t1", Token: 2, Releasing: true, Next: "t2"}}, Ops: Ops{}}
	got, err = DecodeShard(r.Key(), r.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	assert.DeepEqual(t, pack(r).unpack(), r)
}

func TestDecodeShardRefusesDamage(t *testing.T) {
	b := mixedShard().Encode()
	_, err := DecodeShard(SlotKey("faq", 0), b[:len(b)-3])
	assert.Assert(t, err != nil)
}

func TestGrantorRoundTrip(t *testing.T) {
	g := &GrantorRecord{Target: "t1", Term: 16, Router: Router{"r1", 2}, Successors: []Router{{"r2", 1}}, Ops: Ops{{Router{"r1", 2}, 9}}}
	got, err := DecodeGrantor(g.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, g)
}

func TestOpsKeepEachWritersLast(t *testing.T) {
	var ops Ops
	for i := range 3 * maxOps {
		ops = ops.with(Op{Router{fmt.Sprintf("r%d", i%4), 1}, uint64(i)})
	}
	assert.Equal(t, len(ops), 4)
	assert.Assert(t, ops.Landed(Op{Router{"r0", 1}, 4}))
	assert.Assert(t, !ops.Landed(Op{Router{"r0", 1}, 3*maxOps + 1}))
	assert.Assert(t, !ops.Landed(Op{Router{"r0", 2}, 1}))
}

func TestTableNeverReturnsToOlderRecord(t *testing.T) {
	older, newer := mixedShard(), mixedShard()
	newer.Slots[1] = UnitState{Target: "t8", Token: 99}
	unit := routing.Unit{Service: "faq", Slot: ShardSlots + 1}
	table, n := NewTable().Apply(Update{Revision: 5, Shard: newer}, Update{Revision: 4, Shard: older},
		Update{Revision: 5, Grantor: &GrantorRecord{Target: "t8", Term: 9, Router: Router{"r2", 1}}},
		Update{Revision: 6, Grantor: &GrantorRecord{Target: "t8", Term: 8, Router: Router{"r1", 1}}})
	assert.Equal(t, n, 2)
	owner, grantor := table.Lookup(unit)
	assert.DeepEqual(t, owner, routing.Owner{Target: "t8", Token: 99})
	assert.DeepEqual(t, grantor, routing.Grantor{Router: "r2", Incarnation: 1, Term: 9})
	same, n := table.Apply(Update{Revision: 4, Shard: older})
	assert.Assert(t, same == table && n == 0)
	owner, _ = table.Lookup(routing.Unit{Service: "faq", Slot: 9 * ShardSlots})
	assert.Equal(t, owner.Target, "")
}
