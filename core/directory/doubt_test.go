package directory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a live target that loses its requests and keys because somebody else wrote its entry, and against one that is
// kept for ever after that.
func TestTargetWithAnUnreadableEntryIsKeptForAWhile(t *testing.T) {
	for name, c := range map[string]struct {
		record func(d *Directory)
		kept   bool
	}{
		"not written again":         {func(*Directory) {}, false},
		"listed again":              {func(d *Directory) { d.Replace(at(1500), []Target{{ID: "b"}}, 12, "a") }, false},
		"written again":             {func(d *Directory) { d.Put(at(1500), Target{ID: "a", Seq: 2, Revision: 12}) }, true},
		"written again, as listed":  {func(d *Directory) { d.Replace(at(1500), []Target{{ID: "a", Revision: 12}, {ID: "b"}}, 12) }, true},
		"an older report, repeated": {func(d *Directory) { d.Put(at(1500), Target{ID: "a", Revision: 9}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Put(at(0), Target{ID: "a", Seq: 1, Revision: 9})
			d.Put(at(0), Target{ID: "b"})
			assert.Assert(t, !d.Replace(at(1000), []Target{{ID: "b"}}, 11, "a", "unknown"))
			assert.DeepEqual(t, targetIDs(d), []string{"a", "b"})
			c.record(d)
			assert.Equal(t, d.Next().IsZero(), c.kept)
			assert.Equal(t, d.Tick(at(1000).Add(ReturnGrace)), !c.kept)
			assert.Equal(t, len(d.Targets()) == 2, c.kept)
		})
	}
}

// Guards against a target that is kept although its entry was removed after somebody else had written it.
func TestRemovalOfAnUnreadableEntryCountsAtOnce(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", Revision: 9})
	d.Confirm(at(900))
	d.Doubt(at(1000), "a", 11)
	d.Confirm(at(1500))
	assert.Assert(t, d.Remove(at(1600), "a", 12))
	assert.Equal(t, len(d.Targets()), 0)
	for _, knownToStay := range d.LeavingOrGone() {
		assert.Equal(t, knownToStay, at(900))
	}
}

// Guards against an entry with another service that takes a live target from its own.
func TestReportWithAnotherServiceContradicts(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", Service: "s", StartUnixMilli: 5})
	assert.Assert(t, d.Contradicts(&Target{ID: "a", Service: "other", StartUnixMilli: 5}))
	assert.Assert(t, !d.Contradicts(&Target{ID: "a", Service: "other", StartUnixMilli: 6}), "a new instance")
	assert.Assert(t, !d.Contradicts(&Target{ID: "b", Service: "other", StartUnixMilli: 5}))
}

// Guards against a live target that is kept out for good by one entry of another writer with a later start, and against reports
// of a former instance that arrive late.
func TestEntryWithALaterStartKeepsATargetOutForAWhileOnly(t *testing.T) {
	real := func(seq uint64) Target {
		return Target{ID: "a", StartUnixMilli: 5, Address: "real", Seq: seq, Revision: 10 * seq}
	}
	foreign := Target{ID: "a", StartUnixMilli: 4102444800000, Address: "foreign", Seq: 1, Revision: 11}
	address := func(d *Directory) string { return d.Targets()[0].Address }
	d, follower := New(), New()
	for _, each := range []*Directory{d, follower} {
		each.Put(at(0), real(1))
		each.Put(at(1000), foreign)
	}
	d.Put(at(10_900), real(2))
	assert.Equal(t, address(d), "foreign")
	d.Put(at(11_000), real(3))
	assert.Equal(t, address(d), "real")
	follower.Adopt(at(11_010), false, d.Targets(), nil, 30)
	assert.Equal(t, address(follower), "real")

	late := New()
	late.Put(at(0), foreign)
	for i := range uint64(20) {
		again := foreign
		again.Seq, again.Revision = 2+i, 20+10*i
		late.Put(at(1000*int(i)), again)
		late.Put(at(1000*int(i)+500), Target{ID: "a", StartUnixMilli: 5, Address: "late", Seq: 99, Revision: 25 + 10*i})
		assert.Equal(t, address(late), "foreign")
	}
}
