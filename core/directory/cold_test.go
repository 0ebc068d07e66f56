package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

func coldOnly(t *testing.T, d *Directory) time.Time {
	t.Helper()
	all := d.Targets()
	assert.Equal(t, len(all), 1)
	return all[0].ColdUntil
}

// Guards against targets that become cold again and get the requests of warm ones, because their reports seem to change nothing.
func TestTargetThatBecomesColdAgainIsAChange(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", Seq: 1})
	assert.Assert(t, coldOnly(t, d).IsZero())
	assert.Assert(t, d.Put(at(900), Target{ID: "a", Seq: 2, ColdFor: 2 * time.Second}))
	assert.Assert(t, !d.Put(at(1800), Target{ID: "a", Seq: 3, ColdFor: 1100 * time.Millisecond}))
	assert.Equal(t, coldOnly(t, d), at(2900))
	assert.Assert(t, !d.Put(at(2700), Target{ID: "a", Seq: 4}))
	assert.Equal(t, coldOnly(t, d), at(2700), "until when it was cold is known afterwards")
}

// Guards against a data centre that is taken back and stays unused although its targets report that they are warm.
func TestAssumedColdEndsWithAReportOfALaterRevision(t *testing.T) {
	cold := func(string) time.Duration { return 3 * time.Second }
	d := New()
	d.Put(at(0), Target{ID: "a", DataCentre: "hall", Seq: 1, Revision: 4})
	d.AssumeCold(at(100), "annex", 10, cold)
	assert.Assert(t, coldOnly(t, d).IsZero())
	d.AssumeCold(at(100), "hall", 10, cold)
	assert.Equal(t, coldOnly(t, d), at(3100))
	assert.Assert(t, !d.Put(at(200), Target{ID: "a", DataCentre: "hall", Seq: 2, Revision: 9}), "written before")
	assert.Equal(t, coldOnly(t, d), at(3100))
	assert.Assert(t, d.Put(at(300), Target{ID: "a", DataCentre: "hall", Seq: 3, Revision: 11}))
	assert.Assert(t, coldOnly(t, d).IsZero())
}

// Guards against a data centre that stays unused because its targets, which are warm, report nothing new.
func TestAssumedColdEndsWithTheTargetsOwnAnswer(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", DataCentre: "hall", Revision: 4})
	assume := func() {
		d.AssumeCold(at(100), "hall", 10, func(string) time.Duration { return 3 * time.Second })
	}
	assume()
	d.SetCold(at(200), keyspace.Holder{Target: "a"}, 0)
	assert.Assert(t, coldOnly(t, d).IsZero())
	assume()
	d.SetCold(at(200), keyspace.Holder{Target: "a"}, time.Second)
	assert.Equal(t, coldOnly(t, d), at(1200))
	d.SetCold(at(300), keyspace.Holder{Target: "a", StartUnixMilli: 7}, 0)
	assert.Equal(t, coldOnly(t, d), at(1200), "another instance")
	d.Put(at(400), Target{ID: "a", DataCentre: "hall", Seq: 2, Revision: 9})
	assert.Equal(t, coldOnly(t, d), at(1200), "a report that was written before the target became cold, and read late")
}

// Guards against followers that don't take a target's answer from the leader, because they have a later report of the target,
// and against ones that take an older answer.
func TestFollowerTakesTheAnswerWhateverReportItHas(t *testing.T) {
	leader, follower := New(), New()
	for _, d := range []*Directory{leader, follower} {
		d.Put(at(0), Target{ID: "a", DataCentre: "hall", Revision: 4})
		d.AssumeCold(at(100), "hall", 10, func(string) time.Duration { return 3 * time.Second })
	}
	assert.Assert(t, leader.KnownTargets()[0].ColdUntil.IsZero(), "an assumption is not passed on")
	follower.Put(at(150), Target{ID: "a", DataCentre: "hall", Revision: 9})
	tell := func(ms int) bool {
		all := leader.KnownTargets()
		all[0].ColdFor = max(all[0].ColdUntil.Sub(at(ms)), 0)
		return follower.Adopt(at(ms), true, all, nil, 10)
	}
	tell(180)
	assert.Equal(t, coldOnly(t, follower), at(3100))
	leader.SetCold(at(200), keyspace.Holder{Target: "a"}, time.Second)
	assert.Assert(t, tell(300))
	assert.Equal(t, coldOnly(t, follower), at(1200))
	follower.AssumeCold(at(2000), "hall", 20, func(string) time.Duration { return 3 * time.Second })
	tell(2100)
	assert.Equal(t, coldOnly(t, follower), at(5000), "an answer from before")
	leader.AssumeCold(at(2000), "hall", 20, func(string) time.Duration { return 3 * time.Second })
	leader.SetCold(at(2200), keyspace.Holder{Target: "a"}, 0)
	assert.Assert(t, tell(2300))
	assert.Assert(t, !coldOnly(t, follower).After(at(2300)))
}
