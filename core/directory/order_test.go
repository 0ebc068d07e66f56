package directory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "1") }

// storeWrite is a write of a target's entry in the store, or its removal.
type storeWrite struct {
	target  Target
	removed bool
}

// storeHistory is what targets write to the store; a write's index is its revision less one.
type storeHistory []storeWrite

// drawHistory draws the writes of a few targets that start, report, announce that they leave, and are removed.
func drawHistory(t *rapid.T) storeHistory {
	var h storeHistory
	last := map[string]storeWrite{}
	for range rapid.IntRange(1, 24).Draw(t, "writes") {
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
		w, known := last[id]
		w.target.Seq++
		w.target.Revision = uint64(len(h) + 1)
		switch what := rapid.SampledFrom([]string{"report", "report", "leave", "remove", "restart"}).Draw(t, "what"); {
		case !known || what == "restart":
			w = storeWrite{target: Target{ID: id, StartUnixMilli: w.target.StartUnixMilli + 1, Address: id, Revision: w.target.Revision}}
		case what == "leave":
			w.target.Draining, w.removed = true, false
		case what == "remove":
			w.removed = true
		default:
			w.removed = false
		}
		last[id] = w
		h = append(h, w)
	}
	return h
}

// at returns the targets that the store has at a revision.
func (h storeHistory) at(revision int) map[string]Target {
	all := map[string]Target{}
	for _, w := range h[:revision] {
		if delete(all, w.target.ID); !w.removed {
			all[w.target.ID] = w.target
		}
	}
	return all
}

// tell gives a directory the state or the changes of a part of the history, in one of the ways in which they come.
func (h storeHistory) tell(d *Directory, way string, from, to int) {
	now, state := at(to), h.at(to)
	var listed []Target
	for _, t := range state {
		listed = append(listed, t)
	}
	slices.SortFunc(listed, func(a, b Target) int { return int(a.Revision) - int(b.Revision) })
	switch way {
	case "listing":
		d.Replace(now, listed, uint64(to))
	case "whole update":
		d.Adopt(now, true, listed, nil, uint64(to))
	case "update":
		var gone []string
		for id := range h.at(from) {
			if _, present := state[id]; !present {
				gone = append(gone, id)
			}
		}
		d.Adopt(now, false, slices.DeleteFunc(listed, func(t Target) bool { return int(t.Revision) <= from }), gone, uint64(to))
	case "watch":
		for i, w := range h[from:to] {
			if w.removed {
				d.Remove(now, w.target.ID, uint64(from+i+1))
			} else {
				d.Put(now, w.target)
			}
		}
	}
}

var ways = []string{"listing", "whole update", "update", "watch"}

// drawTelling tells a directory a part of the history that ends with a revision. Changes come after a state that was told.
func (h storeHistory) drawTelling(t *rapid.T, d *Directory, to int) {
	from := rapid.IntRange(0, min(to-1, int(d.Revision()))).Draw(t, "from")
	h.tell(d, rapid.SampledFrom(ways).Draw(t, "way"), from, to)
}

// Guards against a target that is known to leave and gets requests again, because what an older report, listing or
// update says comes last.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, d, leaving := drawHistory(t), New(), map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			h.drawTelling(t, d, rapid.IntRange(1, len(h)).Draw(t, "to"))
			for _, target := range d.Targets() {
				start := fmt.Sprint(target.ID, target.StartUnixMilli)
				assert.Assert(t, target.Draining || !leaving[start], "%s stays again", start)
				leaving[start] = target.Draining
			}
		}
	})
}

func withoutTimes(targets []Target) []Target {
	for i := range targets {
		targets[i].ColdUntil = time.Time{}
	}
	return targets
}

// Guards against a target that is gone and gets requests again, because an older report, listing or update has it.
func TestOlderReportsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, d := drawHistory(t), New()
		for range rapid.IntRange(0, 6).Draw(t, "reports before") {
			h.drawTelling(t, d, rapid.IntRange(1, len(h)).Draw(t, "to"))
		}
		h.tell(d, rapid.SampledFrom([]string{"listing", "whole update"}).Draw(t, "newest"), 0, len(h))
		newest := withoutTimes(d.Targets())
		assert.DeepEqual(t, targetIDs(d), slices.Sorted(maps.Keys(h.at(len(h)))))
		for range rapid.IntRange(1, 6).Draw(t, "older reports") {
			h.drawTelling(t, d, rapid.IntRange(1, len(h)).Draw(t, "to"))
			assert.DeepEqual(t, withoutTimes(d.Targets()), newest)
		}
	})
}

// Guards against a target that is gone and gets requests again, because an older listing or update has it.
func TestTargetThatIsGoneComesBackOnlyByALaterReport(t *testing.T) {
	staying, next := Target{ID: "a", Revision: 5, Seq: 5}, Target{ID: "a", Revision: 9, Seq: 9}
	for _, way := range []func(d *Directory, t Target){
		func(d *Directory, t Target) { d.Put(at(200), t) },
		func(d *Directory, t Target) { d.Replace(at(200), []Target{t}, t.Revision) },
		func(d *Directory, t Target) { d.Adopt(at(200), true, []Target{t}, nil, t.Revision) },
		func(d *Directory, t Target) { d.Adopt(at(200), false, []Target{t}, nil, t.Revision) },
	} {
		for _, remove := range []func(d *Directory){
			func(d *Directory) { d.Remove(at(100), "a", 7) },
			func(d *Directory) { d.Replace(at(100), nil, 7) },
			func(d *Directory) { d.Adopt(at(100), false, nil, []string{"a"}, 7) },
		} {
			d := New()
			d.Put(at(0), staying)
			remove(d)
			way(d, staying)
			assert.Equal(t, len(d.Targets()), 0, "an older report brought it back")
			way(d, next)
			assert.Equal(t, len(d.Targets()), 1)
		}
	}
}

// Guards against a target that is known to leave and gets requests again, because it reports that it stays after all.
func TestOnlyAnotherStartOfALeavingTargetStays(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "a", StartUnixMilli: 1, Draining: true, Revision: 5})
	d.Put(at(100), Target{ID: "a", StartUnixMilli: 1, Revision: 6})
	assert.Assert(t, d.Targets()[0].Draining)
	d.Remove(at(200), "a", 7)
	d.Put(at(300), Target{ID: "a", StartUnixMilli: 1, Revision: 8})
	assert.Assert(t, d.Targets()[0].Draining, "after it was gone")
	d.Put(at(400), Target{ID: "a", StartUnixMilli: 2, Revision: 9})
	assert.Assert(t, !d.Targets()[0].Draining)
}

// Guards against an entry that was gone and is back, and that nobody is told of because it says the same as before.
func TestEntryThatIsBackIsAChange(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(revision, created uint64) Target {
		return Target{ID: "a", StartUnixMilli: 1, Address: "h:1", Service: "s", Slots: 1, Revision: revision, Created: created}
	}
	d := New()
	assert.Assert(t, d.Put(now, entry(10, 10)))
	assert.Assert(t, !d.Put(now, entry(11, 10)), "a heartbeat")
	assert.Assert(t, !d.Put(now, entry(12, 0)), "a report of another router")
	assert.Assert(t, d.Put(now, entry(14, 14)))
	assert.Equal(t, d.KnownTargets()[0].Revision, uint64(14))
}
