package ownershiptest

import (
	"fmt"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

type record struct {
	revision uint64
	value    []byte
}

// assignment is one assignment of a unit that was written to the store.
type assignment struct {
	unit  routing.Unit
	token uint64
	to    string
}

type store struct {
	records map[string]record
	// owners holds the latest assignment of each unit, assignments all of them.
	owners      map[routing.Unit]assignment
	assignments map[assignment]bool
	writes      int
	reads       int
}

func newStore() *store {
	return &store{records: map[string]record{}, owners: map[routing.Unit]assignment{}, assignments: map[assignment]bool{}}
}

// cas performs a compare-and-swap and returns its outcome and the record's revision. The
// error reports a violation: a unit changed its owner without a higher token.
func (s *store) cas(c ownership.CAS) (ownership.Outcome, uint64, error) {
	s.writes++
	old := s.records[c.Key]
	if old.revision != c.Expect {
		return ownership.Conflict, old.revision, nil
	}
	s.records[c.Key] = record{old.revision + 1, c.Value}
	return ownership.Landed, old.revision + 1, s.recordAssignments(c)
}

func (s *store) recordAssignments(c ownership.CAS) error {
	if !ownership.IsShardKey(c.Key) {
		return nil
	}
	shard, err := ownership.DecodeShard(c.Key, c.Value)
	if err != nil {
		return err
	}
	var bad error
	shard.Each(func(u routing.Unit, st ownership.UnitState) {
		if st.Target == "" {
			return
		}
		w, old := assignment{u, st.Token, st.Target}, s.owners[u]
		if w.token < old.token || w.token == old.token && w.to != old.to {
			bad = fmt.Errorf("store: unit %s went from %s token %d to %s token %d", u, old.to, old.token, w.to, w.token)
		}
		s.owners[u] = w
		s.assignments[w] = true
	})
	return bad
}
