package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func inDoto(name string) Member {
	return Member{Name: name, DataCentre: "doto", Address: name + ":1", Incarnation: 1}
}

// newCoreWithMembers returns the core of a router that knows b and c as members.
func newCoreWithMembers(now time.Time) *Core {
	c := New(DefaultConfig(), inDoto("a"), rand.New(rand.NewPCG(1, 1)))
	for _, name := range []string{"b", "c"} {
		c.Step(now, Received{From: inDoto(name), Message: Message{Kind: Heartbeat, Version: 1}})
	}
	return c
}

func leavingMembers(c *Core) map[string]bool {
	out := map[string]bool{}
	for _, m := range c.View().Members("doto") {
		if m.Leaving {
			out[m.Name] = true
		}
	}
	return out
}

func listedVM(name string, leaving bool) ListedVM {
	return ListedVM{Name: name, DataCentre: "doto", Address: name + ":1", Leaving: leaving}
}

func TestNoticeContainsOnlyEntriesMissingFromView(t *testing.T) {
	now := epoch
	c := newCoreWithMembers(now)
	got := c.Notice([]ListedVM{listedVM("a", false), listedVM("b", false), listedVM("c", true), listedVM("d", false)})
	assert.DeepEqual(t, got, []ListedVM{listedVM("c", true), listedVM("d", false)})
	var all []ListedVM
	for i := range 2 * maxNoticeVMs {
		all = append(all, listedVM(string(rune('e'+i%20))+string(rune('a'+i/20)), false))
	}
	assert.Equal(t, len(c.Notice(all)), maxNoticeVMs)
}

// A notice may be delayed, and notices may arrive in another order than the lists were read
// in. A notice of an older list must not replace a newer one, or routers would appear to be
// leaving and lose their duties.
func TestStaleNoticeIsIgnored(t *testing.T) {
	now := epoch
	c := newCoreWithMembers(now)
	notice := func(age time.Duration, vms ...ListedVM) { c.Step(now, NoticeReceived{VMs: vms, Age: age}) }
	now = now.Add(2 * time.Minute)
	notice(0, listedVM("b", true))
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{"b": true})
	now = now.Add(10 * time.Second)
	notice(11*time.Second, listedVM("c", true))
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{"b": true}) // the list was read before the known one
	notice(0)
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{})
	now = now.Add(5 * time.Second)
	c.Step(now, Listed{VMs: []ListedVM{listedVM("a", false), listedVM("b", false), listedVM("c", true)}})
	notice(time.Second)
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{"c": true}) // read before this router's own list
	now = now.Add(2 * time.Minute)
	notice(maxNoticeAge + time.Second)
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{"c": true}) // too old
	notice(time.Second)
	assert.DeepEqual(t, leavingMembers(c), map[string]bool{})
}

// A VM from a notice that is not a member must be kept while notices name it, so that it is
// contacted, and removed afterwards, so that it is not contacted for ever.
func TestNoticedVMIsKeptWhileNoticesNameIt(t *testing.T) {
	now := epoch
	c := newCoreWithMembers(now)
	known := func() bool { return c.byName["d"] != nil }
	for range 5 {
		now = now.Add(time.Second)
		c.Step(now, NoticeReceived{VMs: []ListedVM{listedVM("d", false)}})
		c.Step(now, Tick{})
		assert.Assert(t, known())
	}
	c.Step(now, NoticeReceived{})
	now = now.Add(2 * time.Second)
	c.Step(now, Tick{})
	assert.Assert(t, !known())
}

// A member is isolated that started after this router last read the platform's VM list;
// later lists arrive only as notices. Only a list that this router reads itself after the
// isolation shows that the member was removed from it: otherwise live members are declared
// lost during a partition.
func TestOnlyListReadAfterIsolationDelistsMember(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 31, 10, "doto")
	cut, gone := f.names[:4], f.names[0]
	f.net.Blocked = func(from, to string) bool { return slices.Contains(cut, from) != slices.Contains(cut, to) }
	f.net.Run(5 * time.Second)
	stateOf := func(name string) State { return f.nodes[name].core.byName[gone].state }
	for _, name := range f.names[4:] {
		assert.Equal(t, stateOf(name), Isolated, name)
		f.nodes[name].core.byName[gone].listed = false // it started after the list was last read
	}
	pass := func(e Event) {
		for range 30 {
			for _, name := range f.names[4:] {
				f.nodes[name].step(f.net.Now(), e)
			}
			f.net.Run(time.Second)
		}
	}
	pass(NoticeReceived{})
	for _, name := range f.names[4:] {
		assert.Equal(t, stateOf(name), Isolated, name)
	}
	var list []ListedVM
	for _, vm := range f.vms {
		if vm.Name != gone {
			list = append(list, vm)
		}
	}
	pass(Listed{VMs: list})
	for _, name := range f.names[4:] {
		assert.Equal(t, stateOf(name), Lost, name)
	}
}
