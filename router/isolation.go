package router

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/ownership"
	"tarragongw/core/reach"
	"tarragongw/core/rendezvous"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/peer"
)

const (
	// isolationEvery is the interval at which a data centre is looked at that may be
	// unreachable. None is looked at while nothing is wrong.
	isolationEvery = 50 * time.Millisecond
	// isolationTried is the number of a data centre's routers that are tried.
	isolationTried = 3
)

// isolation holds which other data centres this router can't reach. The decision is
// that of core/reach; its evidence is what the sessions to routers met.
//
// What goes wrong without it: each request for a key of a data centre that is cut off
// waits until it gives up, a caller that serves a queue waits with it, and waiting
// requests take the place of those that could be served.
type isolation struct {
	r *Router
	// refused names the data centres whose requests are refused; the request path reads
	// it. It is nil where there is none.
	refused atomic.Pointer[map[string]struct{}]

	mu      sync.Mutex
	watched map[string]*watchedDC
	running bool
}

// watchedDC is a data centre that may be unreachable.
type watchedDC struct {
	reach.State
	// units is the number of units that its targets own under table.
	units int
	table *ownership.Table
}

func newIsolation(r *Router) *isolation {
	return &isolation{r: r, watched: make(map[string]*watchedDC)}
}

// suspect has a data centre looked at until nothing is wrong with it.
func (i *isolation) suspect(dc string) {
	if dc == i.r.self.DataCentre {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, known := i.watched[dc]; !known {
		i.watched[dc] = &watchedDC{}
	}
	if !i.running {
		i.running = true
		i.r.run(i.watch)
	}
}

// watch looks at the data centres until all are at rest.
func (i *isolation) watch() {
	last := i.r.clock.Now()
	for duty.Sleep(i.r.lifetime, isolationEvery) {
		now := i.r.clock.Now()
		if !i.look(now, now-last) {
			return
		}
		last = now
	}
}

// look takes one step for each data centre and reports whether any is to be looked at
// again. took is the time since the last look.
func (i *isolation) look(now, took time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	refused := make(map[string]struct{})
	for dc, w := range i.watched {
		before := w.State
		w.State = reach.Config{}.Next(before, now, i.evidence(dc))
		i.account(dc, w, before, now, took)
		if w.Refuse {
			refused[dc] = struct{}{}
		}
		if w.Normal() {
			delete(i.watched, dc)
		}
	}
	i.publish(refused)
	i.running = len(i.watched) > 0
	return i.running
}

// publish wakes those who wait for a route, where the refused data centres changed.
func (i *isolation) publish(refused map[string]struct{}) {
	before := i.refused.Load()
	if before == nil && len(refused) == 0 || before != nil && maps.Equal(*before, refused) {
		return
	}
	if len(refused) == 0 {
		i.refused.Store(nil)
	} else {
		i.refused.Store(&refused)
	}
	i.r.changes.notify()
}

// evidence asks what the sessions to some of the data centre's routers met and tries
// those of which nothing good is known.
func (i *isolation) evidence(dc string) reach.Evidence {
	names := liveNames(i.r.members.view.Load(), dc)
	e := reach.Evidence{Live: len(names)}
	for _, name := range rendezvous.Top("reach\x00"+i.r.self.Name, isolationTried, names) {
		switch i.r.peers.Contact(name) {
		case peer.ContactReached:
			e.Reached++
			continue
		case peer.ContactUnreached:
			e.Unreached++
		}
		i.r.peers.Try(name)
	}
	return e
}

// account records begin and end and counts the time of the units concerned.
func (i *isolation) account(dc string, w *watchedDC, before reach.State, now, took time.Duration) {
	if table := i.r.table.Load(); w.Isolated && w.table != table {
		w.units, w.table = i.r.unitsOf(dc), table
	}
	switch {
	case !before.Isolated && w.Isolated:
		took = now - w.Since
		i.record(eventlog.IsolationBegan, dc, "no router of the data centre can be reached", eventlog.F("units", uintText(uint64(w.units))))
	case before.Isolated && !w.Isolated:
		i.record(eventlog.IsolationEnded, dc, "routers of the data centre are reached again", eventlog.F("lasted", (now-before.Since).Round(time.Millisecond).String()))
	}
	if w.Refuse {
		tags := map[string]string{"owner_data_centre": dc}
		i.r.tel.Scope().Tagged(tags).Counter("isolated_unit_milliseconds_total").Inc(int64(w.units) * took.Milliseconds())
	}
}

func (i *isolation) record(kind eventlog.Kind, dc, cause string, more eventlog.Field) {
	i.r.journal.Record(eventlog.Event{
		Kind:   kind,
		Cause:  cause,
		Router: i.r.self.Name,
		Fields: []eventlog.Field{eventlog.F("data_centre", dc), more},
	})
}

// isolatedDC is one data centre that can't be reached.
type isolatedDC struct {
	name  string
	since time.Time
	units int
}

// now returns the data centres whose requests are refused.
func (i *isolation) now() []isolatedDC {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []isolatedDC
	for dc, w := range i.watched {
		if w.Refuse {
			out = append(out, isolatedDC{dc, time.Now().Add(w.Since - i.r.clock.Now()), w.units})
		}
	}
	slices.SortFunc(out, func(a, b isolatedDC) int { return strings.Compare(a.name, b.name) })
	return out
}

// refuses reports whether requests for targets of the data centre are to be refused.
func (i *isolation) refuses(dc string) bool {
	refused := i.refused.Load()
	if refused == nil {
		return false
	}
	_, is := (*refused)[dc]
	return is
}

// refusal is the fault for a request whose target's data centre can't be reached, or
// nil. The few routers that were tried may be cut off where the grantor is not.
func (i *isolation) refusal(dc, grantor string) *fault.Fault {
	if !i.refuses(dc) || i.r.peers.Contact(grantor) == peer.ContactReached {
		return nil
	}
	return fault.New(fault.Isolated, "no router of data centre "+dc+" can be reached from "+i.r.self.DataCentre)
}

// unitsOf counts the units of keys that routers of the data centre send to their owners.
func (r *Router) unitsOf(dc string) int {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	table := r.table.Load()
	var n int
	for i := range v.model().Services {
		for _, unit := range v.compiled.Units(v.model().Services[i].Name) {
			owner, grantor := table.Lookup(unit)
			if t := v.compiled.Target(owner.Target); t != nil && cmp.Or(grantor.DataCentre, t.DataCentre) == dc {
				n++
			}
		}
	}
	return n
}
