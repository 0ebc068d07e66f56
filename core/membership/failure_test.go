package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/simnet"
)

func lossyNet() simnet.Config {
	c := losslessNet()
	c.Loss = 0.05
	c.Duplicate = 0.02
	return c
}

// firstN returns a function that reports whether a router is one of the first n.
func (f *fleet) firstN(n int) func(string) bool {
	return func(name string) bool { return slices.Index(f.names, name) < n }
}

// countStates counts the states that the router name holds for the members that pick
// selects.
func (f *fleet) countStates(name string, pick func(string) bool) map[State]int {
	held := map[State]int{}
	v := f.nodes[name].core.View()
	for _, other := range f.names {
		if other != name && pick(other) {
			held[v.State(other)]++
		}
	}
	return held
}

// On an overcommitted host 5% of the messages are dropped and routers are suspended for 200
// ms. The silence of a suspension together with dropped heartbeats must not lead to a
// verdict.
func TestSuspensionsAndMessageLossLeadToNoVerdict(t *testing.T) {
	f := newFleet(t, DefaultConfig(), lossyNet(), 21, 20, "doto")
	for range 600 {
		f.net.Pause(f.names[f.net.Rand().IntN(len(f.names))], 200*time.Millisecond)
		f.net.Run(500 * time.Millisecond)
	}
	assert.Equal(t, len(f.verdicts(Lost)), 0)
	assert.Equal(t, len(f.verdicts(Isolated)), 0)
}

// In a data centre with two routers one is lost, and the other is briefly suspended just
// before or while it counts the silence. When each suspension restarted the count and was
// followed by a second without verdicts, keys stayed unserved for 1.6 to 2 s.
func TestShortSuspensionDoesNotDelayVerdict(t *testing.T) {
	cfg := DefaultConfig()
	for _, pause := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond} {
		for after := time.Duration(0); after < cfg.LostAfter; after += 50 * time.Millisecond {
			f := newFleet(t, cfg, losslessNet(), 44, 2, "doto")
			lost, other := f.names[0], f.nodes[f.names[1]]
			other.step(f.net.Now(), ExternalContact{})
			f.kill(lost)
			f.net.Run(after)
			f.net.Pause(other.name, pause)
			f.net.Run(cfg.LostAfter + cfg.HealthStep + 2*pause - after)
			assert.Equal(t, other.core.View().State(lost), Lost, "suspended for %s %s after the loss", pause, after)
		}
	}
}

// One of two routers is suspended, and the other one before it has heard the first again.
// The other must not count its own suspension as silence, or reach a verdict before it has
// read the waiting messages.
func TestOverlappingSuspensionsOfTwoRoutersLeadToNoVerdict(t *testing.T) {
	const pause = 200 * time.Millisecond
	for apart := time.Duration(0); apart <= pause; apart += 20 * time.Millisecond {
		f := newFleet(t, DefaultConfig(), losslessNet(), 45, 2, "doto")
		f.nodes[f.names[1]].step(f.net.Now(), ExternalContact{})
		f.net.Pause(f.names[0], pause)
		f.net.Run(apart)
		f.net.Pause(f.names[1], pause)
		f.net.Run(time.Second)
		assert.Equal(t, len(f.verdicts(Lost)), 0, "%s apart", apart)
	}
}

// Heartbeats are sent as datagrams, and from some moment on all of them are dropped; each
// router returns to sessions once it is pinged. 5% of the other messages are dropped, and
// routers are suspended for 200 ms. Silence on one transport must not lead to a verdict
// without a ping on the other.
func TestLostHeartbeatsAloneLeadToNoVerdict(t *testing.T) {
	f := newFleet(t, DefaultConfig(), lossyNet(), 24, 20, "doto")
	for i := range 300 {
		if i%10 == 0 {
			f.dropAllHeartbeats()
		}
		f.net.Pause(f.names[f.net.Rand().IntN(len(f.names))], 200*time.Millisecond)
		f.net.Run(500 * time.Millisecond)
	}
	assert.Equal(t, len(f.verdicts(Lost)), 0)
	assert.Equal(t, len(f.verdicts(Isolated)), 0)
}

