package ownership

import (
	"slices"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// maxSetUnits bounds the units that a UnitSet lists; a larger set stands for any unit.
const maxSetUnits = 256

// UnitSet is a set of units of one service. It may contain more units than were put in.
type UnitSet struct {
	// All means any unit; the lists are then empty.
	All bool
	// Slots and Ranges are sorted.
	Slots  []uint32
	Ranges []string
}

func newUnitSet(units []routing.Unit) UnitSet {
	if len(units) > maxSetUnits {
		return UnitSet{All: true}
	}
	var s UnitSet
	for _, u := range units {
		if u.Kind == routing.RangeUnit {
			s.Ranges = append(s.Ranges, u.Range)
		} else {
			s.Slots = append(s.Slots, u.Slot)
		}
	}
	slices.Sort(s.Slots)
	slices.Sort(s.Ranges)
	return s
}

// Empty reports whether the set contains no unit.
func (s UnitSet) Empty() bool { return !s.All && len(s.Slots) == 0 && len(s.Ranges) == 0 }

// Contains reports whether the set contains the unit, which must be of the set's service.
func (s UnitSet) Contains(u routing.Unit) bool {
	if s.All {
		return true
	}
	if u.Kind == routing.RangeUnit {
		return slices.Contains(s.Ranges, u.Range)
	}
	return slices.Contains(s.Slots, u.Slot)
}

func (s UnitSet) equal(o UnitSet) bool {
	return s.All == o.All && slices.Equal(s.Slots, o.Slots) && slices.Equal(s.Ranges, o.Ranges)
}

func encodeUnitSet(s UnitSet) *ownershippb.UnitSet {
	return &ownershippb.UnitSet{All: s.All, Slots: s.Slots, Ranges: s.Ranges}
}

func decodeUnitSet(m *ownershippb.UnitSet) UnitSet {
	return UnitSet{All: m.GetAll(), Slots: m.GetSlots(), Ranges: m.GetRanges()}
}
