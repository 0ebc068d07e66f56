// Package routing holds the immutable snapshot that requests are routed by: which target
// owns a unit of keys, and which router, the target's grantor, may send to that target. It
// does no I/O.
package routing

import "strconv"

// UnitKind distinguishes the kinds of ownership units.
type UnitKind uint8

const (
	// SlotUnit is a hash slot of a service's key space.
	SlotUnit UnitKind = iota
	// RangeUnit is a key range set by an operator; a range of one key is a single-key
	// override.
	RangeUnit
)

// Unit is the smallest set of keys that changes its owner as a whole.
type Unit struct {
	Service string
	Kind    UnitKind
	// Slot is the index of the hash slot of a SlotUnit.
	Slot uint32
	// Range is the name of the key range of a RangeUnit.
	Range string
}

// String returns service/slot or service/range:name.
func (u Unit) String() string {
	if u.Kind == RangeUnit {
		return u.Service + "/range:" + u.Range
	}
	return u.Service + "/" + strconv.FormatUint(uint64(u.Slot), 10)
}

// Owner is the owner of a unit.
type Owner struct {
	// Target is the name of the owning target; empty means that there is none.
	Target string
	// Token is the fencing token; it grows with each change of owner.
	Token uint64
	// Releasing says that the owner takes no new work because the unit is moving.
	Releasing bool
}

// Grantor is the one router that may send to a target.
type Grantor struct {
	// Router is the name of the router, and Incarnation distinguishes its instances.
	Router      string
	Incarnation uint64
	// Term grows with each change of grantor.
	Term uint64
	// DataCentre is the router's data centre if it is not the target's own.
	DataCentre string
}
