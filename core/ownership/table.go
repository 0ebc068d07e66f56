package ownership

import (
	"sort"
	"time"

	"tarragongw/core/routing"
)

// Table is an immutable snapshot of ownership and grantors. Apply returns a new one that
// shares unchanged parts with the old one; a record never returns to an older revision.
type Table struct {
	services map[string]*serviceTable
	grantors map[string]grantorEntry
}

// grantorEntry is what every router keeps of a target's grantor record. The record's
// writers are omitted: only a router that may write the record needs them, and such a
// router has a duty for the target, which keeps the whole record. A duty that starts later
// reads the record first.
type grantorEntry struct {
	revision, term uint64
	// routers are the grantor and its successors, in order.
	routers []Router
	// dataCentre and yieldAfter are copied from the record.
	dataCentre string
	yieldAfter time.Duration
	formers    []Former
}

func newGrantorEntry(u Update) grantorEntry {
	routers := make([]Router, 0, 1+len(u.Grantor.Successors))
	routers = append(append(routers, u.Grantor.Router), u.Grantor.Successors...)
	return grantorEntry{revision: u.Revision, term: u.Grantor.Term, routers: routers,
		dataCentre: u.Grantor.DataCentre, yieldAfter: u.Grantor.YieldAfter, formers: u.Grantor.Formers}
}

type serviceTable struct {
	slots  []shardEntry
	ranges [RangeBuckets]shardEntry
}

type shardEntry struct {
	revision uint64
	shard    *packedShard
}

// Update is one record as read from the store or received from a peer.
type Update struct {
	// Revision is the store's revision of the record; zero for a grantor that acts without
	// the store.
	Revision uint64
	// Exactly one of Shard and Grantor is set; neither is modified afterwards.
	Shard   *Shard
	Grantor *GrantorRecord
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Apply returns the table with those of the updates that are newer than its content, and
// their number.
func (t *Table) Apply(updates ...Update) (*Table, int) {
	out := &Table{services: t.services, grantors: t.grantors}
	var applied int
	var copied, copiedGrantors bool
	copiedServices := map[string]bool{}
	for _, u := range updates {
		switch {
		case u.Grantor != nil && out.newerGrantor(u):
			if !copiedGrantors {
				out.grantors = copyMap(out.grantors)
				copiedGrantors = true
			}
			out.grantors[u.Grantor.Target] = newGrantorEntry(u)
			applied++
		case u.Shard != nil && out.newerShard(u):
			if !copied {
				out.services = copyMap(out.services)
				copied = true
			}
			out.setShard(u, copiedServices)
			applied++
		}
	}
	if applied == 0 {
		return t, 0
	}
	return out, applied
}

func copyMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (t *Table) newerGrantor(u Update) bool {
	old, ok := t.grantors[u.Grantor.Target]
	if !ok || u.Grantor.Term > old.term {
		return true
	}
	return u.Grantor.Term == old.term && u.Revision > old.revision
}

func (t *Table) newerShard(u Update) bool {
	e := t.shard(u.Shard.Service, u.Shard.Kind, u.Shard.Index)
	return e == nil || u.Revision > e.revision
}

func (t *Table) setShard(u Update, copiedServices map[string]bool) {
	s := u.Shard
	var next serviceTable
	if old := t.services[s.Service]; old != nil {
		if copiedServices[s.Service] {
			next = *old
		} else {
			next = serviceTable{slots: append([]shardEntry(nil), old.slots...), ranges: old.ranges}
		}
	}
	copiedServices[s.Service] = true
	if s.Kind == routing.RangeUnit {
		next.ranges[s.Index%RangeBuckets] = shardEntry{u.Revision, pack(s)}
	} else {
		for len(next.slots) <= int(s.Index) {
			next.slots = append(next.slots, shardEntry{})
		}
		next.slots[s.Index] = shardEntry{u.Revision, pack(s)}
	}
	t.services[s.Service] = &next
}

func (t *Table) shard(service string, kind routing.UnitKind, index uint32) *shardEntry {
	st := t.services[service]
	if st == nil {
		return nil
	}
	if kind == routing.RangeUnit {
		if e := &st.ranges[index%RangeBuckets]; e.shard != nil {
			return e
		}
		return nil
	}
	if int(index) >= len(st.slots) || st.slots[index].shard == nil {
		return nil
	}
	return &st.slots[index]
}

func (t *Table) unitShard(u routing.Unit) *shardEntry {
	if u.Kind == routing.RangeUnit {
		return t.shard(u.Service, u.Kind, rangeBucket(u.Range))
	}
	return t.shard(u.Service, u.Kind, u.Slot/ShardSlots)
}

// State returns the unit's state; ok is false if no record contains the unit.
func (t *Table) State(u routing.Unit) (state UnitState, ok bool) {
	e := t.unitShard(u)
	if e == nil {
		return UnitState{}, false
	}
	place := e.shard.place(u)
	if place < 0 {
		return UnitState{}, false
	}
	return e.shard.state(place), true
}

// Lookup returns the unit's owner and that target's grantor, or zero values if there is
// none.
func (t *Table) Lookup(u routing.Unit) (routing.Owner, routing.Grantor) {
	st, ok := t.State(u)
	if !ok {
		return routing.Owner{}, routing.Grantor{}
	}
	return routing.Owner{Target: st.Target, Token: st.Token, Releasing: st.Releasing}, t.Grantor(st.Target)
}

// Grantor returns the target's grantor, or the zero value.
func (t *Table) Grantor(target string) routing.Grantor {
	e, ok := t.grantors[target]
	if !ok {
		return routing.Grantor{}
	}
	return routing.Grantor{Router: e.routers[0].Name, Incarnation: e.routers[0].Incarnation, Term: e.term, DataCentre: e.dataCentre}
}

// Routers returns the target's grantor and its successors in order, or nil. The slice must
// not be modified.
func (t *Table) Routers(target string) []Router { return t.grantors[target].routers }

// Formers returns the former grantors that the target's record names. The slice must not be
// modified.
func (t *Table) Formers(target string) []Former { return t.grantors[target].formers }

// EachUnit calls f for each unit of the service, ordered by kind, record and position.
func (t *Table) EachUnit(service string, f func(routing.Unit, UnitState)) {
	st := t.services[service]
	if st == nil {
		return
	}
	for _, e := range st.slots {
		if e.shard != nil {
			e.shard.each(f)
		}
	}
	for _, e := range st.ranges {
		if e.shard != nil {
			e.shard.each(f)
		}
	}
}

// Services returns the sorted names of the services that have records.
func (t *Table) Services() []string { return sortedKeys(t.services) }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
