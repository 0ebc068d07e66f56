package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func names(s *Set) (all []string) {
	for _, e := range s.All() {
		all = append(all, e.DataCentre)
	}
	return all
}

// Guards against an evacuation that comes back by an older listing, or is lost by one.
func TestOlderNewsChangesNothing(t *testing.T) {
	s := New()
	s.Apply(at(0), []Change{{Record: Record{"a", 5}}}, 6)
	assert.Assert(t, !s.Replace(at(1), nil, 4), "a listing from before it")
	assert.DeepEqual(t, names(s), []string{"a"})
	s.Apply(at(2), []Change{{Record: Record{"a", 9}, Ended: true}}, 9)
	assert.Assert(t, !s.Adopt(at(3), Snapshot{Records: []Record{{"a", 5}}, Revision: 8}))
	assert.Assert(t, !s.Apply(at(3), []Change{{Record: Record{"a", 5}}}, 5), "a watch that was answered late")
	assert.Equal(t, len(names(s)), 0)
}

// Guards against a limit that is counted from when a router learns of an evacuation, however late that is.
func TestEvacuationCountsFromWhenItWasLastKnownToBeAbsent(t *testing.T) {
	s := New()
	s.Replace(at(0), nil, 1)
	s.Confirm(at(100))
	s.Apply(at(4000), []Change{{Record: Record{"a", 2}}}, 2)
	s.Confirm(at(4100))
	e, inForce := s.InForce("a")
	assert.Assert(t, inForce)
	assert.Equal(t, e.AbsentAt, at(100))
	assert.Equal(t, e.LearnedAt, at(4000))
	s.Apply(at(5000), []Change{{Record: Record{"a", 3}}}, 3) // written once more
	e, _ = s.InForce("a")
	assert.Equal(t, e.AbsentAt, at(100))
}

// Guards against evacuations that are lost with what a restored store lacks, and ones that come back with what it has.
func TestRestoredStoreChangesNoEvacuation(t *testing.T) {
	s := New()
	s.Replace(at(0), []Record{{"b", 1}}, 1)
	s.Apply(at(1), []Change{{Record: Record{"a", 5}}, {Record: Record{"b", 6}, Ended: true}}, 6)
	const era = uint64(1) << 53
	copied := []Record{{"b", era + 1}}
	s.Restore(at(2), copied, era+3)
	assert.DeepEqual(t, names(s), []string{"a"})
	s.Replace(at(3), copied, era+4)
	assert.DeepEqual(t, names(s), []string{"a"})
	follower := New()
	follower.Replace(at(3), copied, era+9) // started since, and read the copy
	follower.Adopt(at(4), s.Snapshot())
	assert.DeepEqual(t, names(follower), []string{"a"})
	s.Apply(at(5), []Change{{Record: Record{"b", era + 7}}, {Record: Record{"a", era + 8}, Ended: true}}, era+8)
	assert.DeepEqual(t, names(s), []string{"b"})
	s.Replace(at(6), nil, era+9)
	assert.Equal(t, len(names(s)), 0)
}

// knownStore is a store's records of evacuations with their history.
type knownStore struct {
	revision uint64
	records  map[string]uint64
	history  []Change
}

func (k *knownStore) listing() (all []Record) {
	for name, revision := range k.records {
		all = append(all, Record{name, revision})
	}
	return all
}

func (k *knownStore) since(revision uint64) (all []Change) {
	for _, c := range k.history {
		if c.Revision > revision {
			all = append(all, c)
		}
	}
	return all
}

// step changes the store's records at random.
func (k *knownStore) step(random *rand.Rand) {
	k.revision++
	name := string(rune('a' + random.IntN(3)))
	if _, there := k.records[name]; there && random.IntN(2) == 0 {
		delete(k.records, name)
		k.history = append(k.history, Change{Record{name, k.revision}, true})
		return
	}
	k.records[name] = k.revision
	k.history = append(k.history, Change{Record{name, k.revision}, false})
}

// news is what one source tells later than it was true.
type news func(s *Set, now time.Time)

// Guards against evacuations that depend on the order in which their records, listings and other routers' news come.
func TestSetsAgreeWhateverTheOrderOfNews(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &knownStore{revision: 1, records: map[string]uint64{}}
		leader, follower := New(), New()
		var held []news
		for i := range 40 {
			store.step(random)
			listing, changes, revision := store.listing(), store.since(leader.Revision()), store.revision
			switch random.IntN(4) {
			case 0:
				held = append(held, func(s *Set, now time.Time) { s.Replace(now, listing, revision) })
			case 1:
				leader.Apply(at(i), changes, revision)
			case 2:
				snapshot := leader.Snapshot()
				held = append(held, func(s *Set, now time.Time) { s.Adopt(now, snapshot) })
			case 3:
				leader.Replace(at(i), listing, revision)
			}
			if n := len(held); n > 0 && random.IntN(2) == 0 {
				pick := random.IntN(n)
				held[pick](follower, at(i))
			}
			assertPast(t, store, follower, seed)
		}
		leader.Apply(at(99), store.since(leader.Revision()), store.revision)
		follower.Adopt(at(100), leader.Snapshot())
		for _, old := range held {
			old(follower, at(101))
		}
		assert.DeepEqual(t, names(follower), names(leader))
		assertPast(t, store, follower, seed)
	}
}

// assertPast checks that a set is exactly what the store had in its revision.
func assertPast(t *testing.T, store *knownStore, s *Set, seed uint64) {
	t.Helper()
	want := map[string]bool{}
	for _, c := range store.history {
		if c.Revision <= s.Revision() {
			want[c.DataCentre] = !c.Ended
		}
	}
	for name, there := range want {
		_, inForce := s.InForce(name)
		assert.Equal(t, inForce, there, fmt.Sprintf("seed %d, %s at revision %d", seed, name, s.Revision()))
	}
}
