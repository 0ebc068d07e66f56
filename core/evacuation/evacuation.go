// Package evacuation decides which data centres are evacuated: their targets get no requests until the operators end
// that. Operators write a record for each into the store, and remove it.
//
// What is known comes from listings and watches of the store and from other routers, in any order. It is ordered by the
// store's revision: a set is complete up to one, and news up to it change nothing. The package does no I/O and takes the
// time as a parameter.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is the operators' record that a data centre is evacuated.
type Record struct {
	DataCentre string
	// Revision is the store's, in which the record was written.
	Revision uint64
}

// Change is one change of a record in the store.
type Change struct {
	Record
	// Ended says that the record was removed in Revision.
	Ended bool
}

// Snapshot is a complete set of records, as of a revision of the store.
type Snapshot struct {
	Records  []Record
	Revision uint64
	// RestoredAt is the revision from which on the records were read from a store that was restored from an older copy;
	// zero if it was not. What the copy lacks or has in excess is not believed.
	RestoredAt uint64
}

// Evacuation is an evacuation that is in force.
type Evacuation struct {
	Record
	// LearnedAt is when this router learned of it, and AbsentAt the last time before that at which it was known not to be
	// in force.
	LearnedAt, AbsentAt time.Time
}

// Set is what this router knows of the evacuations. It is not safe for concurrent use.
type Set struct {
	inForce map[string]Evacuation
	// revision is the one up to which the set is complete; zero if nothing is known. restoredAt is that of Snapshot.
	revision, restoredAt uint64
	// confirmedAt is the last time at which the set was known to be complete.
	confirmedAt time.Time
}

// New returns a set about which nothing is known.
func New() *Set {
	return &Set{inForce: map[string]Evacuation{}}
}

// Known reports whether the set was ever complete.
func (s *Set) Known() bool { return s.revision != 0 }

// Revision returns the store's revision up to which the set is complete; zero if nothing is known.
func (s *Set) Revision() uint64 { return s.revision }

// Confirm records that the set was complete at a time.
func (s *Set) Confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Apply records the changes in the store up to a revision, in their order. It returns whether the set has changed.
func (s *Set) Apply(now time.Time, changes []Change, revision uint64) (changed bool) {
	for _, c := range changes {
		if c.Revision <= s.revision {
			continue
		}
		if c.Ended {
			changed = s.end(c.DataCentre) || changed
		} else {
			changed = s.begin(now, c.Record) || changed
		}
	}
	s.revision = max(s.revision, revision)
	return changed
}

// Replace records a complete listing of the store at a revision. It returns whether the set has changed.
func (s *Set) Replace(now time.Time, listed []Record, revision uint64) (changed bool) {
	if revision < s.revision {
		return false
	}
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.DataCentre] = true
		if _, inForce := s.inForce[r.DataCentre]; inForce || r.Revision > s.restoredAt {
			changed = s.begin(now, r) || changed
		}
	}
	for name, e := range s.inForce {
		if !present[name] && e.Revision >= s.restoredAt {
			changed = s.end(name) || changed
		}
	}
	s.revision = revision
	return changed
}

// Restore records the listing at a revision of a store that was restored from an older copy. The copy may lack records
// that were written since, and have some that were removed since: until a record is written again, what is known goes on.
func (s *Set) Restore(now time.Time, listed []Record, revision uint64) (changed bool) {
	if !s.Known() {
		return s.Replace(now, listed, revision)
	}
	if revision > s.revision {
		s.revision, s.restoredAt = revision, revision
	}
	return false
}

// Adopt records what another router knows. It returns whether the set has changed.
func (s *Set) Adopt(now time.Time, other Snapshot) (changed bool) {
	if other.Revision == 0 || other.RestoredAt < s.restoredAt || other.RestoredAt == s.restoredAt && other.Revision < s.revision {
		return false
	}
	present := make(map[string]bool, len(other.Records))
	for _, r := range other.Records {
		present[r.DataCentre] = true
		changed = s.begin(now, r) || changed
	}
	for name := range s.inForce {
		if !present[name] {
			changed = s.end(name) || changed
		}
	}
	s.revision, s.restoredAt = other.Revision, other.RestoredAt
	return changed
}

// begin records that a data centre is evacuated.
func (s *Set) begin(now time.Time, r Record) bool {
	e, inForce := s.inForce[r.DataCentre]
	if !inForce {
		e = Evacuation{LearnedAt: now, AbsentAt: s.confirmedAt}
	}
	e.Record = r
	s.inForce[r.DataCentre] = e
	return !inForce
}

// end records that a data centre is not evacuated any more.
func (s *Set) end(name string) bool {
	if _, inForce := s.inForce[name]; !inForce {
		return false
	}
	delete(s.inForce, name)
	return true
}

// InForce returns the evacuation of a data centre, if it is in force.
func (s *Set) InForce(dataCentre string) (Evacuation, bool) {
	e, inForce := s.inForce[dataCentre]
	return e, inForce
}

// All returns the evacuations that are in force, ordered by data centre.
func (s *Set) All() []Evacuation {
	return slices.SortedFunc(maps.Values(s.inForce), func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// Snapshot returns what another router may adopt.
func (s *Set) Snapshot() Snapshot {
	snapshot := Snapshot{Revision: s.revision, RestoredAt: s.restoredAt}
	for _, e := range s.All() {
		snapshot.Records = append(snapshot.Records, e.Record)
	}
	return snapshot
}
