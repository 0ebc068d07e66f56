package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A partition splits 40 routers in half and heals after 10 s. If each silent member were
// judged by itself, half of the data centre would be declared lost and its keys would move.
func TestPartitionLeadsToIsolationNotLoss(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 23, 40, "doto")
	left := f.firstN(20)
	f.net.Blocked = func(from, to string) bool { return left(from) != left(to) }
	f.net.Run(10 * time.Second)
	assert.Equal(t, len(f.verdicts(Lost)), 0)
	for _, name := range f.names {
		other := func(n string) bool { return left(n) != left(name) }
		held := f.countStates(name, other)
		assert.Equal(t, held[Isolated], 20, "%s holds %v", name, held)
		on, _ := f.nodes[name].core.View().Isolated()
		assert.Assert(t, on, "%s reaches half and must consider itself isolated", name)
	}
	f.net.Blocked = nil
	f.net.Run(20 * time.Second)
	for _, name := range f.names {
		assert.Equal(t, f.live(name, "doto"), 40, "%s after the partition", name)
		on, cause := f.nodes[name].core.View().Isolated()
		assert.Assert(t, !on, "%s still considers itself isolated: %s", name, cause)
	}
}

// A router that loses all its links for a while must not declare the others lost.
func TestCutOffRouterDeclaresNoMemberLost(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 27, 20, "doto")
	cut := f.names[3]
	f.net.Blocked = func(from, to string) bool { return from == cut || to == cut }
	f.net.Run(3 * time.Second)
	for _, c := range f.changes {
		assert.Assert(t, c.by != cut || !c.got.To.ended(), "the cut-off router declared lost: %s", c.got.Member.Name)
	}
	on, cause := f.nodes[cut].core.View().Isolated()
	assert.Assert(t, on)
	assert.Equal(t, cause, CauseCutOff)
	assert.Equal(t, f.nodes[f.names[9]].core.View().State(cut), Lost)
	f.net.Blocked = nil
	f.net.Run(10 * time.Second)
	assert.Equal(t, f.nodes[f.names[9]].core.View().State(cut), Alive)
	on, cause = f.nodes[cut].core.View().Isolated()
	assert.Assert(t, !on, "still considers itself isolated: %s", cause)
}

// Messages to one router are dropped while its own arrive. Its heartbeats must not let it
// continue as grantor, because no request can reach it.
func TestRouterThatHearsNobodyIsIsolated(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 28, 20, "doto")
	cut := f.names[3]
	f.net.Blocked = func(_, to string) bool { return to == cut }
	f.net.Run(2 * time.Second)
	for _, name := range f.names {
		if name != cut {
			assert.Equal(t, f.nodes[name].core.View().State(cut), Isolated, name)
		}
	}
	f.net.Blocked = nil
	f.net.Run(5 * time.Second)
	for _, name := range f.names {
		assert.Equal(t, f.nodes[name].core.View().State(cut), Alive, name)
	}
}

// Messages from one router are dropped while it hears the others. It must learn that the
// others have declared it lost and stop acting on its duties.
func TestRouterThatIsNotHeardLearnsThatItIsLost(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 29, 20, "doto")
	unheard := f.names[3]
	f.net.Blocked = func(from, _ string) bool { return from == unheard }
	f.net.Run(3 * time.Second)
	assert.Equal(t, f.nodes[f.names[9]].core.View().State(unheard), Lost)
	on, cause := f.nodes[unheard].core.View().Isolated()
	assert.Assert(t, on)
	assert.Equal(t, cause, CauseDeclaredLost)
	assert.Equal(t, f.live(unheard, "doto"), 20, "it hears the others and must not judge them")
}

// The link between a router and one of its observers is cut in both directions. Neither may
// declare the other lost because of its own link alone.
func TestSingleBrokenLinkLeadsToNoLoss(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 30, 20, "doto")
	a := f.names[3]
	b := f.nodes[a].core.observers[0].Name
	f.net.Blocked = func(from, to string) bool { return from == a && to == b || from == b && to == a }
	f.net.Run(time.Minute)
	assert.Equal(t, len(f.verdicts(Lost)), 0)
}

// The link between the only two routers of a data centre is cut, and there is no third
// router to ask. Only the router that reaches the platform may declare the other lost.
func TestOfTwoRoutersOnlyTheOneWithExternalContactJudges(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 36, 2, "doto")
	f.net.Blocked = func(_, _ string) bool { return true }
	a, b := f.nodes[f.names[0]], f.nodes[f.names[1]]
	f.net.Run(3 * time.Second)
	for range 40 {
		a.step(f.net.Now(), ExternalContact{})
		f.net.Run(100 * time.Millisecond)
	}
	assert.Equal(t, a.core.View().State(b.name), Lost)
	assert.Assert(t, b.core.View().State(a.name) != Lost)
	on, cause := b.core.View().Isolated()
	assert.Assert(t, on)
	assert.Equal(t, cause, CauseCutOff)
}

