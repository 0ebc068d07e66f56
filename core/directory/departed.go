package directory

import (
	"time"

	"tarragongw/core/keyspace"
)

// departedRetention is how long a departed target is remembered, which is longer than any of
// its grants may last.
const departedRetention = time.Minute

// departedTarget is the last entry of a target that was removed.
type departedTarget struct {
	entry
	removedAt time.Time
}

// moveToDeparted moves a target from the entries to the departed targets, and drops departed
// targets older than departedRetention.
func (d *Directory) moveToDeparted(now time.Time, id string) {
	d.departed[id] = departedTarget{*d.entries[id], now}
	d.notice(NoticeGone, &d.entries[id].target)
	delete(d.entries, id)
	for other, departed := range d.departed {
		if now.Sub(departed.removedAt) > departedRetention {
			delete(d.departed, other)
		}
	}
}

// Departed returns the last reports of the targets that were removed within departedRetention.
func (d *Directory) Departed() []Target {
	targets := make([]Target, 0, len(d.departed))
	for _, gone := range d.departed {
		targets = append(targets, gone.target)
	}
	return targets
}

// LeavingOrGone returns the instances that have announced that they leave or are gone, and when they were last known to stay.
func (d *Directory) LeavingOrGone() map[keyspace.Holder]time.Time {
	all := map[keyspace.Holder]time.Time{}
	for _, gone := range d.departed {
		all[gone.target.Holder()] = gone.knownToStay()
	}
	for _, e := range d.entries {
		if e.target.Draining {
			all[e.target.Holder()] = e.target.LeavingAfter
		}
	}
	return all
}

// Claimed returns the departed instances whose address another target claims, by an entry that was first seen after their last
// report. That is a hint that they may have ended and no proof of it: others than targets may write entries. Who has the
// address can be asked there.
func (d *Directory) Claimed() []keyspace.Holder {
	if len(d.departed) == 0 {
		return nil
	}
	latest := make(map[string]*entry, len(d.entries))
	for _, e := range d.entries {
		if other := latest[e.target.Address]; other == nil || e.firstSeen.After(other.firstSeen) {
			latest[e.target.Address] = e
		}
	}
	var claimed []keyspace.Holder
	for _, departed := range d.departed {
		if e := latest[departed.target.Address]; e != nil && departed.succeededBy(e) {
			claimed = append(claimed, departed.target.Holder())
		}
	}
	return claimed
}

// knownToStay returns when a target that is leaving or gone was last known to stay.
func (e *entry) knownToStay() time.Time {
	if e.target.Draining {
		return e.target.LeavingAfter
	}
	return e.presentAt
}

// isBefore reports whether a revision is certainly before another.
func isBefore(revision, other uint64) bool { return revision != 0 && revision < other }

// contestTime is how long an instance must have written nothing for the reports of an earlier start, which come later in the
// store, to be believed. It is longer than a write of the former instance may be late.
const contestTime = 10 * time.Second

// outdated reports whether a report says less than is known: it is of an earlier instance, or of a revision of the
// store before the one in which the entry was last seen, or was gone. filtered means that another router has let it pass.
func (d *Directory) outdated(now time.Time, t *Target, filtered bool) bool {
	if e := d.entries[t.ID]; e != nil {
		return olderThan(now, t, e, filtered)
	}
	if gone, departed := d.departed[t.ID]; departed && olderThan(now, t, &gone.entry, filtered) {
		return true
	}
	return t.Revision != 0 && t.Revision <= d.revision // otherwise it would be among the entries
}

// olderThan reports whether a report is older than an entry, or than the removal of it.
func olderThan(now time.Time, t *Target, e *entry, filtered bool) bool {
	if t.StartUnixMilli < e.target.StartUnixMilli {
		return !outlives(now, t, e, filtered)
	}
	if t.StartUnixMilli > e.target.StartUnixMilli {
		return false
	}
	return isBefore(t.Revision, e.target.Revision) || t.Revision != 0 && t.Revision <= e.removedIn
}

// outlives reports whether an instance writes on after an entry with a later start, which is then another writer's: its own
// instance would write too. Otherwise one such entry would keep the target out for good.
func outlives(now time.Time, t *Target, e *entry, filtered bool) bool {
	isLater := e.target.Revision != 0 && t.Revision > max(e.target.Revision, e.removedIn)
	return isLater && (filtered || now.Sub(e.lastReport) >= contestTime)
}

// lastEntry returns the last entry of the instance that a report is about, be it departed or not; nil if there is none.
func (d *Directory) lastEntry(t *Target) *entry {
	e := d.entries[t.ID]
	if gone, departed := d.departed[t.ID]; e == nil && departed {
		e = &gone.entry
	}
	if e == nil || e.target.StartUnixMilli != t.StartUnixMilli {
		return nil
	}
	return e
}

// succeededBy reports whether the target at the same address came after this one.
func (t *departedTarget) succeededBy(e *entry) bool {
	if !e.firstSeen.After(t.lastReport) {
		return false
	}
	// If both report their start time, the order of these must agree.
	return e.target.StartUnixMilli == 0 || t.target.StartUnixMilli == 0 || e.target.StartUnixMilli > t.target.StartUnixMilli
}
