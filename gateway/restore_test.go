package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

const (
	// firstEra is that of a store at the begin of a test.
	firstEra = 4
	// servedWithin is how soon after a restore keys are served.
	servedWithin = time.Second
)

// restored is how the store of most tests comes back.
var defaultRestore = platformtest.Restored{RewriteAfter: 300 * time.Millisecond}

var restoreKeys = []int{100, 20000, 33000, 50000, 65000}

// newRestoredFleet starts routers and three targets on a store that counts its eras.
func newRestoredFleet(t *testing.T, routers int) *fleet {
	f := newFleet(t, 0, "")
	f.store.CountEras(firstEra)
	f.configure(keyedConfig)
	for _, id := range []string{"a", "b", "c"} {
		f.add(keyedTarget(id))
	}
	for i := range routers {
		f.start(fmt.Sprintf("router-%d", i))
	}
	f.waitUntilAllServed()
	return f
}

// allServed waits until all live routers serve all keys.
func (f *fleet) waitUntilAllServed() {
	f.t.Helper()
	for _, g := range f.gateways {
		for _, k := range restoreKeys {
			if g.lifetime.Err() == nil {
				f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: k})
			}
		}
	}
}

// moveKey has another target hold the key, and its former holder ready again.
func (f *fleet) moveKey(k uint16) (old, now string) {
	f.t.Helper()
	waittest.Until(f.t, "one target holds the key", func() bool { old = f.holder(k); return old != "" && !strings.Contains(old, "+") })
	f.targets[old].Drain(f.store)
	waittest.Until(f.t, "the key has moved", func() bool {
		now = f.holder(k)
		return now != "" && now != old && !strings.Contains(now, "+")
	})
	f.targets[old].Return(f.store)
	return old, now
}

// doubleWatch looks for keys that two targets hold.
type holderWatch struct {
	stop      chan struct{}
	done      sync.WaitGroup
	violation string
}

