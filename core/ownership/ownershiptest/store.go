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

// assignment is one assignment that landed in the store.
type assignment struct {
	unit  routing.Unit
	token uint64
	to    string
}

type store struct {
	records map[string]record
	// owners is the last assignment of each unit, log all of them.
	owners      map[routing.Unit]assignment
	assignments map[assignment]bool
	writes      int
	reads       int
}

func newStore() *store {
	return &store{records: map[string]record{}, owners: map[routing.Unit]assignment{}, assignments: map[assignment]bool{}}
}

// cas returns the outcome; it reports a violation where a token does not grow.
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
