package directory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that has left but gets work again, and a running target that is
// removed, because a restored store says so.
func TestRestoredListingDoesNotOverrideNewerState(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "known", Seq: 5, Draining: true})
	d.Put(at(0), Target{ID: "missing", Seq: 5})
	d.StoreUnreachable(at(0))
	d.StoreReachable(at(1000))
	d.Restore(at(1000), []Target{{ID: "known", Seq: 2}, {ID: "left", Seq: 9}}, 0)
	assert.DeepEqual(t, targetIDs(d), []string{"known", "missing"})
	assert.Assert(t, d.Targets()[0].Draining, "an older report must not replace a newer one")
	d.Put(at(1200), Target{ID: "left", Seq: 10})
	assert.DeepEqual(t, targetIDs(d), []string{"known", "left", "missing"})
	assert.Assert(t, d.Tick(at(1000).Add(ReturnGrace)))
	assert.DeepEqual(t, targetIDs(d), []string{"known", "left"})
}

// A router that starts after a restore knows no target, and accepts the listing as it is.
func TestNewRouterAcceptsTheRestoredListing(t *testing.T) {
	d := New()
	d.StoreUnreachable(at(0))
	d.StoreReachable(at(0))
	assert.Assert(t, d.Restore(at(0), []Target{{ID: "a"}, {ID: "b"}}, 0))
	assert.DeepEqual(t, targetIDs(d), []string{"a", "b"})
}
