package router

import (
	"slices"
	"sync"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/routing"
	"tarragongw/peer"
)

// availability adds up, for each service, how long how many units were not served,
// as far as this router knows. A unit is not served while one of these holds:
//
//   - it has no owner, or is on its way from one owner to the next;
//   - its owner has no grantor, or the grantor is not known to live, is in a data
//     centre that is cut off or refused, or answers neither dial nor ping;
//   - this router is the grantor and may not send: its authority ran out, or it
//     holds the target for lost.
//
// A service that isn't divided by key counts as one unit, which is served while one
// of its targets is. It is looked at anew every pulseEvery, so that a gap counts with
// that resolution; what changes seldom is worked out only where it changed.
type availability struct {
	r *Router

	// mu guards what follows.
	mu    sync.Mutex
	at    time.Duration
	last  map[string]int
	total map[string]float64

	view  *view
	table *ownership.Table
	plan  *servingPlan
	// unreached are the grantors of the plan that were not reached at the last look.
	unreached map[routing.Grantor]bool
}

// servingPlan says on what the service of the units depends. The grantors in it are
// those of its table.
type servingPlan struct {
	// down counts units that nobody serves, whoever lives.
	down map[string]int
	// own counts the units of the targets whose grantor this router is, and others those
	// of all other targets by their grantor.
	own    map[string]unitCount
	others map[routing.Grantor][]unitCount
	// shared are the targets of the services that are not divided by key.
	shared map[string][]string
}

// unitCount is a number of units of one service.
type unitCount struct {
	service string
	units   int
}

func newAvailability(r *Router) *availability {
	return &availability{r: r, total: make(map[string]float64), unreached: make(map[routing.Grantor]bool)}
}

// look adds the time since the last look at the state that was found then.
func (a *availability) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.last = a.unserved()
}

// advance adds the time up to now; mu is held.
func (a *availability) advance() {
	now := a.r.clock.Now()
	for service, units := range a.last {
		a.total[service] += float64(units) * (now - a.at).Seconds()
	}
	a.at = now
}

// silent adds the silence after which grantors were found to be gone, and counts their
// units as not served from now on.
//
// What would go wrong: a grantor is declared lost after a third of a second of silence,
// and the next one takes over before the next look; the units would never have been
// without service, while their requests met a router that was gone.
func (a *availability) silent(gone func(*routing.Grantor) bool, silence time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan == nil {
		return
	}
	a.advance()
	for grantor, counts := range a.plan.others {
		if a.unreached[grantor] || !gone(&grantor) {
			continue
		}
		a.unreached[grantor] = true
		for _, count := range counts {
			a.total[count.service] += float64(count.units) * silence.Seconds()
			a.last[count.service] += count.units
		}
	}
}

// unitSeconds returns the sum since the start by service.
func (a *availability) unitSeconds() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.total))
	for service, sum := range a.total {
		out[service] = sum
	}
	return out
}

// unserved counts the units that are not served now; mu is held.
func (a *availability) unserved() map[string]int {
	v, table := a.r.view.Load(), a.r.table.Load()
	if v == nil {
		return make(map[string]int)
	}
	if a.plan == nil || a.view != v || a.table != table {
		a.view, a.table, a.plan = v, table, a.newPlan(v, table)
	}
	out := make(map[string]int, len(a.plan.down))
	for service, units := range a.plan.down {
		out[service] = units
	}
	for target, count := range a.plan.own {
		if !a.maySend(target) {
			out[count.service] += count.units
		}
	}
	members := a.r.members.view.Load()
	clear(a.unreached)
	for grantor, counts := range a.plan.others {
		if a.reaches(members, grantor) {
			continue
		}
		a.unreached[grantor] = true
		for _, count := range counts {
			out[count.service] += count.units
		}
	}
	for service, targets := range a.plan.shared {
		if !slices.ContainsFunc(targets, func(target string) bool { return a.serves(table, members, target) }) {
			out[service]++
		}
	}
	return out
}

// serves says whether requests for the target have somebody who sends them on.
func (a *availability) serves(table *ownership.Table, members *membership.View, target string) bool {
	grantor := table.Grantor(target)
	if a.isSelf(grantor) {
		return a.maySend(target)
	}
	return a.reaches(members, grantor)
}

func (a *availability) isSelf(grantor routing.Grantor) bool {
	return grantor.Router == a.r.self.Name && grantor.Incarnation == a.r.self.Incarnation
}

// maySend is for targets whose grantor this router is.
func (a *availability) maySend(target string) bool {
	return a.r.gate.Load().Holds(a.r.clock.Now(), target) && !a.r.lost.has(target)
}

// reaches is for grantors that are other routers. A dial that fails tells of a loss
// seconds before the members of another data centre agree on it.
func (a *availability) reaches(members *membership.View, grantor routing.Grantor) bool {
	status, known := members.Status(grantor.Router)
	alive := status.State == membership.Alive || status.State == membership.Suspect
	return known && alive && status.Incarnation == grantor.Incarnation &&
		members.Up(status.DataCentre) && !a.r.isolation.refuses(status.DataCentre) && a.r.peers.Contact(grantor.Router) != peer.ContactUnreached
}

func (a *availability) newPlan(v *view, table *ownership.Table) *servingPlan {
	p := &servingPlan{
		down: make(map[string]int), own: make(map[string]unitCount),
		others: make(map[routing.Grantor][]unitCount), shared: make(map[string][]string),
	}
	m := v.model()
	owned := make(map[string]unitCount)
	for i := range m.Services {
		name := m.Services[i].Name
		if m.Services[i].Division == model.Any {
			p.shared[name] = nil
			continue
		}
		for _, unit := range v.compiled.Units(name) {
			owner, grantor := table.Lookup(unit)
			if owner.Target == "" || owner.Releasing || grantor.Router == "" {
				p.down[name]++
				continue
			}
			owned[owner.Target] = unitCount{service: name, units: owned[owner.Target].units + 1}
		}
	}
	for target, count := range owned {
		grantor := table.Grantor(target)
		if a.isSelf(grantor) {
			p.own[target] = count
			continue
		}
		p.others[grantor] = append(p.others[grantor], count)
	}
	for i := range m.Targets {
		t := &m.Targets[i]
		if targets, undivided := p.shared[t.Service]; undivided && !t.Drain {
			p.shared[t.Service] = append(targets, t.Name)
		}
	}
	return p
}
