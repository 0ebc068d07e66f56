package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/simnet"
)

// lossy returns a network that drops, delays and duplicates messages.
func lossy() simnet.Config {
	return simnet.Config{
		Tick: 10 * time.Millisecond, MinDelay: 300 * time.Microsecond, MaxDelay: 20 * time.Millisecond,
		Loss: 0.05, Duplicate: 0.02,
	}
}

// watchersIn returns the routers of a data centre that watch the store.
func (f *fleet) watchersIn(dc string) []string {
	var list []string
	for _, name := range f.dcs[dc] {
		if n := f.nodes[name]; n != nil && n.watching {
			list = append(list, name)
		}
	}
	return list
}

// When both watchers of a data centre die and a change is written before the member view drops
// them, the data centre must still get the change. It doesn't if nobody replaces the watchers,
// or if their successors only see later writes.
func TestLostWatchersAreReplacedAtOnce(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 11, 20, "doto")
	lost := f.watchersIn("doto")
	assert.Equal(t, len(lost), 2)
	for _, name := range lost {
		f.kill(name)
	}
	f.write("ownership/1", Ownership, "during the gap")
	f.net.Run(350 * time.Millisecond)
	f.removeMembers(lost...)
	assert.Equal(t, len(f.watchersIn("doto")), 2)
	f.net.Run(300 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
}

// Routers below dead inner nodes must not keep an old configuration for minutes. 40 of 400
// routers die at once, inner nodes of the trees among them, and a change is written before the
// member view drops them.
func TestTheTreeRepairsItself(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 12, 400, "doto")
	var lost []string
	for i := 0; i < 400; i += 10 {
		lost = append(lost, f.dcs["doto"][i])
		f.kill(f.dcs["doto"][i])
	}
	f.write("config/a", Configuration, "while 40 are dead")
	f.net.Run(350 * time.Millisecond)
	f.removeMembers(lost...)
	f.net.Run(100 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0, "behind after the loss is known")
}

// Records must be ordered by revision, not by arrival. A router is cut off while changes are
// written and then returns with its old records, and a list from the store arrives late; no
// router may go back to an old configuration.
func TestARecordNeverGoesBack(t *testing.T) {
	f := newFleet(DefaultConfig(), lossy(), 13, 30, "doto", "visayas")
	cut := f.dcs["doto"][5]
	f.write("config/a", Configuration, "old")
	f.net.Run(time.Second)
	stale := f.storeEntries()
	staleAt := f.rev
	f.net.Blocked = func(from, to string) bool { return from == cut || to == cut }
	for i := range 20 {
		f.write("config/a", Configuration, fmt.Sprint("new ", i))
		f.net.Run(50 * time.Millisecond)
	}
	f.net.Blocked = nil
	late := f.nodes[f.watchersIn("doto")[0]]
	late.step(f.net.Now(), FromStore{Entries: stale, Complete: true, Revision: staleAt})
	f.net.Run(3 * time.Second)
	assert.Equal(t, len(f.behind()), 0)
	for _, name := range f.names() {
		assert.Equal(t, f.nodes[name].regressions, 0, name)
	}
}

// A router that restarts while the store is unreachable must not take an old configuration
// from a peer that was cut off. It would if it used the first peer that answers.
func TestJoinTakesTheHighestRevisionOfSeveralPeers(t *testing.T) {
	slow := reliable()
	slow.MaxDelay = 60 * time.Millisecond
	for seed := range uint64(40) {
		f := newFleet(DefaultConfig(), slow, 100+seed, 6, "doto")
		behind := f.dcs["doto"][0]
		f.net.Blocked = func(from, to string) bool { return from == behind || to == behind }
		f.write("config/a", Configuration, "new")
		f.net.Run(500 * time.Millisecond)
		f.net.Blocked = nil
		name := f.dcs["doto"][3]
		before := f.nodes[name].core.Revision()
		n := f.start(name, "doto", 2)
		n.cutFromStore = true
		f.sendMembers(n)
		for len(n.ready) == 0 && f.net.Now().Before(epoch.Add(time.Minute)) {
			f.net.Run(10 * time.Millisecond)
		}
		assert.Equal(t, len(n.ready), 1, "seed %d: not ready", seed)
		assert.Assert(t, n.ready[0].Revision >= before, "seed %d: went back from %d to %d", seed, before, n.ready[0].Revision)
	}
}

// When a whole data centre restarts while the store is unreachable, no router may become ready
// with an empty configuration: peers without a complete view of their own must not offer one.
func TestNobodyIsReadyWithoutACompletePeer(t *testing.T) {
	f := &fleet{cfg: DefaultConfig(), nodes: map[string]*node{}, dcs: map[string][]string{"doto": {"a", "b", "c"}}, store: map[string]Entry{}}
	f.net = simnet.New[Message](reliable(), epoch, 1)
	for _, name := range f.dcs["doto"] {
		f.start(name, "doto", 1).cutFromStore = true
	}
	f.sendMembersToAll()
	f.net.Run(5 * time.Second)
	for _, name := range f.dcs["doto"] {
		assert.Equal(t, len(f.nodes[name].ready), 0, name)
	}
	f.nodes["a"].readStore()
	f.net.Run(2 * time.Second)
	for _, name := range f.dcs["doto"] {
		assert.Equal(t, len(f.nodes[name].ready), 1, name)
	}
}