// One of three data centres is cut off from the others and then reachable again. Its
// members must not be judged from another data centre.
func TestMembersOfCutOffDataCentreStayAlive(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 37, 6, "abashiri", "kushiro", "nemuro")
	cut := f.firstN(6)
	f.net.Run(12 * time.Second)
	f.changes = nil
	f.net.Blocked = func(from, to string) bool { return cut(from) != cut(to) }
	f.net.Run(14 * time.Second)
	assert.Equal(t, len(f.verdicts(Lost))+len(f.verdicts(Isolated)), 0)
	for _, name := range f.names {
		v := f.nodes[name].core.View()
		assert.Equal(t, len(v.Live("abashiri")), 6, name)
		assert.Equal(t, v.Up("abashiri"), cut(name), "%s on abashiri", name)
		assert.Equal(t, v.Up("nemuro"), !cut(name), "%s on nemuro", name)
	}
	lost := f.names[2]
	f.kill(lost)
	f.net.Run(2 * time.Second)
	f.net.Blocked = nil
	f.net.Run(25 * time.Second)
	for _, name := range f.names {
		if name == lost {
			continue
		}
		v := f.nodes[name].core.View()
		assert.Assert(t, v.Up("abashiri"), name)
		assert.Equal(t, len(v.Live("abashiri")), 5, name)
	}
}

// Data centres of several sizes are split in several proportions. The first verdicts must
// not be reached before most of the silent members are suspect, or many members of the
// other side are declared lost.
func TestPartitionsOfManySizesLeadToAtMostOneLoss(t *testing.T) {
	sizes := []struct{ all, left int }{{4, 2}, {6, 3}, {12, 6}, {12, 5}, {40, 16}, {100, 50}}
	for _, s := range sizes {
		for seed := range uint64(3) {
			f := newFleet(t, DefaultConfig(), losslessNet(), 200+seed, s.all, "doto")
			left := f.firstN(s.left)
			f.net.Run(time.Duration(f.net.Rand().Int64N(int64(100 * time.Millisecond))))
			f.net.Blocked = func(from, to string) bool { return left(from) != left(to) }
			f.net.Run(3 * time.Second)
			lost := map[string]bool{}
			for _, c := range f.verdicts(Lost) {
				lost[c.got.Member.Name] = true
			}
			assert.Assert(t, len(lost) <= 1, "%d of %d, seed %d: %v declared lost", s.left, s.all, seed, lost)
		}
	}
}

// When representatives selected the receiver of their summaries at random, one receiver
// occasionally got none for the whole timeout, and a data centre was reported as cut off
// for a second every quarter of an hour.
func TestNoDataCentreIsCutOffByChance(t *testing.T) {
	f := newFleet(t, DefaultConfig(), lossyNet(), 38, 4, "abashiri", "kushiro", "nemuro")
	f.net.Run(10 * time.Second)
	var down []Link
	f.net.OnSend = func(_, _ string, m Message) {
		for _, l := range m.Links {
			if !l.Up {
				down = append(down, l)
			}
		}
	}
	f.net.Run(10 * time.Minute)
	assert.Equal(t, len(down), 0, "%v", down)
}

// A data centre is cut off, and a representative of this one is replaced. The new one has
// not made a statement yet, which must not count as hearing the data centre.
func TestNewRepresentativeDoesNotEndCutOff(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 39, 5, "abashiri", "kushiro")
	f.net.Run(12 * time.Second)
	cut := f.firstN(5)
	f.net.Blocked = func(from, to string) bool { return cut(from) != cut(to) }
	f.net.Run(14 * time.Second)
	for _, n := range f.nodes {
		assert.Assert(t, n.name < "b" || !n.core.View().Up("abashiri"), n.name)
		n.links = nil
	}
	for _, name := range f.names[5:] {
		if f.nodes[name].core.Representative() {
			f.kill(name)
			break
		}
	}
	f.net.Run(5 * time.Second)
	for _, name := range f.names[5:] {
		if n := f.nodes[name]; n != nil {
			assert.Equal(t, len(n.links), 0, "%s: %v", name, n.links)
		}
	}
}

// A router is suspended for a long time, the platform starts another one of the same name,
// and the first one resumes. It must notice that it was replaced and stop acting.
func TestSupersededInstanceStopsActing(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 40, 10, "doto")
	old := f.nodes[f.names[4]]
	f.kill(old.name)
	f.net.Run(time.Second)
	f.start(f.vms[4], 2, 40)
	f.net.Run(2 * time.Second)
	r := f.nodes[f.names[0]].core.byName[old.name]
	now := f.net.Now()
	old.core.Step(now, Tick{})
	old.core.Step(now, Received{
		From:    f.nodes[f.names[0]].core.self.Member,
		Message: Message{Kind: Push, Updates: []Update{r.update()}},
	})
	old.core.Step(now.Add(10*time.Millisecond), Tick{})
	on, cause := old.core.View().Isolated()
	assert.Assert(t, on)
	assert.Equal(t, cause, CauseSuperseded)
	actions := old.core.Step(now.Add(10*time.Second), Received{
		From:    f.nodes[f.names[0]].core.self.Member,
		Message: Message{Kind: ListRequest},
	})
	assert.Equal(t, len(actions), 0, "it must send no members: %v", actions)
}
