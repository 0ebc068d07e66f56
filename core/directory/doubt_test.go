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
