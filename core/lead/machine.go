// Package lead decides which router should lead: who takes over when the leader is lost, and
// when a leader that can't do its work hands over to a router that can.
//
// The package is deterministic: time is a parameter, it starts no goroutine and does no I/O.
package lead

import (
	"cmp"
	"slices"
	"time"
)

// clearFactor is by how much a machine must surpass another to count as stronger. Machines of one
// kind differ by less, and the lead isn't handed back and forth between them.
const clearFactor = 2.0

// Machine is what a router's VM can do, as its settings say.
type Machine struct {
	// CPUShare is the share of a core, LinkBytesPerSecond the rate of the network link. Zero means
	// unknown.
	CPUShare, LinkBytesPerSecond float64
}

// Exceeds reports whether the machine is clearly stronger than the other: by clearFactor in one
// respect, and no weaker in any. A respect that is unknown of either is left out.
func (m Machine) Exceeds(other Machine) bool {
	stronger := false
	for _, pair := range [][2]float64{{m.CPUShare, other.CPUShare}, {m.LinkBytesPerSecond, other.LinkBytesPerSecond}} {
		own, theirs := pair[0], pair[1]
		if own == 0 || theirs == 0 {
			continue
		}
		if own < theirs {
			return false
		}
		stronger = stronger || own >= clearFactor*theirs
	}
	return stronger
}

// Candidate is a router that follows the leader and could lead itself.
type Candidate struct {
	Router  string
	Machine Machine
	// DeclinesUntil is until when the router does not want to lead, because it has just failed to.
	DeclinesUntil time.Time
}

// fittest returns the candidates that don't decline and that no other such candidate clearly
// exceeds, by name.
func fittest(now time.Time, candidates []Candidate) []Candidate {
	willing := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return now.Before(c.DeclinesUntil) })
	fit := slices.DeleteFunc(slices.Clone(willing), func(c Candidate) bool {
		return slices.ContainsFunc(willing, func(other Candidate) bool { return other.Machine.Exceeds(c.Machine) })
	})
	slices.SortFunc(fit, func(a, b Candidate) int { return cmp.Compare(a.Router, b.Router) })
	return fit
}

// Standbys returns the routers that should take over when the leader is lost, at most the given
// number; none if all are alike, so that any may.
func Standbys(now time.Time, candidates []Candidate, most int) []string {
	fit := fittest(now, candidates)
	if len(fit) == len(candidates) {
		return nil
	}
	var names []string
	for _, c := range fit[:min(len(fit), most)] {
		names = append(names, c.Router)
	}
	return names
}
