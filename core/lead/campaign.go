package lead

import "slices"

// Position is a router's place among those that take over when the leader is lost.
type Position int

// The positions of routers that are no standby; those of standbys count from zero.
const (
	// AnyRouter is the position where no standbys are named.
	AnyRouter Position = -1
	// AfterStandbys is that of a router that leads only if no standby does.
	AfterStandbys Position = -2
)

// IsStandby reports whether the router is one of the standbys.
func (p Position) IsStandby() bool { return p >= 0 }

// PositionOf returns the position of a router, given the standbys that the last leader named.
func PositionOf(router string, standbys []string) Position {
	if len(standbys) == 0 {
		return AnyRouter
	}
	if i := slices.Index(standbys, router); i >= 0 {
		return Position(i)
	}
	return AfterStandbys
}
