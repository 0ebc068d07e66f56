package directory

import (
	"maps"
	"time"

	"tarragongw/core/keyspace"
)

// StateLeaving records that an instance of a target has stated in an answer that it leaves, and since when this is known. It
// returns whether that is news. It holds for the instance, whatever its entry says: that may be late, or written by a store
// that has lost its last state.
func (d *Directory) StateLeaving(now time.Time, h keyspace.Holder, at time.Time) bool {
	d.forgetStated(now)
	if known, stated := d.stated[h]; stated && !at.Before(known) {
		return false
	}
	d.stated[h] = at
	if e := d.entries[h.Target]; e != nil && e.target.Holder() == h {
		if !e.target.Draining {
			d.notice(NoticeStated, &e.target)
		}
		e.target.LeavingAfter = earliestLeaving(&e.target, at)
		e.target.Draining = true
	} else if gone, departed := d.departed[h.Target]; departed && gone.target.Holder() == h {
		gone.target.LeavingAfter = earliestLeaving(&gone.target, at)
		gone.target.Draining = true
		d.departed[h.Target] = gone
	}
	return true
}

// earliestLeaving returns when a target was last known to stay, given that it was at a time at the latest.
func earliestLeaving(t *Target, at time.Time) time.Time {
	if t.Draining && t.LeavingAfter.Before(at) {
		return t.LeavingAfter
	}
	return at
}

// StatedLeaving returns the instances that have stated in answers that they leave, and since when that is known.
func (d *Directory) StatedLeaving() map[keyspace.Holder]time.Time {
	return maps.Clone(d.stated)
}

// forgetStated forgets the statements of instances that are neither known nor remembered. A statement may be there before the
// entry of its target.
func (d *Directory) forgetStated(now time.Time) {
	for h, at := range d.stated {
		if d.Knows(h) || now.Sub(at) <= departedRetention {
			continue
		}
		if gone, departed := d.departed[h.Target]; !departed || gone.target.Holder() != h || now.Sub(gone.removedAt) > departedRetention {
			delete(d.stated, h)
		}
	}
}
