package directory

import (
	"time"

	"tarragongw/core/keyspace"
)

// formerFor is how long a target that is gone is remembered: longer than any of its grants
// may last.
const formerFor = time.Minute

// formerTarget is what was known of a target when it was gone.
type formerTarget struct {
	entry
	goneAt time.Time
}

// forget takes a target for gone.
func (d *Directory) forget(now time.Time, id string) {
	d.former[id] = formerTarget{*d.entries[id], now}
	delete(d.entries, id)
	for old, f := range d.former {
		if now.Sub(f.goneAt) > formerFor {
			delete(d.former, old)
		}
	}
}

// Ended returns the lives of targets that have ended for certain: those that are gone and
// whose address another target has that was not there yet when they were heard of last. An
// address is given to another target only after the one that had it has ended.
//
// A target that is merely gone may live on, cut off from the store, and hold its keys; they
// have to wait until its last grant has lapsed, after a change of the leader for up to
// sixteen seconds. One notices by refusals of which the detail says so, and by orders to that
// target that are answered with status 400 or 421.
func (d *Directory) Ended() []keyspace.Holder {
	if len(d.former) == 0 {
		return nil
	}
	latest := make(map[string]*entry, len(d.entries))
	for _, e := range d.entries {
		if other := latest[e.target.Address]; other == nil || e.since.After(other.since) {
			latest[e.target.Address] = e
		}
	}
	var ended []keyspace.Holder
	for _, f := range d.former {
		if e := latest[f.target.Address]; e != nil && f.succeededBy(e) {
			ended = append(ended, f.target.Holder())
		}
	}
	return ended
}

// succeededBy reports whether the target at the same address came after this one.
func (f *formerTarget) succeededBy(e *entry) bool {
	if !e.since.After(f.heard) {
		return false
	}
	// Where both say when they began, that has to agree.
	return e.target.Born == 0 || f.target.Born == 0 || e.target.Born > f.target.Born
}
