package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func targetIDs(d *Directory) []string {
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

func TestRemovedTargetIsDroppedImmediately(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	assert.Assert(t, d.Remove(at(100), "a", 0))
	assert.Equal(t, len(d.Targets()), 0)
}

// Guards against requests that are refused for two seconds after each outage of the store.
// Entries expire while the store is unreachable, and when it is back the watch reports their
// removal. The targets were running all the time and write their entries again, so that a
// missing entry doesn't mean a missing target yet.
func TestEntriesExpiredDuringAnOutageMayReturnWithinTheGrace(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.Put(at(0), Target{ID: "b"})
	d.StoreUnreachable(at(0))
	d.StoreReachable(at(5000))
	assert.Assert(t, !d.Replace(at(5000), nil, 0))
	assert.DeepEqual(t, targetIDs(d), []string{"a", "b"})
	d.Put(at(6500), Target{ID: "a", Seq: 9})
	assert.Assert(t, d.Tick(d.Next()))
	assert.DeepEqual(t, targetIDs(d), []string{"a"})
}

// A removal reported while the store is unreachable takes effect ReturnGrace after the store
// is reachable again, not before.
func TestNoTargetIsRemovedWhileTheStoreIsUnreachable(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.StoreUnreachable(at(0))
	d.Remove(at(10), "a", 0)
	assert.Assert(t, !d.Tick(at(60_000)))
	d.StoreReachable(at(60_000))
	assert.Assert(t, !d.Tick(at(60_000)))
	assert.Assert(t, d.Tick(at(60_000).Add(ReturnGrace)))
}

// Guards against a target that gets work for seconds after its entry was removed, since a call of this router's own was held up long before:
// the store counted as unreachable until this router read it itself again, although its leader had told it of the store's state meanwhile.
func TestOutageThatTheLeaderHasDisprovedKeepsNoEntry(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.Put(at(0), Target{ID: "b"})
	d.StoreUnreachable(at(1000))
	assert.Assert(t, !d.Confirm(at(900)))
	assert.Assert(t, d.Confirm(at(1500)))
	d.StoreReachable(at(5000))
	assert.Assert(t, d.Replace(at(5000), []Target{{ID: "b"}}, 0))
	assert.DeepEqual(t, targetIDs(d), []string{"b"})
}

// A target that restarts under its ID is another instance. Late reports of the earlier
// instance are ignored.
func TestReportsOfAnEarlierInstanceAreIgnored(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", StartUnixMilli: 5, Seq: 40})
	assert.Assert(t, d.Put(at(10), Target{ID: "a", StartUnixMilli: 9, Seq: 1}))
	assert.Assert(t, !d.Put(at(20), Target{ID: "a", StartUnixMilli: 5, Seq: 41, Draining: true}))
	assert.Assert(t, !d.Targets()[0].Draining)
}

// Guards against a router that was cut off and sends work to a target that left 12 s ago. Its
// connection to the store returns, and the target's entry is missing; because the store was
// unreachable for this router, it keeps the target for ReturnGrace, and counts as fully
// connected again before that is over. The leader, which was not cut off, knows that the
// target has left, and its state ends the grace.
func TestStateFromTheLeaderEndsTheGrace(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a"})
	d.Put(at(0), Target{ID: "b"})
	d.StoreUnreachable(at(0))
	d.StoreReachable(at(9000))
	d.Replace(at(9000), []Target{{ID: "b", Seq: 7}}, 0)
	assert.DeepEqual(t, targetIDs(d), []string{"a", "b"})
	assert.Assert(t, d.Adopt(at(9100), true, []Target{{ID: "b", Seq: 8}}, nil, 0))
	assert.DeepEqual(t, targetIDs(d), []string{"b"})
}