// A router that was suspended must not count its suspension as the silence of the others:
// it would declare its whole data centre lost and take over all duties.
func TestResumedRouterConsidersItselfIsolated(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 22, 20, "doto")
	suspended := f.names[4]
	f.net.Pause(suspended, 10*time.Second)
	f.net.Run(9990 * time.Millisecond)
	assert.Equal(t, f.nodes[f.names[0]].core.View().State(suspended), Lost)
	f.changes = nil
	f.net.Run(30 * time.Millisecond)
	on, _ := f.nodes[suspended].core.View().Isolated()
	assert.Assert(t, on, "must consider itself isolated after the suspension")
	causes := f.nodes[suspended].isolationCauses
	assert.Assert(t, slices.Contains(causes, CauseSuspended), "%v", causes)
	f.net.Run(3 * time.Second)
	for _, c := range f.verdicts(Lost) {
		assert.Assert(t, c.by != suspended, "the suspended router declared lost: %s", c.got.Member.Name)
	}
	on, cause := f.nodes[suspended].core.View().Isolated()
	assert.Assert(t, !on, "still considers itself isolated: %s", cause)
	for _, name := range f.names {
		assert.Equal(t, f.live(name, "doto"), 20, name)
	}
}

// 40 of 400 routers die at once. The cap on verdicts must not treat the loss of a rack as a
// partition, and members whose observers died too must be declared lost; otherwise the
// targets of the rack stay unserved for minutes.
func TestLossOfRackIsDetected(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 24, 400, "doto")
	dead := map[string]bool{}
	for i := 0; i < 400; i += 10 {
		dead[f.names[i]] = true
		f.kill(f.names[i])
	}
	f.net.Run(1500 * time.Millisecond)
	for _, name := range f.names {
		if dead[name] {
			continue
		}
		held := f.countStates(name, func(n string) bool { return dead[n] })
		assert.Equal(t, held[Lost], 40, "%s holds %v", name, held)
		assert.Equal(t, f.live(name, "doto"), 360, name)
	}
}

// 16 of 40 routers die at once, too many to be declared lost, and the platform's VM list
// drops them later. They must not stay isolated for ever.
func TestDelistedIsolatedMembersAreDeclaredLost(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 25, 40, "doto")
	dead := f.firstN(16)
	for _, name := range f.names[:16] {
		f.kill(name)
	}
	f.net.Run(2 * time.Second)
	held := f.countStates(f.names[39], dead)
	assert.Equal(t, held[Lost]+held[Isolated], 16, "%v", held)
	assert.Assert(t, held[Isolated] > 0, "%v", held)
	for _, name := range f.names[16:] {
		n := f.nodes[name]
		n.step(f.net.Now(), Listed{VMs: f.vms[16:]})
	}
	f.net.Run(25 * time.Second)
	held = f.countStates(f.names[39], dead)
	assert.Equal(t, held[Lost], 16, "%v", held)
}

// The platform's VM list may be out of date, so a live router that it does not name must
// not be declared lost.
func TestDelistedLiveMemberIsNotDeclaredLost(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 26, 10, "doto")
	for _, name := range f.names {
		f.nodes[name].step(f.net.Now(), Listed{VMs: f.vms[1:]})
	}
	f.net.Run(time.Minute)
	assert.Equal(t, f.nodes[f.names[5]].core.View().State(f.names[0]), Alive)
	assert.Equal(t, len(f.verdicts(Lost)), 0)
}

// A router is cut off, 15 routers are replaced meanwhile, and it returns with its old view.
// Its outdated claims must not add members that are gone, whose silence would look like a
// partition.
func TestReturningRouterWithOldViewChangesNoMember(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 31, 40, "doto")
	cut := f.names[39]
	f.net.Blocked = func(from, to string) bool { return from == cut || to == cut }
	for i := range 15 {
		f.kill(f.names[i])
		f.net.Run(2 * time.Second)
		vm := ListedVM{Name: fmt.Sprintf("doto-new-%02d", i), DataCentre: "doto", Address: "x:1"}
		f.vms = append(f.vms, vm)
		f.start(vm, 1, 31)
	}
	f.net.Run(20 * time.Second)
	f.changes = nil
	f.net.Blocked = nil
	f.net.Run(20 * time.Second)
	for _, c := range f.changes {
		if c.by == cut {
			continue
		}
		assert.Assert(t, c.got.Member.Name == cut, "%s changed %s to %s: %s", c.by, c.got.Member.Name, c.got.To, c.got.Cause)
	}
	for name := range f.nodes {
		assert.Equal(t, f.live(name, "doto"), 40, name)
	}
}

