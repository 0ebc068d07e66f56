package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func known(d *Directory) []string {
	var ids []string
	for _, t := range d.Targets() {
		ids = append(ids, t.ID)
	}
	return ids
}

func TestReportsAloneChangeNothing(t *testing.T) {
	d := New()
	assert.Assert(t, d.Put(at(0), Target{ID: "a", Service: "s", Seq: 1, ColdFor: time.Second}))
	assert.Assert(t, !d.Put(at(500), Target{ID: "a", Service: "s", Seq: 2}))
	assert.Assert(t, d.Put(at(600), Target{ID: "a", Service: "s", Seq: 3, Draining: true}))
}

func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	assert.Assert(t, d.Remove(at(100), "a"))
	assert.Equal(t, len(d.Targets()), 0)
}

// Symptom: all requests are refused for two seconds after each outage of the store.
// Sequence: the store is away, entries lapse; it returns, the watch tells of their
// removal; the targets, which served all the while, write them again.
// Cause: an entry's absence is taken for the target's.
func TestEntriesThatLapsedWithTheStoreComeBack(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.Put(at(0), Target{ID: "b"})
	d.StoreAway()
	d.StoreBack(at(5000))
	assert.Assert(t, !d.Replace(at(5000), nil))
	assert.DeepEqual(t, known(d), []string{"a", "b"})
	d.Put(at(6500), Target{ID: "a", Seq: 9})
	assert.Assert(t, d.Tick(d.Next()))
	assert.DeepEqual(t, known(d), []string{"a"})
}

// A removal that is learnt of while the store is away stands once it has been back for
// long enough, not before.
func TestNothingIsGoneWhileTheStoreIsAway(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.StoreAway()
	d.Remove(at(10), "a")
	assert.Assert(t, !d.Tick(at(60_000)))
	d.StoreBack(at(60_000))
	assert.Assert(t, !d.Tick(at(60_000)))
	assert.Assert(t, d.Tick(at(60_000).Add(ReturnGrace)))
}

// A target that starts again under its id is another life; what the one before said
// comes too late.
func TestOlderLifeSaysNoMore(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", Born: 5, Seq: 40})
	assert.Assert(t, d.Put(at(10), Target{ID: "a", Born: 9, Seq: 1}))
	assert.Assert(t, !d.Put(at(20), Target{ID: "a", Born: 5, Seq: 41, Draining: true}))
	assert.Assert(t, !d.Targets()[0].Draining)
}

// Symptom: a router that was cut off sends work to a target that left 12 s ago.
// Sequence: its way to the store heals; the target's entry is missing; since the router
// hadn't reached the store, it believes in the target for the time that entries may take to
// come back, and counts as whole again before that is over.
// What ends it: the leader, which was not cut off, knows that the target is gone.
func TestLeadersWordEndsTheGrace(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.Put(at(0), Target{ID: "b"})
	d.StoreAway()
	d.StoreBack(at(9000))
	d.Replace(at(9000), []Target{{ID: "b", Seq: 7}})
	assert.DeepEqual(t, known(d), []string{"a", "b"})
	assert.Assert(t, d.Adopt(at(9100), true, []Target{{ID: "b", Seq: 8}}, nil))
	assert.DeepEqual(t, known(d), []string{"b"})
}
