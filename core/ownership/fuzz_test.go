package ownership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// FuzzDecodeShard checks that any content stored under an ownership key is either refused
// or decoded to a record of bounded size, which encodes to bytes that decode to the same
// record.
func FuzzDecodeShard(f *testing.F) {
	ranges := &Shard{Service: "faq", Kind: routing.RangeUnit, Index: 3, Names: []string{"a"}, Ranges: []UnitState{{Target: "t1", Token: 4}}}
	f.Add(false, mixedShard().Encode())
	f.Add(true, ranges.Encode())
	f.Add(false, marshal(&ownershippb.SlotShard{RunLength: []uint32{1 << 31}, RunTarget: []uint32{0}, RunToken: []uint64{0}, RunNext: []uint32{0}, RunReleasing: []bool{false}}))
	f.Add(true, marshal(&ownershippb.RangeShard{Ranges: []*ownershippb.RangeOwner{{Name: "a", Target: 7}}}))
	f.Fuzz(func(t *testing.T, ofRanges bool, b []byte) {
		key := SlotPrefix + "faq/0"
		if ofRanges {
			key = RangePrefix + "faq/0"
		}
		s, err := DecodeShard(key, b)
		if err != nil {
			return
		}
		assert.Assert(t, len(s.Slots) <= ShardSlots)
		assert.Equal(t, len(s.Names), len(s.Ranges))
		again, err := DecodeShard(s.Key(), s.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, s)
		assert.DeepEqual(t, pack(s).unpack(), s)
		table, _ := NewTable().Apply(Update{Revision: 1, Shard: s})
		s.Each(func(u routing.Unit, _ UnitState) { table.Lookup(u) })
	})
}

// FuzzDecodeGrantor checks the same for a grantor record.
func FuzzDecodeGrantor(f *testing.F) {
	g := &GrantorRecord{Target: "t1", Term: 16, Router: Router{"r1", 2}, Successors: []Router{{"r2", 1}}, Ops: Ops{{Router{"r1", 2}, 9}}}
	f.Add(g.Encode())
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := DecodeGrantor(b)
		if err != nil {
			return
		}
		again, err := DecodeGrantor(g.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, g)
		table, _ := NewTable().Apply(Update{Revision: 1, Grantor: g})
		table.Grantor(g.Target)
	})
}

// FuzzPeerMessage checks that no message of another router makes the keeper fail or lets it
// send to a target whose record does not name it.
func FuzzPeerMessage(f *testing.F) {
	for kind := range ownershippb.Peer_Kind_name {
		f.Add(marshal(&ownershippb.Peer{
			Kind: ownershippb.Peer_Kind(kind), Target: "t1", Term: 8, ToIncarnation: 1,
			From: &ownershippb.Router{Name: "r2", Incarnation: 1}, Sequence: 3, Stamp: 4, Echo: 5,
		}))
	}
	f.Add([]byte{0x2a, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		message := new(ownershippb.Peer)
		if proto.Unmarshal(b, message) != nil {
			return
		}
		k := keeperOfFirstSuccessor()
		from := Router{"r2", 1}
		for i := range 3 {
			now := time.Duration(i+1) * time.Second
			actions := k.Step(now, PeerMessage{From: from, Message: message})
			for _, action := range append(actions, k.Step(now, Tick{})...) {
				if _, ok := action.(SendGrant); ok {
					t.Fatal("a message alone led to a grant")
				}
			}
		}
		assert.Assert(t, !k.MaySend(4*time.Second, "t1", routing.Unit{Service: "faq"}, 1))
	})
}

// keeperOfFirstSuccessor returns a keeper that knows a target whose grantor is another live
// router and whose first successor is the keeper's router.
func keeperOfFirstSuccessor() *Keeper {
	self, grantor := Router{"r1", 1}, Router{"r2", 1}
	k := NewKeeper(Config{Self: self, DataCentre: "lapu"})
	k.Step(0, Configured{
		Targets:  []TargetSpec{{Name: "t1", Service: "faq", DataCentre: "lapu", Weight: 1}},
		Services: []ServiceSpec{{Name: "faq"}},
	})
	k.Step(0, Members{Live: []Router{self, grantor}})
	record := &GrantorRecord{Target: "t1", Term: 8, Router: grantor, Successors: []Router{self}}
	k.Step(0, StoreChanged{Key: GrantorKey("lapu", "t1"), Revision: 5, Value: record.Encode()})
	return k
}
