package directory

import (
	"time"

	"tarragongw/core/keyspace"
)

// coldTolerance is by how much the end of a target's cold time may differ between its reports, which are on their way for
// different times.
const coldTolerance = 500 * time.Millisecond

// AssumeCold has the targets of a data centre count as cold until they report otherwise, for as long as coldFor returns for
// their service. They may have become cold by the revision of the store, without a report or a request that showed it.
func (d *Directory) AssumeCold(now time.Time, dataCentre string, revision uint64, coldFor func(service string) time.Duration) {
	for _, e := range d.entries {
		if e.target.DataCentre == dataCentre && (e.target.Revision == 0 || e.target.Revision <= revision) {
			e.assumedColdUntil, e.assumedColdIn = now.Add(coldFor(e.target.Service)), revision
		}
	}
}

// SetCold records for how long an instance of a target that AssumeCold has named is still cold by its own answer; zero if it
// is not. Reports up to the revision of AssumeCold say nothing against that.
func (d *Directory) SetCold(now time.Time, h keyspace.Holder, coldFor time.Duration) {
	e := d.entries[h.Target]
	if e == nil || e.target.Holder() != h {
		return
	}
	e.setColdAnswer(now, coldFor, e.assumedColdIn)
}

// takeColdAnswer takes the answer that came with a report, if it is a newer one than is known, and returns whether it did.
func (e *entry) takeColdAnswer(now time.Time, t *Target) bool {
	if t.StartUnixMilli != e.target.StartUnixMilli || t.ColdAskedIn <= e.coldAskedIn || t.ColdAskedIn < e.assumedColdIn {
		return false
	}
	e.setColdAnswer(now, t.ColdFor, t.ColdAskedIn)
	return true
}

// setColdAnswer records the target's answer as of a revision.
func (e *entry) setColdAnswer(now time.Time, coldFor time.Duration, revision uint64) {
	e.assumedColdUntil, e.assumedColdIn, e.coldAskedIn = time.Time{}, revision, revision
	if coldFor > 0 {
		e.assumedColdUntil = now.Add(coldFor)
	}
}

// keepAssumedCold keeps what was assumed before a report, unless the report was written after that. old is the entry before
// the report, or nil.
func (e *entry) keepAssumedCold(old *entry) {
	if old == nil || old.target.StartUnixMilli != e.target.StartUnixMilli {
		return
	}
	e.assumedColdIn, e.coldAskedIn = old.assumedColdIn, old.coldAskedIn
	if e.target.Revision == 0 || e.target.Revision <= old.assumedColdIn {
		e.assumedColdUntil = old.assumedColdUntil
	}
}

// coldUntil returns until when the target is or was cold, by its reports or by assumption; zero if it never was.
func (e *entry) coldUntil() time.Time {
	if e.assumedColdUntil.After(e.target.ColdUntil) {
		return e.assumedColdUntil
	}
	return e.target.ColdUntil
}

// coldChanged reports whether a target has become cold or warm by a report at a time.
func coldChanged(now time.Time, before, after *entry) bool {
	old, current := before.coldUntil(), after.coldUntil()
	if !old.After(now) && !current.After(now) {
		return false
	}
	return current.Sub(old).Abs() > coldTolerance
}

// reportedCold returns until when a target is or was cold by its report; zero if it never was. old is the entry before the
// report, or nil. A target that is warm much sooner than was said was taken to be cold by mistake.
func reportedCold(old *entry, now time.Time, t *Target) time.Time {
	switch {
	case t.ColdFor > 0:
		return now.Add(t.ColdFor)
	case old == nil || old.target.StartUnixMilli != t.StartUnixMilli:
		return time.Time{}
	case old.target.ColdUntil.After(now.Add(coldTolerance)):
		return time.Time{}
	case old.target.ColdUntil.After(now):
		return now
	}
	return old.target.ColdUntil
}
