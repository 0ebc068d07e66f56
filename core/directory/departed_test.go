package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// The address of a target is claimed only once the target has departed and a later one names the address.
func TestAddressOfADepartedTargetIsClaimedByALaterOne(t *testing.T) {
	old := Target{ID: "old", StartUnixMilli: 1000, Address: "10.0.0.1:80", Service: "keyed"}
	next := Target{ID: "next", StartUnixMilli: 5000, Address: old.Address, Service: "other"}
	with := func(t Target, change func(*Target)) Target { change(&t); return t }
	for name, c := range map[string]struct {
		old, next Target
		// otherSeenFirst: the other target was seen before the first report of the old one.
		// reportsLater: the old one reported again after the other was seen. notRemoved: the
		// old one stays in the store.
		otherSeenFirst, reportsLater, notRemoved bool
		claimed                                  bool
	}{
		"taken by another service":  {old: old, next: next, claimed: true},
		"taken by the same service": {old: old, next: with(next, func(t *Target) { t.Service = old.Service }), claimed: true},
		"neither reports its start": {old: with(old, func(t *Target) { t.StartUnixMilli = 0 }), next: with(next, func(t *Target) { t.StartUnixMilli = 0 }), claimed: true},
		"still in the store":        {old: old, next: next, notRemoved: true},
		"another address":           {old: old, next: with(next, func(t *Target) { t.Address = "10.0.0.2:80" })},
		"the other started before":  {old: old, next: with(next, func(t *Target) { t.StartUnixMilli = 500 })},
		"the other was seen first":  {old: old, next: next, otherSeenFirst: true},
		"reported since":            {old: old, next: next, reportsLater: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, fromLeader := range []bool{false, true} {
				d := New()
				if c.otherSeenFirst {
					d.Put(at(0), c.next)
				}
				d.Put(at(100), c.old)
				d.Put(at(4000), c.next)
				if c.reportsLater {
					d.Put(at(4500), with(c.old, func(t *Target) { t.Seq++ }))
				}
				switch {
				case c.notRemoved:
				case fromLeader:
					d.Adopt(at(5000), false, nil, []string{c.old.ID}, 0)
				default:
					d.Remove(at(5000), c.old.ID, 0)
				}
				var want []keyspace.Holder
				if c.claimed {
					want = []keyspace.Holder{c.old.Holder()}
				}
				assert.DeepEqual(t, d.Claimed(), want)
			}
		})
	}
}

// The address of a target that reports again is not claimed, and a departed target is dropped after a while.
func TestDepartedTargetIsDroppedOnReturnOrAfterRetention(t *testing.T) {
	d := New()
	d.Put(at(0), Target{ID: "old", StartUnixMilli: 1000, Address: "x"})
	d.Remove(at(100), "old", 0)
	assert.Equal(t, d.Departed()[0].Address, "x")
	d.Put(at(200), Target{ID: "next", StartUnixMilli: 5000, Address: "x"})
	assert.Equal(t, len(d.Claimed()), 1)
	d.Put(at(300), Target{ID: "old", StartUnixMilli: 1000, Address: "y"})
	assert.Equal(t, len(d.Claimed()), 0)
	assert.Equal(t, len(d.Departed()), 0)
	d.Remove(at(400), "old", 0)
	d.Put(at(500), Target{ID: "another", StartUnixMilli: 1})
	d.Remove(at(400+2*int(departedRetention.Milliseconds())), "another", 0)
	assert.Equal(t, len(d.departed), 1)
}
