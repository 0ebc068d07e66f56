package feed

import (
	"slices"

	"tarragongw/core/directory"
	"tarragongw/core/reach"
	"tarragongw/peer/feedpb"
)

// Reach is what a router reaches.
type Reach struct {
	Unreached reach.Unreached
	// Unavailable says that the router is stopping and passes on nothing for others.
	Unavailable bool
}

// Router is a router that follows the leader.
type Router struct {
	// Name is the router's name, Address where other routers connect, and DataCentre the data centre
	// that it runs in.
	Name, Address, DataCentre string
}

// Relay is a router through which others may reach targets, but not those that it doesn't reach itself.
type Relay struct {
	Router
	Unreached reach.Unreached
}

// Reaches reports whether the relay reaches the target, as far as is known.
func (r *Relay) Reaches(t *directory.Target) bool {
	return !slices.Contains(r.Unreached.Services, t.Service) && !slices.Contains(r.Unreached.Targets, t.ID)
}

// Relays are all such routers; none is needed while every router reaches all targets.
type Relays struct{ Relays []Relay }

func encodeUnreached(u *reach.Unreached) *feedpb.Unreached {
	return &feedpb.Unreached{Services: u.Services, Targets: u.Targets}
}

func decodeUnreached(p *feedpb.Unreached) reach.Unreached {
	return reach.Unreached{Services: p.GetServices(), Targets: p.GetTargets()}
}

func encodeReach(r *Reach) *feedpb.Reach {
	if r == nil {
		return nil
	}
	return &feedpb.Reach{Unreached: encodeUnreached(&r.Unreached), Unavailable: r.Unavailable}
}

func encodeRelays(r *Relays) *feedpb.Relays {
	p := &feedpb.Relays{}
	for i := range r.Relays {
		relay := &r.Relays[i]
		p.Relays = append(p.Relays, &feedpb.Relay{
			Router: relay.Name, Address: relay.Address, DataCentre: relay.DataCentre, Unreached: encodeUnreached(&relay.Unreached),
		})
	}
	return p
}

func decodeRelays(p *feedpb.Relays) *Relays {
	r := &Relays{}
	for _, relay := range p.GetRelays() {
		r.Relays = append(r.Relays, Relay{
			Router:    Router{Name: relay.GetRouter(), Address: relay.GetAddress(), DataCentre: relay.GetDataCentre()},
			Unreached: decodeUnreached(relay.GetUnreached()),
		})
	}
	return r
}
