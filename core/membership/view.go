package membership

import (
	"slices"
	"strings"
	"time"
)

// Status is the state of one member in a view.
type Status struct {
	Member
	State State
	// Leaving says that the member is draining or that the platform is about to remove it.
	Leaving bool
}

// View is an immutable snapshot of the members. It may be shared between goroutines.
type View struct {
	self     Member
	dcs      []*dcView
	doubting bool
	cause    Cause
}

type dcView struct {
	name string
	all  []Status
	live []Member
	up   bool
}

// View returns the current view. It is cached until something changes.
func (c *Core) View() *View {
	if c.view != nil {
		return c.view
	}
	v := &View{self: c.self.Member, doubting: c.health.isolated, cause: c.health.cause}
	for _, d := range c.dcs {
		v.dcs = append(v.dcs, c.viewOf(d))
	}
	c.view = v
	return v
}

// viewOf returns the view of d, the cached one if nothing in it changed.
func (c *Core) viewOf(d *dataCentre) *dcView {
	if !d.dirty && d.cachedView != nil {
		return d.cachedView
	}
	p := &dcView{name: d.name, up: d == c.home || c.linkUp(d.name)}
	p.all = make([]Status, 0, len(d.members))
	for _, r := range d.members {
		if r.state == Unknown {
			continue
		}
		p.all = append(p.all, Status{Member: r.Member, State: r.state, Leaving: r.leaving || r.platformLeaving})
		if isLive(r.state) {
			p.live = append(p.live, r.Member)
		}
	}
	d.dirty = false
	d.cachedView = p
	return p
}

// Self returns this router.
func (v *View) Self() Member { return v.self }

// DataCentres returns the names of all data centres, sorted.
func (v *View) DataCentres() []string {
	names := make([]string, len(v.dcs))
	for i, d := range v.dcs {
		names[i] = d.name
	}
	return names
}

func (v *View) find(dc string) *dcView {
	i, ok := slices.BinarySearchFunc(v.dcs, dc, func(d *dcView, n string) int { return strings.Compare(d.name, n) })
	if !ok {
		return nil
	}
	return v.dcs[i]
}

// Live returns the members of the data centre that are alive or suspect, sorted by name.
// The slice must not be modified.
func (v *View) Live(dc string) []Member {
	if d := v.find(dc); d != nil {
		return d.live
	}
	return nil
}

// Members returns all members of the data centre, including those that have ended and are
// still remembered, sorted by name. The slice must not be modified.
func (v *View) Members(dc string) []Status {
	if d := v.find(dc); d != nil {
		return d.all
	}
	return nil
}

// Status returns the status of the member with the name.
func (v *View) Status(name string) (Status, bool) {
	for _, d := range v.dcs {
		i, ok := slices.BinarySearchFunc(d.all, name, func(s Status, n string) int { return strings.Compare(s.Name, n) })
		if ok {
			return d.all[i], true
		}
	}
	return Status{}, false
}

// State returns the state of the member with the name.
func (v *View) State(name string) State {
	s, ok := v.Status(name)
	if !ok {
		return Unknown
	}
	return s.State
}

// Up reports whether the data centre can be heard.
func (v *View) Up(dc string) bool {
	d := v.find(dc)
	return d != nil && d.up
}

// Isolated reports whether this router considers itself superseded, cut off, declared lost,
// in a minority or recently suspended, and the cause. It must then not act on the silence
// of others.
func (v *View) Isolated() (bool, Cause) {
	if !v.doubting {
		return false, ""
	}
	return true, v.cause
}

// Reported is the configuration revision that a router reported to have in force, and since
// when.
type Reported struct {
	Member   Member
	State    State
	Revision uint64
	Since    time.Time
}

// Reports returns this router's own revision and those of the routers that it observes, in
// order of name. Together the reports of all routers of a data centre cover every router
// several times, including routers that no longer respond.
func (c *Core) Reports() []Reported {
	list := []Reported{reportOf(c.self)}
	for _, w := range c.watches {
		list = append(list, reportOf(w.member))
	}
	slices.SortFunc(list, func(a, b Reported) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return list
}

func reportOf(r *record) Reported {
	return Reported{Member: r.Member, State: r.state, Revision: r.revision, Since: r.revisionSince}
}
