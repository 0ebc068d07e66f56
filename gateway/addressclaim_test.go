package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Guards against keys with two holders because another writer's entry at the address of a target, whose own entry has lapsed while
// it runs on, is taken for a proof that the target has ended.
func TestEntryAtTheAddressOfATargetDoesNotEndIt(t *testing.T) {
	const entry = `{"address":%q,%s"info":{"service":%q,"version":"v1","zone":"hall","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}`
	for name, c := range map[string]struct{ born, service string }{
		"start missing, unknown service": {"", "elsewhere"},
		"unknown service":                {`"born":99,`, "elsewhere"},
		"start missing":                  {"", "keyed"},
		"complete":                       {`"born":99,`, "keyed"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, keyedConfig, keyedTarget("a"), keyedTarget("b"), keyedTarget("c"))
			waittest.Until(t, "all keys are held", func() bool { return f.holder(0) != "" && f.holder(testKey) != "" })
			watch := f.watchDoubleHolders()
			holder := f.targets[f.holder(testKey)]
			f.store.Put(platform.TargetPrefix+"other", fmt.Appendf(nil, entry, holder.Address(), c.born, c.service))
			f.awaitTarget("other")
			holder.Unregister(f.store)
			began := time.Now()
			waittest.Until(t, "another target holds the key", func() bool {
				id := f.holder(testKey)
				return id != "" && id != holder.ID && !strings.Contains(id, "+")
			})
			t.Logf("held by another target after %v", time.Since(began))
			time.Sleep(time.Second)
			watch.assertNone(t)
		})
	}
}

// Guards against keys that nobody serves until their grants have expired although another target answers at their holder's address.
func TestKeysOfATargetWhoseAddressIsAnothersAreServedSoon(t *testing.T) {
	f := newFleet(t, 3, mixedConfig, keyedTarget("a"), keyedTarget("b"), keyedTarget("c"))
	waittest.Until(t, "the key is held", func() bool { return f.holder(testKey) != "" })
	old := f.targets[f.holder(testKey)]
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/look/1", key: testKey})
	address := old.Address()
	old.Crash()
	delete(f.targets, old.ID)
	t.Cleanup(old.Close)
	next, err := platformtest.NewTargetAt(address, "next", "any", "hall", false)
	assert.NilError(t, err)
	began := time.Now()
	f.add(next)
	waittest.Until(t, "another target holds the key", func() bool { return f.holder(testKey) != "" })
	t.Logf("held by another target after %v", time.Since(began))
	assert.Assert(t, strings.Contains(f.log.String(), "evidence=ended"))
}
