package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replaceDataCentre kills the routers of a data centre and starts a new one in their place,
// which it returns.
func replaceDataCentre(t *testing.T, f *fleet, dc string) *node {
	t.Helper()
	for _, vm := range f.vms {
		if vm.DataCentre == dc {
			f.kill(vm.Name)
		}
	}
	vm := ListedVM{Name: dc + "-new", DataCentre: dc, Address: dc + "-new:7000"}
	return startAndList(f, vm)
}

// startAndList starts a router and sends the platform's VM list with it to all routers.
func startAndList(f *fleet, vm ListedVM) *node {
	f.vms = append(f.vms, vm)
	f.names = append(f.names, vm.Name)
	n := f.start(vm, 1, 7)
	for _, name := range f.names {
		if other := f.nodes[name]; other != nil {
			other.step(f.net.Now(), Listed{VMs: f.vms})
		}
	}
	return n
}

// runWithExternalContact lets time pass while the platform responds to the node.
func runWithExternalContact(f *fleet, n *node, d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		f.net.Run(step)
		n.step(f.net.Now(), ExternalContact{})
	}
}

// All routers of a data centre are lost at once, and a new one starts before the other data
// centres have noticed and tells it that the lost ones are alive. The new router must not
// consider itself cut off, or wait for one lost router to confirm the silence of another:
// the keys of the data centre would stay unserved.
func TestNewRouterDeclaresNeverHeardMembersLost(t *testing.T) {
	for _, size := range []int{2, 3, 12} {
		f := newFleet(t, DefaultConfig(), losslessNet(), 43, size, "doto", "visayas")
		n := replaceDataCentre(t, f, "doto")
		// After NoPeersAfter it considers itself isolated for SettleTime more.
		runWithExternalContact(f, n, DefaultConfig().NoPeersAfter+3*time.Second)
		assert.Equal(t, f.live(n.name, "doto"), 1, "of %d", size)
		isolated, _ := n.core.View().Isolated()
		assert.Assert(t, !isolated, "of %d", size)
	}
}

// A new router that receives no response from outside its data centre is cut off itself.
func TestNewRouterWithoutExternalContactDeclaresNoneLost(t *testing.T) {
	cfg := DefaultConfig()
	cfg.NoPeersAfter = 6 * time.Second
	f := newFleet(t, cfg, losslessNet(), 43, 3, "doto", "visayas")
	n := replaceDataCentre(t, f, "doto")
	f.net.Run(3 * time.Second) // the other data centre reports the lost routers as alive
	assert.Equal(t, f.live(n.name, "doto"), 4)
	f.net.Blocked = func(_, _ string) bool { return true }
	f.net.Run(10 * time.Second)
	isolated, _ := n.core.View().Isolated()
	assert.Assert(t, isolated)
	assert.Equal(t, f.live(n.name, "doto"), 4)
}