// A data centre in which no router reaches the store must get changes from another data
// centre.
func TestADataCentreWithoutTheStoreLearnsFromAnother(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 14, 20, "doto", "visayas")
	for _, name := range f.dcs["doto"] {
		f.nodes[name].cutFromStore = true
	}
	f.write("config/a", Configuration, "seen in visayas only")
	f.net.Run(3500 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
}

// A watcher that loses the store but stays alive must be replaced, so that its data centre
// doesn't miss changes while other routers reach the store.
func TestAWatcherThatLosesTheStoreIsReplaced(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 15, 20, "doto")
	first := f.watchersIn("doto")
	for _, name := range first {
		f.nodes[name].cutFromStore = true
		f.nodes[name].step(f.net.Now(), StoreReached{Up: false})
	}
	f.net.Run(100 * time.Millisecond)
	second := f.watchersIn("doto")
	assert.Equal(t, len(second), 2)
	for _, name := range first {
		assert.Assert(t, !slices.Contains(second, name))
	}
	f.write("config/a", Configuration, "seen by the substitutes")
	f.net.Run(300 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
}

// When the store is unreachable for all, the watch must not move on through the whole data
// centre, because calls of all routers could bring down the store again when it returns.
func TestAStoreOutageDoesNotMakeEveryRouterTry(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 16, 60, "doto")
	tried := map[string]bool{}
	for range 100 {
		for _, name := range f.watchersIn("doto") {
			tried[name] = true
			f.nodes[name].step(f.net.Now(), StoreReached{Up: false})
		}
		f.net.Run(50 * time.Millisecond)
	}
	assert.Assert(t, len(tried) <= f.cfg.Candidates, "%d routers called the store", len(tried))
	assert.Equal(t, len(f.watchersIn("doto")), 2)
}

// Records from peers beyond the bounds on memory must be dropped, and each drop reported.
func TestMemoryIsBoundedAndRefusalsAreReported(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries = 10
	cfg.MaxValue = 100
	c := New(cfg, "a", "doto", 1, fixedRand())
	var refused int
	for i := range 30 {
		e := Entry{Key: fmt.Sprint("k", i), Revision: uint64(i + 1), Value: make([]byte, 90)}
		for _, a := range c.Step(epoch, Received{From: "b", Message: Message{Kind: Fill, Entries: []Entry{e}}}) {
			if _, ok := a.(Refused); ok {
				refused++
			}
		}
	}
	n, _ := c.Size()
	assert.Equal(t, n, 10)
	assert.Equal(t, refused, 20)
	c.Step(epoch, Received{From: "b", Message: Message{Kind: Fill, Entries: []Entry{{Key: "k1", Revision: 99, Value: make([]byte, 101)}}}})
	held, _ := c.Entry("k1")
	assert.Equal(t, held.Revision, uint64(2))
}

// When many large records change at once, each message must stay within its bound, so that
// control messages don't wait behind it, and ownership must be sent first.
func TestMessagesAreBoundedAndOwnershipGoesFirst(t *testing.T) {
	cfg := DefaultConfig()
	c := New(cfg, "a", "doto", 1, fixedRand())
	c.Step(epoch, Members{Local: []string{"a", "b"}})
	var entries []Entry
	for i := range 200 {
		class := Class(i % 3)
		entries = append(entries, Entry{Key: fmt.Sprint("k", i), Revision: uint64(i + 1), Class: class, Value: make([]byte, 8<<10)})
	}
	// The first change is sent in this tick, so that the following ones wait for the next.
	now := epoch
	c.Step(now, FromStore{Entries: []Entry{{Key: "first", Revision: 1}}})
	rest := slices.Clone(entries)
	slices.SortFunc(rest, func(a, b Entry) int { return int(b.Class) - int(a.Class) })
	for _, e := range rest {
		c.Step(now, FromStore{Entries: []Entry{e}})
	}
	now = now.Add(cfg.Tick)
	actions := c.Step(now, Tick{})
	last, sent := Ownership, 0
	for range 100 {
		for _, a := range actions {
			s, ok := a.(Send)
			if !ok || s.Message.Kind != Delta {
				continue
			}
			size := 0
			for _, e := range s.Message.Entries {
				assert.Assert(t, e.Class >= last, "%v after %v", e.Class, last)
				last = e.Class
				size += e.size()
				sent++
			}
			assert.Assert(t, size <= cfg.MaxMessage)
		}
		now = now.Add(cfg.Tick)
		actions = c.Step(now, Tick{})
	}
	assert.Equal(t, sent, 200)
}

// After an inner node died before it passed a change on, the routers below it must send
// digests to their parents in the repaired tree, instead of waiting for a random exchange.
func TestAfterALossTheParentsAreAsked(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 18, 50, "doto")
	lost := f.dcs["doto"][7]
	f.kill(lost)
	offered := map[string]map[string]bool{}
	f.net.OnSend = func(from, to string, m Message) {
		if m.Kind == Digest {
			if offered[from] == nil {
				offered[from] = map[string]bool{}
			}
			offered[from][to] = true
		}
	}
	f.removeMembers(lost)
	f.net.Run(50 * time.Millisecond)
	for _, root := range f.watchersIn("doto") {
		for _, name := range f.dcs["doto"] {
			if name != root {
				parent := f.nodes[name].core.parent(root)
				assert.Assert(t, offered[name][parent], "%s offered nothing to its parent %s", name, parent)
			}
		}
	}
}
