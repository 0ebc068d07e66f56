package spread

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// runFaults applies a random sequence of faults and writes to a fleet.
func runFaults(t *rapid.T, f *fleet, steps int) {
	all := f.names()
	for i := range steps {
		name := all[rapid.IntRange(0, len(all)-1).Draw(t, "router")]
		switch rapid.IntRange(0, 6).Draw(t, "fault") {
		case 0:
			f.net.Pause(name, time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause"))*time.Millisecond)
		case 1:
			f.restart(name, uint64(i+2))
		case 2:
			cut := rapid.IntRange(1, len(all)-1).Draw(t, "cut")
			oneWay := rapid.Bool().Draw(t, "one way")
			left := func(n string) bool { return slices.Index(all, n) < cut }
			f.net.Blocked = func(from, to string) bool {
				return left(from) && !left(to) || !oneWay && left(to) && !left(from)
			}
		case 3:
			f.net.Blocked = nil
		case 4:
			f.nodes[name].cutFromStore = !f.nodes[name].cutFromStore
		case 5:
			n := f.nodes[name]
			n.step(f.net.Now(), FromStore{Entries: f.stale, Complete: true, Revision: f.staleAt})
		case 6:
			f.stale, f.staleAt = f.storeEntries(), f.rev
		}
		for range rapid.IntRange(0, 5).Draw(t, "writes") {
			key := fmt.Sprint("config/", rapid.IntRange(0, 4).Draw(t, "key"))
			f.write(key, Configuration, fmt.Sprint("value ", f.rev))
		}
		f.net.Run(time.Duration(rapid.IntRange(0, 800).Draw(t, "run")) * time.Millisecond)
	}
}

// restart replaces a router by a new instance without records.
func (f *fleet) restart(name string, incarnation uint64) {
	old := f.nodes[name]
	n := f.start(name, old.dc, incarnation)
	n.cutFromStore = old.cutFromStore
	f.sendMembers(n)
}

// No instance of a router ever goes back to a lower revision of a key, whatever the faults,
// and after they end all routers hold the store's records.
func TestRoutersConvergeAfterFaultsAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(DefaultConfig(), lossy(), rapid.Uint64().Draw(rt, "seed"), 6, "doto", "visayas")
		runFaults(rt, f, rapid.IntRange(1, 10).Draw(rt, "steps"))
		f.net.Blocked = nil
		for _, name := range f.names() {
			n := f.nodes[name]
			n.cutFromStore = false
			if n.watching {
				n.readStore()
			}
		}
		f.net.Run(10 * time.Second)
		if behind := f.behind(); len(behind) > 0 {
			rt.Fatalf("behind: %v", behind)
		}
		for _, name := range f.names() {
			if f.nodes[name].regressions > 0 {
				rt.Fatalf("%s went back", name)
			}
			if len(f.nodes[name].ready) == 0 {
				rt.Fatalf("%s never became ready", name)
			}
		}
	})
}

// The incrementally updated digests must equal those computed from scratch.
func TestRunningSumsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept := newTable(8)
		for range rapid.IntRange(1, 60).Draw(t, "puts") {
			e := Entry{Key: fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")), Revision: rapid.Uint64Range(1, 50).Draw(t, "revision")}
			if kept.newer(&e) {
				kept.put(e)
			}
		}
		fresh := newTable(8)
		for _, h := range kept.sorted("", "") {
			fresh.put(h.Entry)
		}
		assert.Equal(t, kept.sum, fresh.sum)
		assert.Equal(t, kept.max, fresh.max)
		assert.Equal(t, kept.bytes, fresh.bytes)
		assert.DeepEqual(t, kept.sums(), fresh.sums())
	})
}

// The tree of every root must reach every router, whatever the size.
func TestTreesReachEveryone(t *testing.T) {
	for _, size := range []int{1, 2, 5, 6, 40, 401} {
		f := newFleet(DefaultConfig(), reliable(), uint64(size), size, "doto")
		for _, root := range []string{f.dcs["doto"][0], f.dcs["doto"][size-1]} {
			reached := map[string]int{root: 1}
			queue := []string{root}
			for len(queue) > 0 {
				n := f.nodes[queue[0]]
				queue = queue[1:]
				children := n.core.children(root)
				assert.Assert(t, len(children) <= f.cfg.Fanout)
				for _, child := range children {
					reached[child]++
					assert.Equal(t, f.nodes[child].core.parent(root), n.name)
				}
				queue = append(queue, children...)
			}
			assert.Equal(t, len(reached), size)
			for name, times := range reached {
				assert.Equal(t, times, 1, name)
			}
		}
	}
}

func history(seed uint64) string {
	f := newFleet(DefaultConfig(), lossy(), seed, 12, "doto", "visayas")
	h := fnv.New64a()
	f.trace = func(name string, now time.Time, actions []Action) {
		fmt.Fprintf(h, "%s %d %#v\n", name, now.UnixNano(), actions)
	}
	for i := range 30 {
		f.write(fmt.Sprint("config/", i%7), Configuration, fmt.Sprint(i))
		f.net.Run(30 * time.Millisecond)
	}
	lost := f.watchersIn("doto")[0]
	f.kill(lost)
	f.removeMembers(lost)
	f.restart(f.dcs["doto"][3], 2)
	f.net.Run(3 * time.Second)
	return fmt.Sprintf("%x", h.Sum64())
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := history(51)
	for range 3 {
		assert.Equal(t, history(51), first)
	}
	assert.Assert(t, history(52) != first, "the trace must depend on the events")
}
