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
	// firstEra is the store's era at the start of a test.
	firstEra = 4
	// servedWithin is the time after a restore within which keys must be served.
	servedWithin = time.Second
)

// defaultRestore is how most tests restore the store.
var defaultRestore = platformtest.RestoreOptions{RewriteAfter: 300 * time.Millisecond}

var restoreKeys = []int{100, 20000, 33000, 50000, 65000}

// newRestoredFleet starts routers and three targets with a store that counts its eras.
func newRestoredFleet(t *testing.T, routers int) *fleet {
	f := newFleet(t, 0, "")
	f.store.ReportEra(firstEra)
	f.configure(keyedConfig)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f.add(keyedTarget(id))
	}
	for i := range routers {
		f.start(fmt.Sprintf("router-%d", i))
	}
	f.waitUntilAllServed()
	return f
}

// waitUntilAllServed waits until all live routers serve all keys of restoreKeys.
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

// moveKey moves the key by draining its holder, which leaves with that. It returns the old and the
// new holder.
func (f *fleet) moveKey(k uint16) (old, now string) {
	f.t.Helper()
	waittest.Until(f.t, "one target holds the key", func() bool { old = f.holder(k); return old != "" && !strings.Contains(old, "+") })
	f.targets[old].Drain(f.store)
	waittest.Until(f.t, "the key has moved", func() bool {
		now = f.holder(k)
		return now != "" && now != old && !strings.Contains(now, "+")
	})
	return old, now
}

// doubleHolderWatch checks continuously that no key is held by two targets.
type doubleHolderWatch struct {
	stop      chan struct{}
	done      sync.WaitGroup
	violation string
}

func (f *fleet) watchDoubleHolders() *doubleHolderWatch {
	w := &doubleHolderWatch{stop: make(chan struct{})}
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

func (w *doubleHolderWatch) check(targets []*platformtest.Target, k uint16) {
	var holders []*platformtest.Target
	for _, t := range targets {
		if t.Holds(k) {
			holders = append(holders, t)
		}
	}
	// The holders are asked again, because the key may have moved in between.
	if len(holders) > 1 && holders[0].Holds(k) && holders[1].Holds(k) && w.violation == "" {
		w.violation = fmt.Sprintf("%s and %s hold key %d", holders[0].ID, holders[1].ID, k)
	}
}

// assertNone stops the watch, and fails the test if a key had two holders.
func (w *doubleHolderWatch) assertNone(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	assert.Equal(t, w.violation, "")
}

// highestToken returns the highest fencing token that any target has seen for the key.
func (f *fleet) highestToken(k uint16) uint64 {
	highest := uint64(0)
	for _, t := range f.targets {
		highest = max(highest, t.Token(k))
	}
	return highest
}

// Guards against a key with two holders or none, because the restored store names a holder that has
// released the key since.
func TestRestoreThatUndoesAMoveLeavesOneHolder(t *testing.T) {
	t.Run("leases have expired", func(t *testing.T) { undoMoveByRestore(t, defaultRestore) })
	t.Run("leases are kept", func(t *testing.T) {
		undoMoveByRestore(t, platformtest.RestoreOptions{RewriteAfter: defaultRestore.RewriteAfter, KeepLeases: true})
	})
}

func undoMoveByRestore(t *testing.T, restore platformtest.RestoreOptions) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	_, holder := f.moveKey(100)
	f.waitUntilAllServed()
	doubleHolders := f.watchDoubleHolders()
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
	doubleHolders.assertNone(t)
}

// Guards against targets that refuse all grants, or two that hold a key with the same token, because tokens
// are assigned a second time after a restore.
func TestTokensRiseWhereAllRoutersStartAfterARestore(t *testing.T) {
	f := newRestoredFleet(t, 2)
	f.store.Snapshot()
	f.moveKey(100)
	f.waitUntilAllServed()
	before := f.highestToken(100)
	doubleHolders := f.watchDoubleHolders()
	for _, g := range f.gateways {
		abandon(g)
	}
	f.store.Restore(defaultRestore)
	f.start("late-0")
	f.start("late-1")
	waittest.Until(t, "the key is held with a higher token", func() bool { return f.highestToken(100) > before && f.holder(100) != "" })
	f.waitUntilAllServed()
	doubleHolders.assertNone(t)
}

// Guards against a new leader that grants keys by a restored key table while a target that isn't named in
// it holds them.
func TestNewLeaderAfterARestoreRespectsCurrentHolders(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.moveKey(100)
	doubleHolders := f.watchDoubleHolders()
	lost := f.leader()
	abandon(lost)
	f.store.Restore(defaultRestore)
	waittest.Until(t, "another router leads", func() bool { return f.leaderOtherThan(lost) != nil })
	f.waitUntilAllServed()
	doubleHolders.assertNone(t)
}

// Guards against a leader that was cut off and continues its term after a restore, although another router
// has led meanwhile and moved keys.
func TestFormerLeaderDoesNotResumeAfterARestore(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	first := f.leader()
	f.links[first.opts.Name].cut.Store(true)
	waittest.Until(t, "another router leads", func() bool { return f.leaderOtherThan(first) != nil })
	second := f.leaderOtherThan(first)
	f.moveKey(100)
	doubleHolders := f.watchDoubleHolders()
	abandon(second)
	f.store.Restore(defaultRestore)
	f.links[first.opts.Name].cut.Store(false)
	waittest.Until(t, "a router leads in the next era", func() bool {
		g := f.leaderOtherThan(second)
		return g != nil && g.era() == firstEra+1
	})
	f.waitUntilAllServed()
	doubleHolders.assertNone(t)
	assert.Assert(t, !strings.Contains(f.log.String(), "leadership kept"), "the former leader continued its term")
}

// Guards against keys that remain without a leader, because the store is restored a second time while the
// leader takes leadership again.
func TestTwoRestoresInARow(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	_, holder := f.moveKey(100)
	doubleHolders := f.watchDoubleHolders()
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
	doubleHolders.assertNone(t)
}

// Guards against routers that go back to an older configuration, because the restored store has one.
func TestConfigurationDoesNotRevertWithARestore(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/look/"))
	newer := call{method: http.MethodGet, path: "/look/1", key: 100}
	for _, g := range f.gateways {
		f.sendUntilServed(g, newer)
	}
	f.store.Restore(platformtest.RestoreOptions{RewriteAfter: 2 * time.Second})
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

// Guards against a configuration that is noticed only when a watch times out: it is written after a restore,
// with a revision below the one that the watch waits for.
func TestConfigurationAfterARestoreIsSeenSoon(t *testing.T) {
	f := newRestoredFleet(t, 3)
	f.store.Snapshot()
	f.registerAll(20)
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/seek/"))
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/seek/1", key: 100})
	}
	f.store.Restore(platformtest.RestoreOptions{RewriteAfter: time.Minute})
	f.configure(strings.ReplaceAll(keyedConfig, "/read/", "/look/"))
	f.registerAll(40) // the store's revision is now above that before the restore
	began := time.Now()
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/look/1", key: 100})
	}
	assert.Assert(t, time.Since(began) < 2*time.Second, "after %v", time.Since(began))
}

// registerAll makes each target write its entry the given number of times.
func (f *fleet) registerAll(times int) {
	for range times {
		for _, target := range f.targets {
			target.Register(f.store)
		}
	}
}
