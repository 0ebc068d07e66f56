package ownership

import (
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// Encode returns the encoded record.
func (s *Shard) Encode() []byte {
	if s.Kind == routing.RangeUnit {
		return s.encodeRanges()
	}
	return s.encodeSlots()
}

func (s *Shard) encodeSlots() []byte {
	var d targetIndex
	m := &ownershippb.SlotShard{Service: s.Service, First: s.Index * ShardSlots, Ops: encodeOps(s.Ops)}
	for i, st := range s.Slots {
		if i > 0 && st == s.Slots[i-1] {
			m.RunLength[len(m.RunLength)-1]++
			continue
		}
		m.RunLength = append(m.RunLength, 1)
		m.RunTarget = append(m.RunTarget, d.add(st.Target))
		m.RunToken = append(m.RunToken, st.Token)
		m.RunNext = append(m.RunNext, d.add(st.Next))
		m.RunReleasing = append(m.RunReleasing, st.Releasing)
	}
	m.Targets = d.names
	return marshal(m)
}

func (s *Shard) encodeRanges() []byte {
	var d targetIndex
	m := &ownershippb.RangeShard{Service: s.Service, Bucket: s.Index, Ops: encodeOps(s.Ops)}
	for i, st := range s.Ranges {
		m.Ranges = append(m.Ranges, &ownershippb.RangeOwner{Name: s.Names[i], Target: d.add(st.Target),
			Token: st.Token, Next: d.add(st.Next), Releasing: st.Releasing})
	}
	m.Targets = d.names
	return marshal(m)
}

// DecodeShard decodes the ownership record that is stored under the key.
func DecodeShard(key string, b []byte) (*Shard, error) {
	if strings.HasPrefix(key, RangePrefix) {
		return decodeRanges(b)
	}
	return decodeSlots(b)
}

func decodeSlots(b []byte) (*Shard, error) {
	var m ownershippb.SlotShard
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "ownership: slot record")
	}
	n := len(m.RunLength)
	if len(m.RunTarget) != n || len(m.RunToken) != n || len(m.RunNext) != n || len(m.RunReleasing) != n {
		return nil, errors.New("ownership: slot record with runs of unequal count")
	}
	s := &Shard{Service: m.GetService(), Index: m.GetFirst() / ShardSlots, Ops: decodeOps(m.GetOps())}
	for i := range m.RunLength {
		st, err := decodeState(m.Targets, m.RunTarget[i], m.RunNext[i])
		if err != nil {
			return nil, err
		}
		if uint64(len(s.Slots))+uint64(m.RunLength[i]) > ShardSlots {
			return nil, errors.New("ownership: slot record with too many slots")
		}
		st.Token, st.Releasing = m.RunToken[i], m.RunReleasing[i]
		for range m.RunLength[i] {
			s.Slots = append(s.Slots, st)
		}
	}
	return s, nil
}

func decodeRanges(b []byte) (*Shard, error) {
	var m ownershippb.RangeShard
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "ownership: range record")
	}
	s := &Shard{Service: m.GetService(), Kind: routing.RangeUnit, Index: m.GetBucket(), Ops: decodeOps(m.GetOps())}
	for _, r := range m.GetRanges() {
		st, err := decodeState(m.Targets, r.GetTarget(), r.GetNext())
		if err != nil {
			return nil, err
		}
		st.Token, st.Releasing = r.GetToken(), r.GetReleasing()
		s.Names = append(s.Names, r.GetName())
		s.Ranges = append(s.Ranges, st)
	}
	return s, nil
}

func decodeState(names []string, target, next uint32) (UnitState, error) {
	var st UnitState
	var err error
	if st.Target, err = nameAt(names, target); err != nil {
		return st, err
	}
	st.Next, err = nameAt(names, next)
	return st, err
}
