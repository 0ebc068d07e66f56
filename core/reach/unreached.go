package reach

import "slices"

// maxNamedTargets bounds the targets that an Unreached names; of services with more, all count as unreached.
const maxNamedTargets = 32

// Unreached are the targets that a router doesn't reach.
type Unreached struct {
	// Services are those of which it reaches no target, and Targets are of other services; both in order.
	Services, Targets []string
}

// Empty reports whether the router reaches all targets.
func (u *Unreached) Empty() bool { return len(u.Services)+len(u.Targets) == 0 }

// Equal reports whether both are the same targets.
func (u *Unreached) Equal(other *Unreached) bool {
	return slices.Equal(u.Services, other.Services) && slices.Equal(u.Targets, other.Targets)
}

// Unreached returns the targets whose paths are lost, by service where that is all of them or too many to
// be named.
func (t *Tracker) Unreached() Unreached {
	lost, size := map[string][]string{}, map[string]int{}
	for id, s := range t.targets {
		size[s.target.Service]++
		if s.lost {
			lost[s.target.Service] = append(lost[s.target.Service], id)
		}
	}
	var u Unreached
	for service, ids := range lost {
		if len(ids) == size[service] || len(ids) > maxNamedTargets/len(size) {
			u.Services = append(u.Services, service)
		} else {
			u.Targets = append(u.Targets, ids...)
		}
	}
	slices.Sort(u.Services)
	slices.Sort(u.Targets)
	return u
}

// Service returns the number of targets of the service, and how many of their paths are lost.
func (t *Tracker) Service(name string) (targets, lost int) {
	for _, s := range t.targets {
		if s.target.Service != name {
			continue
		}
		targets++
		if s.lost {
			lost++
		}
	}
	return targets, lost
}
