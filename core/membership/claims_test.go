package membership

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSplitFleet starts a fleet, cuts the first routers off from the others and waits until
// the others hold them isolated.
func newSplitFleet(t *testing.T, seed uint64, cut int) *fleet {
	f := newFleet(t, DefaultConfig(), losslessNet(), seed, 10, "doto")
	away := f.names[:cut]
	f.net.Blocked = func(from, to string) bool { return slices.Contains(away, from) != slices.Contains(away, to) }
	f.net.Run(5 * time.Second)
	for _, name := range f.names[cut:] {
		held := f.countStates(name, f.firstN(cut))
		assert.Equal(t, held[Isolated], cut, "%s holds %v", name, held)
	}
	f.changes = nil
	return f
}

// runWithList has the readers read the VM list once per second for the given time.
func (f *fleet) runWithList(span time.Duration, vms []ListedVM, readers ...string) {
	for range int(span / time.Second) {
		for _, name := range readers {
			f.nodes[name].step(f.net.Now(), Listed{VMs: vms})
		}
		f.net.Run(time.Second)
	}
}

// Members that stay isolated for longer than DelistedAfter but are still on the platform's
// VM list must not be declared lost.
func TestListedIsolatedMembersAreNotDeclaredLost(t *testing.T) {
	f := newSplitFleet(t, 61, 4)
	f.runWithList(40*time.Second, f.vms, f.names[4:]...)
	assert.Equal(t, len(f.verdicts(Lost)), 0, "%v", f.changes)
}

// Isolated members that are missing from the platform's VM list for a few seconds only must
// not be declared lost.
func TestMembersBrieflyMissingFromListAreNotDeclaredLost(t *testing.T) {
	f := newSplitFleet(t, 62, 4)
	f.runWithList(4*time.Second, f.vms[4:], f.names[4:]...)
	f.runWithList(40*time.Second, f.vms, f.names[4:]...)
	assert.Equal(t, len(f.verdicts(Lost)), 0, "%v", f.changes)
}

// A router that is cut off itself must not declare isolated members lost because a VM list
// that it still reads does not name them.
func TestCutOffRouterDeclaresNoDelistedMemberLost(t *testing.T) {
	f := newSplitFleet(t, 63, 4)
	judge := f.names[9]
	f.net.Blocked = func(from, to string) bool { return from == judge || to == judge }
	f.net.Run(time.Second)
	f.runWithList(40*time.Second, f.vms[4:], judge)
	for _, c := range f.verdicts(Lost) {
		assert.Assert(t, c.by != judge, "%v", c.got)
	}
}

// A member that is isolated because it reports that it hears no other router still sends
// messages. It must not be declared lost when the platform's VM list no longer names it.
func TestDelistedMemberThatStillSendsIsNotDeclaredLost(t *testing.T) {
	c := newCoreWithMembers(epoch)
	now := epoch
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		c.Step(now, Received{From: inDoto("b"), Message: Message{Kind: Heartbeat, Version: 1, HearsNobody: true}})
		c.Step(now, Received{From: inDoto("c"), Message: Message{Kind: Heartbeat, Version: 1}})
		c.Step(now, Listed{VMs: []ListedVM{listedVM("a", false), listedVM("c", false)}})
		c.Step(now, Tick{})
	}
	assert.Equal(t, c.byName["b"].state, Isolated)
}

// A router that was leaving, heard no other router and had reported a revision restarts,
// and the others hear of its new instance from a third router. Nothing known of the old
// instance may be kept for the new one.
func TestNewInstanceKeepsNothingOfOldInstance(t *testing.T) {
	now := epoch
	c := newCoreWithMembers(now)
	c.Step(now, Listed{VMs: []ListedVM{listedVM("b", true), listedVM("c", false)}})
	c.Step(now, Received{From: inDoto("b"), Message: Message{Kind: Heartbeat, Version: 1, HearsNobody: true, Revision: 9}})
	old := c.byName["b"]
	assert.Assert(t, old.hearsNobody && old.platformLeaving && old.revision == 9)
	assert.Assert(t, leavingMembers(c)["b"])

	next := inDoto("b")
	next.Incarnation = 2
	now = now.Add(50 * time.Millisecond)
	push := Message{Kind: Push, Version: 1, Updates: []Update{{Member: next, State: Alive}}}
	c.Step(now, Received{From: inDoto("c"), Message: push})
	r := c.byName["b"]
	assert.Equal(t, r.Incarnation, uint64(2))
	assert.Equal(t, r.state, Alive)
	assert.Assert(t, !r.hearsNobody)
	assert.Assert(t, !leavingMembers(c)["b"])
	assert.Assert(t, r.lastHeard.IsZero(), "the old instance's sign of life counts for the new one")
	c.Step(now, Received{From: next, Message: Message{Kind: Heartbeat, Revision: 3}})
	assert.Equal(t, r.revision, uint64(3))
}
