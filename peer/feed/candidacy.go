package feed

import (
	"time"

	"tarragongw/core/lead"
	"tarragongw/peer/feedpb"
)

// Candidacy is what a router could do as the leader.
type Candidacy struct {
	Machine lead.Machine
	// Declines is for how much longer the router does not want to lead.
	Declines time.Duration
}

func encodeCandidacy(c Candidacy) *feedpb.Candidacy {
	return &feedpb.Candidacy{CpuShare: c.Machine.CPUShare, LinkBytesPerS: c.Machine.LinkBytesPerSecond, DeclinesMs: c.Declines.Milliseconds()}
}

func decodeCandidacy(p *feedpb.Candidacy) Candidacy {
	return Candidacy{
		Machine:  lead.Machine{CPUShare: p.GetCpuShare(), LinkBytesPerSecond: p.GetLinkBytesPerS()},
		Declines: time.Duration(p.GetDeclinesMs()) * time.Millisecond,
	}
}

// Standbys are the routers that take over when the leader is lost, in this order; any may if there
// are none.
type Standbys struct{ Routers []string }

// SetStandbys publishes the routers that take over when this one is lost.
func (s *Source) SetStandbys(routers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVersionAndWake()
	s.standbys, s.standbysChanged = routers, s.version
}
