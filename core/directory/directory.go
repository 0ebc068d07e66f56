// Package directory decides which targets exist, from their entries in the store.
//
// The store's state lags and has gaps: entries expire while the store is unreachable and
// return later. The package does no I/O and takes the time as a parameter.
package directory

import (
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

// ReturnGrace is how long after an outage of the store an entry that vanished with it may take
// to return. Targets write their entries again within about two seconds; the rest is for the
// transit to this router.
const ReturnGrace = 2200 * time.Millisecond

// Target is what one instance of a target reports about itself.
type Target struct {
	// ID is unique to each target. A target may keep it over a restart.
	ID string
	// StartUnixMilli is the start time of the instance in Unix milliseconds, or zero if the target
	// doesn't report it.
	StartUnixMilli int64
	Address        string
	Service        string
	DataCentre     string
	// Slots is how many requests the target works on at the same time.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// ColdFor is how long after this report the target is still slow because it has just
	// started. ColdUntil is when that ends; the Directory sets it.
	ColdFor   time.Duration
	ColdUntil time.Time
	// ColdAskedIn is the revision of the store as of which ColdFor is the target's answer to that question; zero if it was
	// not asked.
	ColdAskedIn uint64
	// Seq counts the reports of one instance.
	Seq uint64
	// Revision orders the reports of a target, whichever way they come: it is the revision of the entry in the store
	// in which the report stands, or of an earlier one that says the same. Zero means unknown.
	Revision uint64
	// Created is the revision in which the entry was created, another one than before if the entry was gone since; zero if
	// unknown.
	Created uint64
	// LeavingAfter is the last time at which a draining target was known not to drain, as far as this router
	// knows; zero if it was never known to. The Directory sets it.
	LeavingAfter time.Time
	// Evacuated says that the target's data centre is evacuated, and EvacuatedAfter is the last time at which it was known
	// not to be. The Directory doesn't know: whoever hands the targets on sets them.
	Evacuated      bool
	EvacuatedAfter time.Time
	// Limited says that the target states a limit, and Limit is that, in requests per second from all routers together. The
	// Directory doesn't know them either.
	Limited bool
	Limit   float64
}

// TakesNewWork reports whether the target may be given new work: it neither leaves nor is evacuated.
func (t *Target) TakesNewWork() bool { return !t.Draining && !t.Evacuated }

// Holder returns the name of this target instance in the key table.
func (t *Target) Holder() keyspace.Holder {
	return keyspace.Holder{Target: t.ID, StartUnixMilli: t.StartUnixMilli}
}

// entry is a target with this router's state for it.
type entry struct {
	target Target
	// firstSeen is when this router first saw the instance at its address, and lastReport when
	// it last received a new report of it.
	firstSeen, lastReport time.Time
	// removeAt is when the target is removed unless a report of it arrives first; zero while
	// its entry is in the store. removedIn is the revision of the store in which the entry was gone.
	// presentAt is the last time at which the entry was known to be there.
	removeAt  time.Time
	removedIn uint64
	presentAt time.Time
	// doubted is set while removeAt comes from an entry that can't be read, see Doubt.
	doubted bool
	// assumedColdUntil is until when the target counts as cold unless a report of a later revision than assumedColdIn says
	// otherwise; zero for no assumption.
	assumedColdUntil time.Time
	assumedColdIn    uint64
	// coldAskedIn is Target.ColdAskedIn of the last answer.
	coldAskedIn uint64
}

// Directory is this router's view of all targets. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*entry
	// departed are the targets that were removed, see Departed and Claimed.
	departed map[string]departedTarget
	// stated are the instances that have stated in answers that they leave, and since when that is known.
	stated map[keyspace.Holder]time.Time
	// storeUnreachable reports whether the store is unreachable, and unreachableAt is when that was last noticed.
	// storeReachableSince is when it last became reachable again.
	storeUnreachable    bool
	unreachableAt       time.Time
	storeReachableSince time.Time
	// revision is the revision of the store that was applied last; zero if unknown.
	revision uint64
	// confirmedAt is the last time at which the directory was known to be up to date.
	confirmedAt time.Time
	notices     []Notice
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: map[string]*entry{}, departed: map[string]departedTarget{}, stated: map[keyspace.Holder]time.Time{}}
}

// Put records a report of a target. It returns whether anything changed except the report's
// sequence number and the time until which the target is cold; that it has become cold again is a change, and so is that its entry
// was gone meanwhile: routers that have found that have to be told.
//
// A report that is older than what is known changes nothing. A target that has announced that it leaves never stays
// after all: only another instance of it does.
func (d *Directory) Put(now time.Time, t Target) bool { return d.put(now, t, false) }

