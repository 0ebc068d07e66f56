package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// largeValue returns a value above MinPatchValue. A different change alters only a few of its
// bytes.
func largeValue(change int) string {
	var b strings.Builder
	for i := range 400 {
		fmt.Fprintf(&b, "object %d of the model; ", i*i)
		if i == change%400 {
			fmt.Fprintf(&b, "changed %d; ", change)
		}
	}
	return b.String()
}

// countRecords counts, from now on, the records sent between routers, full and as patches.
func (f *fleet) countRecords() (whole, patched *int) {
	whole, patched = new(int), new(int)
	f.net.OnSend = func(_, _ string, m Message) {
		*whole += len(m.Entries)
		*patched += len(m.Patches)
	}
	return whole, patched
}

// Changes of the model's record must go down the trees as patches, both single ones and a
// burst, because the routers below hold the previous revision.
func TestChangesGoAsPatches(t *testing.T) {
	net := reliable()
	net.MaxDelay = 20 * time.Millisecond
	f := newFleet(DefaultConfig(), net, 61, 40, "doto")
	f.write("config/current", Configuration, largeValue(0))
	f.net.Run(300 * time.Millisecond)
	whole, patched := f.countRecords()
	for i := range 60 {
		f.write("config/current", Configuration, largeValue(i+1))
		f.net.Run(map[bool]time.Duration{true: 300 * time.Millisecond, false: 20 * time.Millisecond}[i < 10])
	}
	f.net.Run(f.cfg.MinChangeInterval + 50*time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
	for _, name := range f.names() {
		e, _ := f.nodes[name].core.Entry("config/current")
		assert.Equal(t, string(e.Value), largeValue(60), name)
	}
	assert.Equal(t, *whole, 0, "of %d", *patched)
}

// A patch is applied once, only to its base, and never in place of a newer revision. If it
// cannot be applied, the full record is requested.
func TestPatchesApplyOnlyToTheirBase(t *testing.T) {
	held := Entry{Key: "config/current", Revision: 5, Class: Configuration, Value: []byte(largeValue(5))}
	sender := New(DefaultConfig(), "a", "doto", 1, fixedRand())
	sender.Step(epoch, FromStore{Entries: []Entry{held}})
	next := held
	next.Revision, next.Value = 7, []byte(largeValue(7))
	sender.Step(epoch.Add(time.Second), FromStore{Entries: []Entry{next}})
	good, ok := sender.patchOf(&next)
	assert.Assert(t, ok)
	for _, tt := range []struct {
		name    string
		change  func(*Patch)
		ahead   uint64
		want    uint64
		asks    int
		dropped []PatchDropped
	}{
		{"good", func(*Patch) {}, 0, 7, 0, nil},
		{"good, newer held", func(*Patch) {}, 9, 9, 0, nil},
		{"another base, newer held", func(p *Patch) { p.Base = 4 }, 9, 9, 0, nil},
		{"older value held", func(*Patch) {}, 6, 7, 0, nil},
		{"another base", func(p *Patch) { p.Base = 4 }, 0, 5, 1, []PatchDropped{{Key: held.Key, From: "a"}}},
		{"another key", func(p *Patch) { p.Key = "config/else" }, 0, 5, 1, []PatchDropped{{Key: "config/else", From: "a"}}},
		{"wrong sum", func(p *Patch) { p.Sum++ }, 0, 5, 1, []PatchDropped{{Key: held.Key, From: "a", Invalid: true}}},
		{"cut short", func(p *Patch) { p.Bytes = p.Bytes[:len(p.Bytes)-1] }, 0, 5, 1, []PatchDropped{{Key: held.Key, From: "a", Invalid: true}}},
		{"base as another revision", func(p *Patch) { p.Base = 6 }, 6, 6, 1, []PatchDropped{{Key: held.Key, From: "a", Invalid: true}}},
	} {
		c := New(DefaultConfig(), "b", "doto", 1, fixedRand())
		c.Step(epoch, FromStore{Entries: []Entry{held}})
		if tt.ahead > 0 {
			c.Step(epoch, Received{From: "a", Message: Message{Kind: Fill, Entries: []Entry{{Key: held.Key, Revision: tt.ahead, Class: Configuration, Value: []byte(largeValue(int(tt.ahead)))}}}})
		}
		p := good
		tt.change(&p)
		asks, delivered := 0, 0
		var dropped []PatchDropped
		for range 2 {
			for _, a := range c.Step(epoch, Received{From: "a", Message: Message{Kind: Patched, Root: "a", Patches: []Patch{p}}}) {
				switch a := a.(type) {
				case Send:
					asks += len(a.Message.Hashes)
				case Deliver:
					delivered++
				case PatchDropped:
					dropped = append(dropped, a)
				}
			}
		}
		e, _ := c.Entry(held.Key)
		assert.Equal(t, e.Revision, tt.want, tt.name)
		assert.Equal(t, string(e.Value), largeValue(int(tt.want)), tt.name)
		assert.Equal(t, asks, tt.asks, tt.name)
		assert.Assert(t, delivered <= 1, tt.name)
		assert.DeepEqual(t, dropped, append(tt.dropped, tt.dropped...))
	}
}

// With messages lost, duplicated and delayed, and with a router that doesn't support patches,
// all routers end with the store's exact bytes, and none goes back to a lower revision.
func TestPatchesConvergeUnderFaults(t *testing.T) {
	patches := 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(DefaultConfig(), lossy(), rapid.Uint64().Draw(rt, "seed"), 6, "doto", "visayas")
		earlier := f.dcs["doto"][rapid.IntRange(0, 5).Draw(rt, "earlier")]
		f.nodes[earlier].noPatches = true
		f.net.OnSend = func(_, to string, m Message) {
			patches += len(m.Patches)
			if to == earlier && len(m.Patches) > 0 {
				rt.Fatalf("a patch went to %s", to)
			}
		}
		for i := range rapid.IntRange(1, 15).Draw(rt, "writes") {
			f.write("config/current", Configuration, largeValue(i))
			f.net.Run(time.Duration(rapid.IntRange(0, 400).Draw(rt, "run")) * time.Millisecond)
		}
		f.net.Run(5 * time.Second)
		for _, name := range f.names() {
			e, _ := f.nodes[name].core.Entry("config/current")
			if string(e.Value) != string(f.store["config/current"].Value) || f.nodes[name].regressions > 0 {
				rt.Fatalf("%s holds revision %d of %d", name, e.Revision, f.rev)
			}
		}
	})
	assert.Assert(t, patches > 1000, "only %d patches", patches)
}
