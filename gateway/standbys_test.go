package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/lead"
	"tarragongw/internal/waittest"
)

var (
	weakMachine   = lead.Machine{CPUShare: 0.4, LinkBytesPerSecond: 1.25e6}
	strongMachine = lead.Machine{CPUShare: 0.8, LinkBytesPerSecond: 25e6}
)

// Guards against a leader whose machine can't carry the lead and that keeps it beside stronger ones, and
// against callers that notice when it hands over.
func TestWeakLeaderHandsOverToAStrongRouterWithoutAGap(t *testing.T) {
	f := newFleet(t, 0, keyedConfig, keyedTarget("a"), keyedTarget("b"))
	f.machine = weakMachine
	weak := f.start("weak-0")
	waittest.Until(t, "the weak router leads", func() bool { return f.leader() == weak })
	f.sendUntilServed(weak, call{method: "GET", path: "/read/1", key: 7})
	f.machine = strongMachine
	strong := f.start("strong-0")
	waittest.Until(t, "the strong router leads", func() bool {
		got := f.send(weak, call{method: "GET", path: "/read/1", key: 7})
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
		return f.leader() == strong
	})
	time.Sleep(settledLead)
	assert.Assert(t, f.leader() == strong, "the lead is not handed back")
}

// settledLead is longer than a router waits before it hands the lead over.
const settledLead = time.Second

// Guards against a weak router that leads first where all routers start anew and none knows the others.
func TestStandbysAreKnownAfterAllRoutersHaveStartedAnew(t *testing.T) {
	f := newFleet(t, 0, plainConfig, plainTarget("a"))
	f.machine = strongMachine
	f.start("strong-0")
	f.start("strong-1")
	f.machine = weakMachine
	f.start("weak-0")
	waittest.Until(t, "the standby is in the store", func() bool {
		name := string(f.store.Value(standbysKey))
		return name == "strong-0" || name == "strong-1"
	})
	standby := string(f.store.Value(standbysKey))
	for _, g := range f.gateways {
		abandon(g)
	}
	f.gateways = nil
	weak := f.start("weak-0")
	waittest.Until(t, "it has read who leads first", func() bool { return weak.succession.position("weak-0") == lead.AfterStandbys })
	f.machine = strongMachine
	strong := f.start(standby)
	waittest.Until(t, "a router leads", func() bool { return f.leader() != nil })
	assert.Assert(t, f.leader() == strong)
}

// Guards against a weak router that takes over from a lost leader although a strong one is there.
func TestStandbyTakesOverFromALostLeader(t *testing.T) {
	f := newFleet(t, 0, plainConfig, plainTarget("a"))
	f.machine = strongMachine
	first := f.start("strong-0")
	waittest.Until(t, "it leads", func() bool { return f.leader() == first })
	second := f.start("strong-1")
	f.machine = weakMachine
	for _, name := range []string{"weak-0", "weak-1"} {
		f.start(name)
	}
	for _, g := range f.gateways[1:] {
		waittest.Until(t, "it knows the standby", func() bool { return g.succession.position("strong-1") == 0 })
	}
	abandon(first)
	waittest.Until(t, "another leads", func() bool { l := f.leader(); return l != nil && l != first })
	assert.Assert(t, f.leader() == second)
}