// put is Put; filtered means that the report comes from another router's directory.
func (d *Directory) put(now time.Time, t Target, filtered bool) bool {
	old, known := d.entries[t.ID]
	answered := known && old.takeColdAnswer(now, &t)
	if d.outdated(now, &t, filtered) {
		d.noticeOutdated(&t)
		return answered
	}
	d.noticeOutlived(&t)
	t.ColdUntil = reportedCold(old, now, &t)
	if t.Created == 0 && known && old.target.StartUnixMilli == t.StartUnixMilli {
		t.Created = old.target.Created // the report is another router's
	}
	d.keepLeaving(&t)
	d.noticeReport(&t)
	delete(d.departed, t.ID)
	d.entries[t.ID] = nextEntry(old, now, t)
	if !known || !old.removeAt.IsZero() {
		return true
	}
	if answered || coldChanged(now, old, d.entries[t.ID]) {
		return true
	}
	before, after := old.target, t
	after.Seq, after.Revision, after.ColdFor, after.ColdUntil = before.Seq, before.Revision, before.ColdFor, before.ColdUntil
	return before != after
}

// keepLeaving completes a report by what is known of the target's leaving.
func (d *Directory) keepLeaving(t *Target) {
	last := d.lastEntry(t)
	known := last != nil && last.target.Draining
	switch {
	case known && t.Draining:
		// What was known may be a later statement of the target itself.
		t.LeavingAfter = earliestLeaving(&last.target, d.confirmedAt)
	case known:
		t.Draining, t.LeavingAfter = true, last.target.LeavingAfter
	case t.Draining:
		t.LeavingAfter = d.confirmedAt
	default:
		t.LeavingAfter, t.Draining = d.stated[t.Holder()], !d.stated[t.Holder()].IsZero()
	}
}

// Confirm records that the directory was up to date at a time. The store was reachable then, if only for another router: an outage that
// this one had noticed before is over, which Confirm reports.
func (d *Directory) Confirm(at time.Time) (outageOver bool) {
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
	if !d.storeUnreachable || !at.After(d.unreachableAt) {
		return false
	}
	d.StoreReachable(at)
	return true
}

// nextEntry returns the entry after report t. old is the entry before it, or nil.
func nextEntry(old *entry, now time.Time, t Target) *entry {
	e := &entry{target: t, firstSeen: now, lastReport: now}
	e.keepAssumedCold(old)
	if old == nil || old.target.StartUnixMilli != t.StartUnixMilli || old.target.Address != t.Address {
		return e
	}
	e.firstSeen = old.firstSeen
	if old.target.Seq == t.Seq && old.target.Draining == t.Draining {
		e.lastReport = old.lastReport // the same record, in another listing
	}
	return e
}

// Remove records that the target's entry has gone from the store in a revision, zero if unknown. If the store was unreachable
// until just now, the entry may have expired only because of that, and the target is kept
// until it has had the time to write its entry again.
//
// Otherwise each outage of the store would remove all targets for seconds, although all of
// them are running.
func (d *Directory) Remove(now time.Time, id string, revision uint64) (changed bool) {
	e, known := d.entries[id]
	if !known || !e.removeAt.IsZero() && !e.doubted || isBefore(revision, e.target.Revision) {
		return false
	}
	if !e.doubted {
		e.presentAt = d.confirmedAt
	}
	e.removeAt, e.removedIn, e.doubted = now, revision, false
	if d.storeUnreachable {
		e.removeAt = now.Add(ReturnGrace)
	} else if until := d.storeReachableSince.Add(ReturnGrace); !d.storeReachableSince.IsZero() && until.After(now) {
		e.removeAt = until
	}
	return d.removeDue(now)
}

// Replace records a complete listing of the store at a revision, zero if unknown. Targets that it doesn't contain
// are removed. unreadable are the IDs whose entries name no target.
func (d *Directory) Replace(now time.Time, listed []Target, revision uint64, unreadable ...string) (changed bool) {
	inListing := make(map[string]bool, len(listed))
	for _, id := range unreadable {
		inListing[id] = true
		d.Doubt(now, id, revision)
	}
	for _, t := range listed {
		inListing[t.ID] = true
		changed = d.Put(now, t) || changed
	}
	for id := range d.entries {
		if !inListing[id] {
			changed = d.Remove(now, id, revision) || changed
		}
	}
	d.Applied(revision)
	return changed
}

