// Package directory decides which targets there are, from what the store tells of them.
//
// The store's word lags and has gaps: entries lapse while it is away and come back after
// it. The package does no I/O and takes the time as a parameter.
package directory

import (
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

// ReturnGrace is how long an entry that vanished with the store's absence may take to
// come back, in time from the store's return: targets write theirs again within about
// two seconds, the rest is for the way to this router.
const ReturnGrace = 2200 * time.Millisecond

// Target is what one life of a target says of itself.
type Target struct {
	// ID is new with each target; one that starts again may keep it.
	ID string
	// Born is the Unix millisecond of the target's start; zero where it doesn't say.
	Born       int64
	Address    string
	Service    string
	DataCentre string
	// Slots is how many requests the target works on at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// ColdFor is how long the target is still slow after its start, from when it said so;
	// ColdUntil is when that ends, which the Directory works out.
	ColdFor   time.Duration
	ColdUntil time.Time
	// Seq counts the target's reports within one life.
	Seq uint64
}

// Holder is how the table of keys names this life of the target.
func (t *Target) Holder() keyspace.Holder {
	return keyspace.Holder{Target: t.ID, Born: t.Born}
}

// entry is a target with the router's own belief.
type entry struct {
	target Target
	// since is when this router heard first of the target's life at its address, and heard
	// when it heard something new of it last.
	since, heard time.Time
	// goneAt is when the target is taken for gone unless it is heard of; zero where it
	// stands in the store.
	goneAt time.Time
}

// Directory is the router's belief about all targets. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*entry
	// former are targets that are gone, see Ended.
	former map[string]formerTarget
	// away says that the store is not reached; back is when it was reached again last.
	away bool
	back time.Time
}

// New returns a directory that knows no target.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, former: map[string]formerTarget{}}
}

// Put notes what a target said. It reports whether something changed beyond its count
// of reports.
func (d *Directory) Put(now time.Time, t Target) bool {
	old, known := d.entries[t.ID]
	if known && t.Born < old.target.Born {
		// A life that has ended says no more; the record came late.
		return false
	}
	t.ColdUntil = now.Add(t.ColdFor)
	delete(d.former, t.ID)
	d.entries[t.ID] = succeed(old, now, t)
	if !known || !old.goneAt.IsZero() {
		return true
	}
	before, after := old.target, t
	after.Seq, after.ColdFor, after.ColdUntil = before.Seq, before.ColdFor, before.ColdUntil
	return before != after
}

// succeed is the entry of what a target says now, after old, which may be nil.
func succeed(old *entry, now time.Time, t Target) *entry {
	e := &entry{target: t, since: now, heard: now}
	if old == nil || old.target.Born != t.Born || old.target.Address != t.Address {
		return e
	}
	e.since = old.since
	if old.target.Seq == t.Seq && old.target.Draining == t.Draining {
		e.heard = old.heard // the same record, in another listing
	}
	return e
}

// Remove notes that the target's entry is gone from the store. Where the store was away
// until just now, the entry may have lapsed for that alone, and the target is believed
// until it has had the time to write it again.
//
// What goes wrong without that: each outage of the store takes all targets away for
// seconds, although all of them serve.
func (d *Directory) Remove(now time.Time, id string) (changed bool) {
	e, known := d.entries[id]
	if !known || !e.goneAt.IsZero() {
		return false
	}
	e.goneAt = now
	if d.away {
		e.goneAt = now.Add(ReturnGrace)
	} else if until := d.back.Add(ReturnGrace); !d.back.IsZero() && until.After(now) {
		e.goneAt = until
	}
	return d.sweep(now)
}

// Replace notes a whole listing of the store: what it doesn't name has been removed.
func (d *Directory) Replace(now time.Time, listed []Target) (changed bool) {
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.ID] = true
		changed = d.Put(now, t) || changed
	}
	for id := range d.entries {
		if !seen[id] {
			changed = d.Remove(now, id) || changed
		}
	}
	return changed
}

// Restore notes a whole listing of a store that has come back from an older copy. What it says
// of a target may be older than what is known, and a target that isn't known may have left
// since: it is believed in once it writes its entry again.
func (d *Directory) Restore(now time.Time, listed []Target) (changed bool) {
	var current []Target
	for _, t := range listed {
		switch old, known := d.entries[t.ID]; {
		case known && t.Born == old.target.Born && t.Seq < old.target.Seq:
			current = append(current, old.target)
		case known || len(d.entries) == 0:
			current = append(current, t)
		}
	}
	return d.Replace(now, current)
}

// Adopt takes over what another router believes: all of it, or what has changed.
func (d *Directory) Adopt(now time.Time, whole bool, targets []Target, gone []string) (changed bool) {
	if whole {
		there := make(map[string]bool, len(targets))
		for _, t := range targets {
			there[t.ID] = true
		}
		for id := range d.entries {
			if !there[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, t := range targets {
		changed = d.Put(now, t) || changed
	}
	for _, id := range gone {
		if _, known := d.entries[id]; known {
			d.forget(now, id)
			changed = true
		}
	}
	return changed
}

// StoreAway notes that the store is not reached.
func (d *Directory) StoreAway() { d.away = true }

// StoreBack notes that the store is reached.
func (d *Directory) StoreBack(now time.Time) {
	if !d.away {
		return
	}
	d.away, d.back = false, now
	for _, e := range d.entries {
		if !e.goneAt.IsZero() {
			e.goneAt = now.Add(ReturnGrace)
		}
	}
}

// Tick carries out what has become due; it reports whether a target is gone since.
func (d *Directory) Tick(now time.Time) (changed bool) { return d.sweep(now) }

func (d *Directory) sweep(now time.Time) (changed bool) {
	if d.away {
		return false
	}
	for id, e := range d.entries {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			d.forget(now, id)
			changed = true
		}
	}
	return changed
}

// Next is when Tick is due next; the zero time means never.
func (d *Directory) Next() time.Time {
	var next time.Time
	for _, e := range d.entries {
		if !e.goneAt.IsZero() && (next.IsZero() || e.goneAt.Before(next)) {
			next = e.goneAt
		}
	}
	return next
}

// Targets returns the targets that are believed in, in order of service and id.
func (d *Directory) Targets() []Target {
	all := make([]Target, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.target)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].ID < all[j].ID
	})
	return all
}
