package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// knows reports whether a gateway has a target.
func knows(g *Gateway, id string) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return slices.ContainsFunc(g.targets, func(t directory.Target) bool { return t.ID == id })
}

// oddEntries returns entries that no target has written, made from one that a target has.
func oddEntries(entry string) []string {
	nested := strings.Repeat(`[`, 200_000) + strings.Repeat(`]`, 200_000)
	var odd []string
	for _, change := range [][2]string{
		{`"slots":4`, `"slots":4611686018427387904`}, {`"slots":4`, `"slots":1e300`}, {`"slots":4`, `"slots":` + nested}, {`"born":1`, `"born":9223372036854775807`},
		{`"warmup_left":"0ms"`, `"warmup_left":"2562047h"`}, {`"warmup_left":"0ms"`, `"warmup_left":"-9s"`}, {`"seq":`, `"seq":99999999999999999999`},
		{`"address":"127.0.0.1:`, `"address":"127.0.0.1:9`}, {`"address":"127.0.0.1:`, `"address":"127.0.0.1:-`}, {`"address":"127.0.0.1:`, `"address":":`},
	} {
		odd = append(odd, strings.Replace(entry, change[0], change[1], 1))
	}
	return append(odd, nested, "", "null", "[]", "7", "\x00\xff")
}

// Guards against routers that end, or no longer follow the list of targets, for an entry of another writer, and against
// requests that are sent where such an entry says.
func TestOddEntriesNeitherStopRoutersNorNameTargets(t *testing.T) {
	f := newFleet(t, 3, plainConfig, plainTarget("a"))
	for i, entry := range oddEntries(string(f.targets["a"].Entry())) {
		f.store.Put(fmt.Sprintf("%sodd-%d", platform.TargetPrefix, i), []byte(entry))
		f.store.Put(platform.TargetPrefix+"a", []byte(entry))
		f.targets["a"].Register(f.store)
	}
	f.add(plainTarget("b"))
	for _, g := range f.gateways {
		waittest.Until(t, "the next target is known", func() bool { return knows(g, "b") })
		g.mu.RLock()
		assert.Equal(t, len(g.targets), 2, "%v", g.targets)
		g.mu.RUnlock()
	}
	time.Sleep(directory.ReturnGrace)
	f.targets["a"].Drain(f.store)
	for _, g := range f.gateways {
		waittest.Until(t, "the live target is still followed", func() bool {
			g.mu.RLock()
			defer g.mu.RUnlock()
			return slices.ContainsFunc(g.targets, func(t directory.Target) bool { return t.ID == "a" && t.Draining })
		})
		assert.Equal(t, f.send(g, call{method: "GET", path: "/read/1", key: -1}).status, http.StatusOK)
	}
}

// Guards against a live target that is kept out for good by one entry of another writer that is dated ahead.
func TestEntryDatedAheadKeepsATargetOutForAWhileOnly(t *testing.T) {
	f := newFleet(t, 3, plainConfig, plainTarget("a"))
	target := f.targets["a"]
	entry := strings.Replace(string(target.Entry()), `"born":1`, `"born":4102444800000`, 1)
	f.store.Put(platform.TargetPrefix+"a", []byte(strings.Replace(entry, target.Address(), "127.0.0.1:1", 1)))
	began := time.Now()
	usable := func(g *Gateway) bool {
		g.mu.RLock()
		defer g.mu.RUnlock()
		return slices.ContainsFunc(g.targets, func(t directory.Target) bool { return t.Address == target.Address() })
	}
	waittest.Until(t, "the entry is known", func() bool { return !slices.ContainsFunc(f.gateways, usable) })
	for _, g := range f.gateways {
		waittest.Until(t, "the target is used again", func() bool {
			time.Sleep(100 * time.Millisecond)
			target.Heartbeat(f.store)
			return usable(g)
		})
		assert.Equal(t, f.send(g, call{method: "GET", path: "/read/1", key: -1}).status, http.StatusOK)
	}
	assert.Assert(t, time.Since(began) < 15*time.Second, "after %v", time.Since(began))
}

// maxRelistTime is how long a router may take to follow the list again; the race detector makes megabytes of JSON slow.
const maxRelistTime = 15 * time.Second

// Guards against a router that asks for the same changes for ever, because what another writer wrote makes the answer longer
// than any that is read.
func TestChangesThatCantBeReadAtOnceAreListed(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	waittest.Until(t, "a router leads", func() bool { return f.leader() != nil })
	for i := range 7 {
		f.store.Put(fmt.Sprintf("%slong-%d", platform.TargetPrefix, i), []byte(strings.Repeat("x", 1<<20)))
	}
	f.add(plainTarget("b"))
	began := time.Now()
	for _, g := range f.gateways {
		waittest.Until(t, "the next target is known", func() bool { return knows(g, "b") })
	}
	assert.Assert(t, time.Since(began) < maxRelistTime, "after %v", time.Since(began))
	assert.Assert(t, strings.Contains(f.log.String(), "reply of the store not readable"))
}