// Restore records a complete listing, at a revision, of a store that was restored from an older copy. Its
// entry for a known target may be older than the target's last report. An unknown target may
// have left since the copy was made, and is added only once it writes its entry again. An
// empty directory accepts the whole listing. unreadable are the IDs whose entries name no target.
func (d *Directory) Restore(now time.Time, listed []Target, revision uint64, unreadable ...string) (changed bool) {
	var current []Target
	for _, t := range listed {
		switch old, known := d.entries[t.ID]; {
		case known && t.StartUnixMilli == old.target.StartUnixMilli && t.Seq < old.target.Seq:
			current = append(current, old.target)
		case known || len(d.entries) == 0:
			current = append(current, t)
		}
	}
	return d.Replace(now, current, revision, unreadable...)
}

// Adopt records the view that another router has at a revision of the store, zero if unknown: all of it if complete is
// set, else what has changed.
func (d *Directory) Adopt(now time.Time, complete bool, targets []Target, removed []string, revision uint64) (changed bool) {
	if complete {
		present := make(map[string]bool, len(targets))
		for _, t := range targets {
			present[t.ID] = true
		}
		for id := range d.entries {
			if !present[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, t := range targets {
		changed = d.put(now, t, true) || changed
	}
	for _, id := range removed {
		if e := d.entries[id]; e != nil && !isBefore(revision, e.target.Revision) {
			if e.removeAt.IsZero() {
				e.removedIn, e.presentAt = revision, d.confirmedAt
			}
			d.moveToDeparted(now, id)
			changed = true
		}
	}
	d.Applied(revision)
	return changed
}

// IDsExcept returns the IDs of the targets that are not among the given ones.
func (d *Directory) IDsExcept(ids map[string]bool) (others []string) {
	for id := range d.entries {
		if !ids[id] {
			others = append(others, id)
		}
	}
	return others
}

// Applied records that the directory has all changes up to a revision of the store.
func (d *Directory) Applied(revision uint64) { d.revision = max(d.revision, revision) }

// Knows reports whether a report of the target instance was recorded.
func (d *Directory) Knows(h keyspace.Holder) bool {
	e := d.entries[h.Target]
	return e != nil && e.target.Holder() == h
}

// Revision returns the revision of the store up to which the directory has all changes; zero if unknown.
func (d *Directory) Revision() uint64 { return d.revision }

// StoreUnreachable records that the store was unreachable at a time.
func (d *Directory) StoreUnreachable(at time.Time) { d.storeUnreachable, d.unreachableAt = true, at }

// StoreReachable records that the store is reachable again.
func (d *Directory) StoreReachable(now time.Time) {
	if !d.storeUnreachable {
		return
	}
	d.storeUnreachable, d.storeReachableSince = false, now
	for _, e := range d.entries {
		if !e.removeAt.IsZero() {
			e.removeAt = now.Add(ReturnGrace)
		}
	}
}

// Tick removes the targets that are due to be removed, and returns whether there were any.
func (d *Directory) Tick(now time.Time) (changed bool) { return d.removeDue(now) }

func (d *Directory) removeDue(now time.Time) (changed bool) {
	if d.storeUnreachable {
		return false
	}
	for id, e := range d.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			d.moveToDeparted(now, id)
			changed = true
		}
	}
	return changed
}

// Next returns when Tick is due next, or the zero time for never.
func (d *Directory) Next() time.Time {
	var next time.Time
	for _, e := range d.entries {
		if !e.removeAt.IsZero() && (next.IsZero() || e.removeAt.Before(next)) {
			next = e.removeAt
		}
	}
	return next
}

// Targets returns the targets that were not removed, ordered by service and ID.
func (d *Directory) Targets() []Target {
	return d.targets(func(*entry) bool { return true })
}

// KnownTargets returns the same, but targets that only count as cold by assumption are returned by their reports: who adopts
// them assumes that by itself.
func (d *Directory) KnownTargets() []Target {
	return d.targets(func(e *entry) bool { return e.coldAskedIn == e.assumedColdIn })
}

func (d *Directory) targets(assumed func(e *entry) bool) []Target {
	targets := make([]Target, 0, len(d.entries))
	for _, e := range d.entries {
		t := e.target
		if assumed(e) {
			t.ColdUntil = e.coldUntil()
		}
		t.ColdAskedIn = e.coldAskedIn
		targets = append(targets, t)
	}
	sort.Slice(targets, func(i, j int) bool {
		if targets[i].Service != targets[j].Service {
			return targets[i].Service < targets[j].Service
		}
		return targets[i].ID < targets[j].ID
	})
	return targets
}
