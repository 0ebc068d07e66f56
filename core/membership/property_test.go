package membership

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/internal/simnet"
)

// injectFaults applies a random sequence of faults to a fleet.
func injectFaults(t *rapid.T, f *fleet, steps int) {
	for i := range steps {
		name := f.names[rapid.IntRange(0, len(f.names)-1).Draw(t, "router")]
		switch rapid.IntRange(0, 5).Draw(t, "fault") {
		case 0:
			f.net.Pause(name, time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause"))*time.Millisecond)
		case 1:
			f.kill(name)
		case 2:
			if f.nodes[name] == nil {
				f.start(f.vmOf(name), uint64(10+i), uint64(i))
			}
		case 3:
			cut := rapid.IntRange(1, len(f.names)-1).Draw(t, "cut")
			left := f.firstN(cut)
			oneWay := rapid.Bool().Draw(t, "one way")
			f.net.Blocked = func(from, to string) bool {
				return left(from) && !left(to) || !oneWay && left(to) && !left(from)
			}
		case 4:
			f.net.Blocked = nil
		case 5:
			f.net.Run(5 * time.Second)
		}
		f.net.Run(time.Duration(rapid.IntRange(0, 1000).Draw(t, "run")) * time.Millisecond)
	}
}

func (f *fleet) vmOf(name string) ListedVM {
	for _, vm := range f.vms {
		if vm.Name == name {
			return vm
		}
	}
	panic("no such VM: " + name)
}

// Some time after all faults have ended, the running routers agree which routers are
// running. Fleets of fewer than three routers are not checked.
func TestViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		net := lossyNet()
		net.MaxDelay = 20 * time.Millisecond
		f := newFleet(t, DefaultConfig(), net, rapid.Uint64().Draw(rt, "seed"), 9, "doto")
		injectFaults(rt, f, rapid.IntRange(1, 8).Draw(rt, "steps"))
		f.net.Blocked = nil
		f.net.Run(40 * time.Second)
		if len(f.nodes) < 3 {
			return
		}
		for _, name := range f.names {
			n := f.nodes[name]
			if n == nil {
				continue
			}
			v := n.core.View()
			for _, other := range f.names {
				alive := f.nodes[other] != nil
				state := v.State(other)
				if alive && state != Alive && state != Suspect {
					rt.Fatalf("%s holds the running %s for %s", name, other, state)
				}
				if !alive && (state == Alive || state == Suspect) {
					rt.Fatalf("%s holds the stopped %s for %s", name, other, state)
				}
			}
		}
	})
}

// The incarnation and version of a record never decrease, whatever claims arrive in
// whatever order.
func TestIncarnationAndVersionNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(DefaultConfig(), Member{Name: "self", DataCentre: "doto", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
		var incarnation uint64
		var version uint32
		for range 30 {
			u := Update{
				Member: Member{
					Name: "other", DataCentre: "doto",
					Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				},
				Version: rapid.Uint32Range(0, 3).Draw(t, "version"),
				State:   State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			}
			c.Step(epoch, Received{
				From:    Member{Name: "sender", DataCentre: "doto", Incarnation: 1},
				Message: Message{Kind: Push, Updates: []Update{u}},
			})
			r := c.byName["other"]
			if r.Incarnation < incarnation || r.Incarnation == incarnation && r.version < version {
				t.Fatalf("went back from %d.%d to %d.%d", incarnation, version, r.Incarnation, r.version)
			}
			incarnation, version = r.Incarnation, r.version
		}
	})
}

// The incrementally updated digests and counts must equal those computed from scratch;
// otherwise comparing digests would report differences that do not exist or miss real ones.
func TestIncrementalDigestsAreExact(t *testing.T) {
	f := newFleet(t, DefaultConfig(), lossyNet(), 41, 12, "doto", "visayas")
	f.kill(f.names[3])
	f.net.Run(2 * time.Second)
	f.start(f.vms[3], 2, 41)
	f.net.Pause(f.names[5], 2*time.Second)
	f.net.Run(4 * time.Second)
	for _, name := range f.names {
		for _, d := range f.nodes[name].core.dcs {
			var sum uint64
			live, isolated := 0, 0
			for _, r := range d.members {
				sum ^= r.digest()
				live += boolToInt(isLive(r.state))
				isolated += boolToInt(r.state == Isolated)
			}
			assert.Equal(t, d.sum, sum, "%s on %s", name, d.name)
			assert.Equal(t, d.live, live, "%s on %s", name, d.name)
			assert.Equal(t, d.isolated, isolated, "%s on %s", name, d.name)
		}
	}
}

// actionsHash runs a fleet with faults and returns a hash of all actions of all routers, in
// order.
func actionsHash(t *testing.T, seed uint64) string {
	f := newFleet(t, DefaultConfig(), lossyNet(), seed, 15, "doto", "visayas")
	h := fnv.New64a()
	f.trace = func(name string, now time.Time, actions []Action) {
		fmt.Fprintf(h, "%s %d %#v\n", name, now.UnixNano(), actions)
	}
	f.net.Pause(f.names[2], time.Second)
	f.kill(f.names[4])
	f.net.Run(2 * time.Second)
	left := f.firstN(7)
	f.net.Blocked = func(from, to string) bool { return left(from) != left(to) }
	f.net.Run(2 * time.Second)
	f.net.Blocked = nil
	f.start(f.vms[4], 2, seed)
	f.net.Run(5 * time.Second)
	return fmt.Sprintf("%x", h.Sum64())
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := actionsHash(t, 51)
	for range 3 {
		assert.Equal(t, actionsHash(t, 51), first)
	}
	assert.Assert(t, actionsHash(t, 52) != first, "the trace must depend on the events")
}

// Traffic per router must not grow with the fleet.
func TestTrafficPerRouterDoesNotGrowWithFleet(t *testing.T) {
	perRouter := func(size int) float64 {
		net := simnet.Config{Tick: 10 * time.Millisecond, MinDelay: 400 * time.Microsecond, MaxDelay: 600 * time.Microsecond}
		f := newFleet(t, DefaultConfig(), net, 61, size, "doto")
		sent := 0
		f.net.OnSend = func(_, _ string, _ Message) { sent++ }
		f.net.Run(10 * time.Second)
		return float64(sent) / float64(size) / 10
	}
	small, large := perRouter(10), perRouter(200)
	assert.Assert(t, small > 29 && small < 33, "%.1f messages/s", small)
	assert.Assert(t, large < small*1.05, "%.1f messages/s with 200 routers, %.1f with 10", large, small)
}
