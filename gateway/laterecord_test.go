package gateway

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/kv"
)

// loseRecord has the gateway write its record anew, and keeps that write.
func loseRecord(t *testing.T, f *fleet, g *Gateway) *kv.Txn {
	t.Helper()
	link := f.links[g.opts.Name]
	waittest.Until(t, "the record exists", func() bool { return f.store.Value(routerPrefix+g.opts.Name) != nil })
	g.membership.mu.Lock()
	lease := g.membership.lease
	g.membership.mu.Unlock()
	link.lateWanted.Store(true)
	assert.NilError(t, link.TxnStore.EndLease(t.Context(), lease))
	g.membership.renewNow()
	waittest.Until(t, "the record is written", func() bool { return link.lateRecord.Load() != nil })
	return link.lateRecord.Load()
}

// endLate carries the write out late, and ends its lease as nobody renews it.
func endLate(t *testing.T, f *fleet, g *Gateway, late *kv.Txn) {
	t.Helper()
	store := f.links[g.opts.Name].TxnStore
	_, _, err := store.Commit(t.Context(), *late)
	assert.Check(t, err == nil || errors.Is(err, kv.ErrConflict), "%v", err)
	assert.NilError(t, store.EndLease(t.Context(), late.Puts[0].Lease))
	assert.Assert(t, f.store.Value(routerPrefix+g.opts.Name) != nil, "the router is not counted any more")
}

// Guards against a router that is not counted any more: the store carries out the write of its record late, with a lease that is
// not renewed. Both sides of a cut then take themselves for a quorum.
func TestRecordThatIsWrittenLateLeavesTheRouterCounted(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	g := f.gateways[1]
	late := loseRecord(t, f, g)
	waittest.Until(t, "the record is written again", func() bool { return f.store.Value(routerPrefix+g.opts.Name) != nil })
	endLate(t, f, g, late)
}

// Guards against the same by a write of the router's former process.
func TestRecordOfAFormerProcessLeavesTheRouterCounted(t *testing.T) {
	f := newFleet(t, 2, plainConfig, plainTarget("a"))
	g := f.gateways[1]
	late := loseRecord(t, f, g)
	abandon(g)
	g.running.Wait()
	again := f.start(g.opts.Name)
	waittest.Until(t, "the record is written again", func() bool {
		again.membership.mu.Lock()
		defer again.membership.mu.Unlock()
		return again.membership.lease != kv.LeaseID{}
	})
	endLate(t, f, again, late)
}

// Guards against a record that stays with the lease of a former process which the store still had.
func TestRecordReplacesThatOfAFormerProcess(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	g := f.gateways[0]
	link := f.links[g.opts.Name]
	waittest.Until(t, "the record exists", func() bool { return f.store.Value(routerPrefix+g.opts.Name) != nil })
	lease, _, err := link.TxnStore.NewLease(t.Context(), memberTTL)
	assert.NilError(t, err)
	assert.NilError(t, g.membership.write(t.Context(), lease))
	assert.NilError(t, link.TxnStore.EndLease(t.Context(), lease))
	assert.Assert(t, f.store.Value(routerPrefix+g.opts.Name) == nil, "the record has the later lease")
}
