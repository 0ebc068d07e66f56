package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
)

// servingKeeper returns a keeper that serves target t under term 8 until the given time.
func servingKeeper(until time.Duration) (*Keeper, TargetSpec) {
	self := Router{Name: "a", Incarnation: 1}
	k := NewKeeper(Config{Self: self, DataCentre: "dc1"})
	spec := TargetSpec{Name: "t", Service: "s", DataCentre: "dc1"}
	k.Step(0, Configured{Targets: []TargetSpec{spec}})
	d := k.duties["t"]
	d.phase, d.term, d.until = serving, 8, until
	d.record = &GrantorRecord{Target: "t", Term: 8, Router: self, Successors: []Router{{Name: "b", Incarnation: 1}}}
	d.recordRead, d.revision, d.confirmedAt = true, 1, 0
	k.refreshGate()
	return k, spec
}

// Guards against an endless right to finish requests at a target that was removed during a suspension.
func TestRemovedTargetLeavesNoEndlessRight(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	assert.Equal(t, k.gate.SendUntil("t", 8, true), 320*time.Millisecond)
	k.Step(10*time.Second, Configured{})
	assert.Assert(t, k.gate.SendUntil("t", 8, true) < 10*time.Second)
}

// Guards against a lapsed right that begins again when the target leaves the configuration.
func TestLapsedRightStaysLapsedWhenTheTargetIsRemoved(t *testing.T) {
	k, spec := servingKeeper(320 * time.Millisecond)
	other := &GrantorRecord{Target: "t", Term: 16, Router: Router{Name: "b", Incarnation: 1}}
	k.Step(10*time.Second, StoreChanged{Key: k.duties["t"].key, Revision: 2, Value: other.Encode()})
	assert.Equal(t, k.gate.SendUntil("t", 8, true), time.Duration(0))
	k.Step(11*time.Second, Configured{})
	assert.Check(t, k.gate.SendUntil("t", 8, true) == 0, "after the removal")
	k.Step(12*time.Second, Configured{Targets: []TargetSpec{spec}})
	assert.Check(t, k.gate.SendUntil("t", 8, true) == 0, "after the return")
}

// Guards against a lapse that is forgotten because the step that learns of it also drops the duty.
func TestLapsedRightToATargetElsewhereStaysLapsed(t *testing.T) {
	self := Router{Name: "a", Incarnation: 1}
	k := NewKeeper(Config{Self: self, DataCentre: "dc2"})
	spec := TargetSpec{Name: "t", Service: "s", DataCentre: "dc1", Isolation: model.Isolation{YieldAfter: time.Second}}
	k.Step(0, Configured{Targets: []TargetSpec{spec}, Services: []ServiceSpec{{Name: "s", HashSlots: 16}}})
	own := &GrantorRecord{Target: "t", Term: 8, Router: self, DataCentre: "dc2", YieldAfter: time.Second, Successors: []Router{{Name: "b", Incarnation: 1}}}
	k.Step(1, StoreChanged{Key: GrantorKey("dc1", "t"), Revision: 1, Value: own.Encode()})
	d := k.duties["t"]
	assert.Assert(t, d != nil)
	d.phase, d.term, d.until, d.confirmedAt, d.meetsOrderBound = serving, 8, 320*time.Millisecond, 1, true
	k.refreshGate()
	assert.Equal(t, k.gate.SendUntil("t", 8, true), 320*time.Millisecond)
	other := &GrantorRecord{Target: "t", Term: 16, Router: Router{Name: "c", Incarnation: 1}, YieldAfter: time.Second}
	k.Step(10*time.Second, StoreChanged{Key: d.key, Revision: 2, Value: other.Encode()})
	assert.Equal(t, k.gate.SendUntil("t", 8, true), time.Duration(0))
}

