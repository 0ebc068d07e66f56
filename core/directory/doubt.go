package directory

import "time"

// Doubt records that the entry of a target, in a revision of the store, zero if unknown, can't be read: somebody else wrote it.
//
// It says nothing about a target that is known, which is therefore kept for as long as it takes to write its entry again. But
// if it doesn't, it counts as gone: nothing would tell any more that it leaves.
func (d *Directory) Doubt(now time.Time, id string, revision uint64) {
	e, known := d.entries[id]
	if !known || !e.removeAt.IsZero() || isBefore(revision, e.target.Revision) {
		return
	}
	e.removeAt, e.removedIn, e.presentAt, e.doubted = now.Add(ReturnGrace), revision, d.confirmedAt, true
}

// Contradicts reports whether a report names another service than the same instance did before. No target changes it, so the
// report is not its own.
func (d *Directory) Contradicts(t *Target) bool {
	e, known := d.entries[t.ID]
	return known && e.target.StartUnixMilli == t.StartUnixMilli && e.target.Service != t.Service
}