func (f *fleet) watchForTwoHolders() *holderWatch {
	w := &holderWatch{stop: make(chan struct{})}
	targets := make([]*platformtest.Target, 0, len(f.targets))
	for _, t := range f.targets {
		targets = append(targets, t)
	}
	w.done.Go(func() {
		for {
			for _, k := range restoreKeys {
				w.check(targets, uint16(k))
			}
			select {
			case <-w.stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return w
}

func (w *holderWatch) check(targets []*platformtest.Target, k uint16) {
	var holders []*platformtest.Target
	for _, t := range targets {
		if t.Holds(k) {
			holders = append(holders, t)
		}
	}
	// The first is asked again: the key may have moved in between.
	if len(holders) > 1 && holders[0].Holds(k) && holders[1].Holds(k) && w.violation == "" {
		w.violation = fmt.Sprintf("%s and %s hold key %d", holders[0].ID, holders[1].ID, k)
	}
}

// end stops the watch and fails the test if it found anything.
func (w *holderWatch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	assert.Equal(t, w.violation, "")
}

// highestToken is the highest token that any target has seen for the key.
func (f *fleet) highestToken(k uint16) uint64 {
	highest := uint64(0)
	for _, t := range f.targets {
		highest = max(highest, t.Token(k))
	}
	return highest
}

// Two targets hold a key, or nobody serves it, because a restored store names a holder that has
// given it away since.
func TestRestoreForgetsAMove(t *testing.T) {
	t.Run("leases have lapsed", func(t *testing.T) { testRestoreUndoesAMove(t, defaultRestore) })
	t.Run("leases begin anew", func(t *testing.T) {
		testRestoreUndoesAMove(t, platformtest.Restored{RewriteAfter: defaultRestore.RewriteAfter, KeepLeases: true})
	})
}

func testRestoreUndoesAMove(t *testing.T, restore platformtest.Restored) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	_, holder := f.moveKey(100)
	f.waitUntilAllServed()
	holders := f.watchForTwoHolders()
	before := f.highestToken(100)
	f.store.Restore(restore)
	began := time.Now()
	f.waitUntilAllServed()
	assert.Assert(t, time.Since(began) < servedWithin, "after %v", time.Since(began))
	assert.Equal(t, f.holder(100), holder)
	waittest.Until(t, "a router leads in the next era", func() bool {
		g := f.leader()
		return g != nil && g.era() == firstEra+1
	})
	time.Sleep(defaultRestore.RewriteAfter)
	f.moveKey(100)
	f.waitUntilAllServed()
	assert.Assert(t, f.highestToken(100) > before)
	holders.end(t)
}

// Targets refuse all grants, or two hold a key under one token, because a restored store has
// tokens given out again.
func TestTokensRiseWhereAllRoutersStartAfterARestore(t *testing.T) {
	f := newRestoredFleet(t, 2)
	f.store.Snapshot()
	f.moveKey(100)
	f.waitUntilAllServed()
	before := f.highestToken(100)
	holders := f.watchForTwoHolders()
	for _, g := range f.gateways {
		abandon(g)
	}
	f.store.Restore(defaultRestore)
	f.start("late-0")
	f.start("late-1")
	waittest.Until(t, "the key is held under a higher token", func() bool { return f.highestToken(100) > before && f.holder(100) != "" })
	f.waitUntilAllServed()
	holders.end(t)
}

// A new leader grants keys by a restored table while a target that it doesn't name holds them.
func TestLeaderIsLostWithARestore(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.moveKey(100)
	holders := f.watchForTwoHolders()
	lost := f.leader()
	abandon(lost)
	f.store.Restore(defaultRestore)
	waittest.Until(t, "another router leads", func() bool { return f.leaderOtherThan(lost) != nil })
	f.waitUntilAllServed()
	holders.end(t)
}

// A leader that was cut off goes on in a restored store with what it knew, although another led
// meanwhile and moved keys.
func TestLeaderOfBeforeReturnsAfterARestore(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	first := f.leader()
	f.links[first.opts.Name].cut.Store(true)
	waittest.Until(t, "another router leads", func() bool { return f.leaderOtherThan(first) != nil })
	second := f.leaderOtherThan(first)
	f.moveKey(100)
	holders := f.watchForTwoHolders()
	abandon(second)
	f.store.Restore(defaultRestore)
	f.links[first.opts.Name].cut.Store(false)
	waittest.Until(t, "a router leads in the next era", func() bool {
		g := f.leaderOtherThan(second)
		return g != nil && g.era() == firstEra+1
	})
	f.waitUntilAllServed()
	holders.end(t)
	assert.Assert(t, !strings.Contains(f.log.String(), "leadership kept"), "the leader of before went on")
}

// A second restore while the lead is taken again leaves the keys without a leader.
func TestTwoRestoresInARow(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	_, holder := f.moveKey(100)
	holders := f.watchForTwoHolders()
	f.store.Restore(defaultRestore)
	time.Sleep(time.Second)
	f.store.Restore(defaultRestore)
	began := time.Now()
	f.waitUntilAllServed()
	assert.Assert(t, time.Since(began) < servedWithin, "after %v", time.Since(began))
	assert.Equal(t, f.holder(100), holder)
	time.Sleep(2 * time.Second)
	f.moveKey(100)
	f.waitUntilAllServed()
	holders.end(t)
}

// A configuration that was in force is taken back, because a restored store has an older one.
func TestConfigurationDoesNotGoBackWithARestore(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/look/"))
	newer := call{method: http.MethodGet, path: "/look/1", key: 100}
	for _, g := range f.gateways {
		f.sendUntilServed(g, newer)
	}
	f.store.Restore(platformtest.Restored{RewriteAfter: 2 * time.Second})
	f.start("late")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, g := range f.gateways {
			got := f.send(g, newer)
			assert.Assert(t, got.status != http.StatusNotFound, "%s refuses a route of the newer configuration", g.opts.Name)
		}
	}
	for _, g := range f.gateways {
		f.sendUntilServed(g, newer)
	}
}

// A configuration that is written after a restore is not seen for as long as a watch waits, because
// its revision lies before the one that the watch goes on from.
func TestConfigurationAfterARestoreIsSeenSoon(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.registerAll(20)
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/seek/"))
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/seek/1", key: 100})
	}
	f.store.Restore(platformtest.Restored{RewriteAfter: time.Minute})
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/look/"))
	f.registerAll(40) // the store's revision is beyond that of before
	began := time.Now()
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/look/1", key: 100})
	}
	assert.Assert(t, time.Since(began) < 2*time.Second, "after %v", time.Since(began))
}

// registerAll has each target write its entry so many times.
func (f *fleet) registerAll(times int) {
	for range times {
		for _, target := range f.targets {
			target.Register(f.store)
		}
	}
}
