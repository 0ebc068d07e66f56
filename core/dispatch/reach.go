package dispatch

// Reach says to how many targets of a service this router can open connections, as far as requests
// have shown.
type Reach struct{ Reached, Targets int }

// Extent is none, some or all.
type Extent uint8

// Extents of a Reach.
const (
	ReachesAll Extent = iota
	ReachesSome
	ReachesNone
)

// Extent returns how many of the targets are reached.
func (r Reach) Extent() Extent {
	switch {
	case r.Reached == r.Targets:
		return ReachesAll
	case r.Reached > 0:
		return ReachesSome
	}
	return ReachesNone
}

// Reach returns the present reach.
func (s *Service) Reach() Reach {
	r := Reach{Targets: len(s.targetList)}
	for _, t := range s.targetList {
		if t.connectBackoff == 0 {
			r.Reached++
		}
	}
	return r
}
