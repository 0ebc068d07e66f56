package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against a target that has stated itself that it leaves and is taken to stay by its entry, by its absence, by a
// listing that came before the statement was known, or by an older copy of the store.
func TestStatedLeavingHoldsForTheInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := Target{ID: "a", StartUnixMilli: 1, Address: "h:1", Service: "s", Slots: 1, Seq: 4, Revision: 10}
	leaves := func(d *Directory) bool {
		targets := d.Targets()
		return len(targets) == 1 && targets[0].Draining
	}
	for name, what := range map[string]func(d *Directory){
		"the entry is written again": func(d *Directory) {
			later := ready
			later.Seq, later.Revision = 5, 11
			d.Put(now, later)
		},
		"a listing":     func(d *Directory) { d.Replace(now, []Target{ready}, 12) },
		"an older copy": func(d *Directory) { d.Restore(now, []Target{ready}, 3) },
		"a leader that doesn't know": func(d *Directory) {
			d.Adopt(now, true, []Target{ready}, nil, 12)
		},
		"gone and back": func(d *Directory) {
			d.Remove(now, "a", 12)
			back := ready
			back.Revision = 13
			d.Put(now, back)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []bool{false, true} {
				d := New()
				if !first {
					d.Put(now, ready)
				}
				assert.Assert(t, d.StateLeaving(now, ready.Holder(), now))
				assert.Assert(t, !d.StateLeaving(now, ready.Holder(), now.Add(time.Second)))
				if first {
					d.Put(now, ready)
				}
				assert.Assert(t, leaves(d))
				what(d)
				assert.Assert(t, leaves(d))
				restarted := ready
				restarted.StartUnixMilli, restarted.Revision = 2, 20
				d.Put(now, restarted)
				assert.Assert(t, !leaves(d))
			}
		})
	}
}

// Guards against a target that gets requests for longer than the store's acknowledgement of its leaving allows, because its
// own statement came later.
func TestLeavingCountsFromTheEarliestWord(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Confirm(now)
	d.Put(now, Target{ID: "a", StartUnixMilli: 1, Address: "h:1", Service: "s", Slots: 1, Revision: 10})
	h := keyspace.Holder{Target: "a", StartUnixMilli: 1}
	d.StateLeaving(now, h, now.Add(300*time.Millisecond))
	assert.Assert(t, d.LeavingOrGone()[h].Equal(now.Add(300*time.Millisecond)))
	d.Put(now, Target{ID: "a", StartUnixMilli: 1, Address: "h:1", Service: "s", Slots: 1, Revision: 11, Draining: true})
	assert.Assert(t, d.LeavingOrGone()[h].Equal(now))
	d.StateLeaving(now, h, now.Add(-time.Second))
	assert.Assert(t, d.LeavingOrGone()[h].Equal(now.Add(-time.Second)))
}

// Guards against statements that are kept for ever.
func TestStatementsOfForgottenTargetsEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	for _, id := range []string{"a", "b", "c"} {
		d.StateLeaving(now, keyspace.Holder{Target: id}, now)
	}
	d.Put(now, Target{ID: "a", Address: "h:1", Service: "s", Slots: 1})
	d.StateLeaving(now.Add(2*departedRetention), keyspace.Holder{Target: "d"}, now.Add(2*departedRetention))
	stated := d.StatedLeaving()
	assert.Assert(t, len(stated) == 2 && !stated[keyspace.Holder{Target: "a"}].IsZero() && !stated[keyspace.Holder{Target: "d"}].IsZero(), "%v", stated)
}