// The clocks of two routers are a day ahead and a day behind. Times of different routers
// must not be compared.
func TestWrongClockChangesNoState(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 33, 10, "doto")
	f.kill(f.names[0])
	f.kill(f.names[1])
	f.net.Run(time.Second)
	f.start(f.vms[0], 2, 33).skew = 24 * time.Hour
	f.start(f.vms[1], 2, 33).skew = -24 * time.Hour
	f.net.Run(5 * time.Second)
	f.changes = nil
	f.net.Run(time.Minute)
	assert.Equal(t, len(f.changes), 0, "%v", f.changes)
	for _, name := range f.names {
		assert.Equal(t, f.live(name, "doto"), 10, name)
	}
}

// A router restarts before its loss is detected. The old instance must be reported as lost,
// or its duties would be neither taken over nor confirmed again.
func TestQuickRestartEndsOldInstance(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 34, 10, "doto")
	f.kill(f.names[2])
	f.net.Run(50 * time.Millisecond)
	f.start(f.vms[2], 2, 34)
	f.net.Run(3 * time.Second)
	ended := map[string]bool{}
	for _, c := range f.verdicts(Lost) {
		assert.Equal(t, c.got.Member.Name, f.names[2])
		assert.Equal(t, c.got.Member.Incarnation, uint64(1))
		assert.Equal(t, c.got.Cause, CauseRestarted)
		ended[c.by] = true
	}
	assert.Equal(t, len(ended), 9)
}

// A router that announces its stop and then stops must not be reported as lost, even if
// messages are dropped.
func TestPlannedStopIsNotReportedAsLoss(t *testing.T) {
	f := newFleet(t, DefaultConfig(), lossyNet(), 35, 20, "doto")
	leaver := f.nodes[f.names[2]]
	leaver.step(f.net.Now(), Leave{Leaving: true})
	f.net.Run(2 * time.Second)
	s, _ := f.nodes[f.names[9]].core.View().Status(leaver.name)
	assert.Assert(t, s.Leaving)
	assert.Equal(t, s.State, Alive)
	leaver.step(f.net.Now(), Leave{})
	f.net.Run(100 * time.Millisecond)
	f.kill(leaver.name)
	f.net.Run(3 * time.Second)
	assert.Equal(t, len(f.verdicts(Lost)), 0)
	for _, name := range f.names {
		if name != leaver.name {
			assert.Equal(t, f.nodes[name].core.View().State(leaver.name), Left, name)
		}
	}
}

// The only router of a data centre announces its stop and stops. No other router there can
// forward the announcement, so it must send it to the other data centres itself; otherwise
// they would continue to send to it.
func TestLastRouterOfDataCentreAnnouncesItsStop(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 36, 1, "kushiro", "nemuro", "abashiri")
	leaver := f.nodes[f.names[0]]
	leaver.step(f.net.Now(), Leave{Leaving: true})
	f.net.Run(time.Second)
	leaver.step(f.net.Now(), Leave{})
	f.net.Run(150 * time.Millisecond)
	f.kill(leaver.name)
	f.vms = f.vms[1:]
	var sent int
	f.trace = func(name string, _ time.Time, actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Send); ok && s.To == leaver.name {
				sent++
			}
		}
	}
	for _, name := range f.names[1:] {
		assert.Equal(t, f.nodes[name].core.View().State(leaver.name), Left, name)
		f.nodes[name].step(f.net.Now(), Listed{VMs: f.vms})
	}
	f.net.Run(3 * time.Second)
	assert.Equal(t, sent, 0)
}

// A router returns after the others have removed members that it still holds for alive.
// They are added again and found silent, while another router dies. Members that were never
// heard must not count towards the cap, or live members would become isolated.
func TestNeverHeardMembersDoNotCountTowardsCap(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 42, 20, "doto")
	var neverHeard []Update
	for i := range 15 {
		m := Member{Name: fmt.Sprintf("never-heard-%02d", i), DataCentre: "doto", Address: "x:1", Incarnation: 1}
		neverHeard = append(neverHeard, Update{Member: m, State: Alive})
	}
	returned := f.nodes[f.names[7]].core.self.Member
	for _, name := range f.names {
		f.nodes[name].step(f.net.Now(), Received{From: returned, Message: Message{Kind: List, Updates: neverHeard}})
	}
	died := f.names[3]
	f.kill(died)
	f.net.Run(1500 * time.Millisecond)
	for _, name := range f.names {
		if name == died {
			continue
		}
		held := f.countStates(name, func(string) bool { return true })
		assert.Equal(t, held[Isolated], 0, "%s holds %v", name, held)
		assert.Equal(t, f.nodes[name].core.View().State(died), Lost, name)
	}
}