// Guards against a hand-over that counts although another router claimed the target before its record
// was written.
func TestHandOverThatNeverLandedIsALapse(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	d, to := k.duties["t"], Router{Name: "b", Incarnation: 1}
	k.handOver(time.Millisecond, d, to)
	assert.Equal(t, k.gate.SendUntil("t", 8, true), 320*time.Millisecond)
	other := &GrantorRecord{Target: "t", Term: 24, Router: Router{Name: "c", Incarnation: 1}}
	k.Step(10*time.Second, StoreChanged{Key: d.key, Revision: 2, Value: other.Encode()})
	assert.Equal(t, k.gate.SendUntil("t", 8, true), time.Duration(0))
}

// Guards against a hand-over that counts as a lapse and cuts off the requests that had begun.
func TestHandOverIsNoLapse(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	d, to := k.duties["t"], Router{Name: "b", Incarnation: 1}
	k.handOver(time.Millisecond, d, to)
	written := k.writes[d.key].value
	k.Step(100*time.Millisecond, StoreChanged{Key: d.key, Revision: 2, Value: written})
	assert.Equal(t, d.record.Router, to)
	assert.Equal(t, k.gate.SendUntil("t", 8, true), never)
}

// Guards against a request that goes on after its router had to claim a later epoch for the target.
func TestRaisedTermEndsStartedRequests(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	k.raiseTerm(time.Millisecond, k.duties["t"], false)
	k.refreshGate()
	assert.Equal(t, k.gate.SendUntil("t", 8, true), time.Duration(0))
}

// Guards against a claim that counts as a hand-over because the receiver of that made it.
func TestClaimByTheReceiverOfAHandOverIsALapse(t *testing.T) {
	k, spec := servingKeeper(320 * time.Millisecond)
	d, to := k.duties["t"], Router{Name: "b", Incarnation: 1}
	successor := NewKeeper(Config{Self: to, DataCentre: "dc1"})
	successor.Step(0, Configured{Targets: []TargetSpec{spec}})
	theirs := successor.duties["t"]
	theirs.record, theirs.recordRead, theirs.revision = d.record, true, d.revision
	k.handOver(time.Millisecond, d, to)
	successor.claim(9*time.Second, theirs)
	claimed := successor.writes[d.key]
	k.Step(10*time.Second, StoreChanged{Key: d.key, Revision: 2, Value: claimed.value})
	assert.Equal(t, d.record.Router, to)
	assert.Equal(t, k.gate.SendUntil("t", 8, true), time.Duration(0))
}

// Guards against an endless right to finish requests while the record of a hand-over is being written.
func TestHandOverThatHasNotLandedGivesNoEndlessRight(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	k.handOver(time.Millisecond, k.duties["t"], Router{Name: "b", Incarnation: 1})
	assert.Assert(t, k.gate.SendUntil("t", 8, true) <= 320*time.Millisecond)
}

// Guards against rights to finish requests that are remembered for targets that left the configuration.
func TestRightToARemovedTargetIsForgotten(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	k.Step(100*time.Millisecond, Configured{})
	assert.Equal(t, len(k.finish), 1)
	k.Step(100*time.Millisecond+k.cfg.RequestBound, Tick{})
	assert.Equal(t, len(k.finish), 0)
	assert.Equal(t, len(k.gate.rights), 0)
}

// Guards against a record that names more and more former grantors.
func TestHandOverWaitsWhileTheRecordNamesManyFormerGrantors(t *testing.T) {
	k, _ := servingKeeper(320 * time.Millisecond)
	d, to := k.duties["t"], Router{Name: "b", Incarnation: 1}
	for i := range maxFormers {
		former := Router{Name: string(rune('c' + i)), Incarnation: 1}
		d.record.Formers = append(d.record.Formers, Former{Router: former, Units: UnitSet{All: true}})
	}
	k.handOver(time.Millisecond, d, to)
	assert.Equal(t, d.phase, serving)
	d.record.Formers = d.record.Formers[1:]
	k.handOver(2*time.Millisecond, d, to)
	assert.Equal(t, d.phase, idle)
}
