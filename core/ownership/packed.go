package ownership

import (
	"sort"

	"tarragongw/core/routing"
)

// packedShard is an ownership record in the form that the table keeps. Every router keeps
// all records: a unit takes 12 bytes plus its record's list of targets, where a UnitState
// with its two names takes 56. A packedShard is not modified after it was built.
type packedShard struct {
	service string
	kind    routing.UnitKind
	index   uint32
	// names are the key ranges, sorted; nil for slots.
	names []string
	// targets are numbered from one; zero means none.
	targets []string
	// owners and tokens run in parallel, one entry for each unit. An owner with the bit
	// hasRelease has an entry in releases.
	owners []uint32
	tokens []uint64
	// releases holds the state of units that are being released, by position; few units have
	// it.
	releases map[int]release
	ops      Ops
}

// hasRelease is a bit in an owner's number; units without it need no look-up in releases.
const hasRelease = 1 << 31

// release is the number of a unit's next owner, and whether the unit is being released.
type release struct {
	next       uint32
	inProgress bool
}

func pack(s *Shard) *packedShard {
	units := s.Slots
	if s.Kind == routing.RangeUnit {
		units = s.Ranges
	}
	p := &packedShard{
		service: s.Service, kind: s.Kind, index: s.Index, names: s.Names, ops: s.Ops,
		owners: make([]uint32, len(units)), tokens: make([]uint64, len(units)),
	}
	var d targetIndex
	for i := range units {
		st := &units[i]
		p.owners[i], p.tokens[i] = d.add(st.Target), st.Token
		if !st.Releasing && st.Next == "" {
			continue
		}
		if p.releases == nil {
			p.releases = map[int]release{}
		}
		p.owners[i] |= hasRelease
		p.releases[i] = release{next: d.add(st.Next), inProgress: st.Releasing}
	}
	p.targets = append([]string(nil), d.names...)
	return p
}

// unpack returns a copy of the record that may be modified.
func (p *packedShard) unpack() *Shard {
	s := &Shard{Service: p.service, Kind: p.kind, Index: p.index, Ops: p.ops, Names: append([]string(nil), p.names...)}
	units := make([]UnitState, len(p.owners))
	for i := range units {
		units[i] = p.state(i)
	}
	if p.kind == routing.RangeUnit {
		s.Ranges = units
	} else {
		s.Slots = units
	}
	return s
}

func (p *packedShard) name(number uint32) string {
	if number == 0 {
		return ""
	}
	return p.targets[number-1]
}

func (p *packedShard) state(place int) UnitState {
	owner := p.owners[place]
	st := UnitState{Target: p.name(owner &^ hasRelease), Token: p.tokens[place]}
	if owner&hasRelease != 0 {
		m := p.releases[place]
		st.Next, st.Releasing = p.name(m.next), m.inProgress
	}
	return st
}

// place returns the position of the unit, or -1.
func (p *packedShard) place(u routing.Unit) int {
	if u.Service != p.service || u.Kind != p.kind {
		return -1
	}
	if u.Kind == routing.SlotUnit {
		i := int64(u.Slot) - int64(p.index)*ShardSlots
		if i < 0 || i >= int64(len(p.owners)) {
			return -1
		}
		return int(i)
	}
	i := sort.SearchStrings(p.names, u.Range)
	if i == len(p.names) || p.names[i] != u.Range {
		return -1
	}
	return i
}

// each calls f for each unit in order.
func (p *packedShard) each(f func(routing.Unit, UnitState)) {
	for i := range p.owners {
		u := routing.Unit{Service: p.service, Kind: p.kind}
		if p.kind == routing.RangeUnit {
			u.Range = p.names[i]
		} else {
			u.Slot = p.index*ShardSlots + uint32(i)
		}
		f(u, p.state(i))
	}
}
