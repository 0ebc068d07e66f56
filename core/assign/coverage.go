package assign

// Coverage says how much of a service the leader's orders reach.
type Coverage struct {
	// Targets counts the known targets, and Unreachable those of them that don't answer orders and
	// are given no keys.
	Targets, Unreachable int
	// UnassignedKeys counts the keys that have no holder.
	UnassignedKeys int
}

// Coverage returns the present coverage.
func (a *Assigner) Coverage() Coverage {
	c := Coverage{Targets: len(a.candidates)}
	for _, candidate := range a.candidates {
		if candidate.unreachable {
			c.Unreachable++
		}
	}
	for i := range a.spans {
		if a.spans[i].Target == "" {
			c.UnassignedKeys += a.spans[i].Len()
		}
	}
	return c
}
