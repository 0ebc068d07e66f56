package gateway

import (
	"sync"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
)

// identities remembers at which addresses targets have answered as themselves. Only there does the answer of another target
// show that they have ended: an entry that somebody else wrote may name an address that was never theirs.
type identities struct {
	// confirmed has an empty value for each targetAddress.
	confirmed sync.Map
}

// targetAddress is a target at an address.
type targetAddress struct{ id, address string }

// confirm records that a target has served a request that named it. Any other target at its address would have refused that.
func (i *identities) confirm(t *directory.Target) {
	i.confirmed.Store(targetAddress{t.ID, t.Address}, struct{}{})
}

// judge records what the outcome of an order says of the target's address, and returns the outcome that holds. If the target
// never answered at the address, that another one does shows only that the order has not reached the target.
func (i *identities) judge(o *assign.Order, outcome assign.Outcome) assign.Outcome {
	at := targetAddress{o.Holder.Target, o.Address}
	_, known := i.confirmed.Load(at)
	switch {
	case outcome == assign.AddressTaken && !known:
		return assign.NotSent
	case !known && o.Kind != assign.Probe && (outcome == assign.Accepted || outcome == assign.Superseded):
		i.confirmed.Store(at, struct{}{})
	}
	return outcome
}

// retain forgets all targets but the given ones.
func (i *identities) retain(known ...[]directory.Target) {
	kept := map[targetAddress]bool{}
	for _, targets := range known {
		for t := range targets {
			kept[targetAddress{targets[t].ID, targets[t].Address}] = true
		}
	}
	i.confirmed.Range(func(at, _ any) bool {
		if !kept[at.(targetAddress)] {
			i.confirmed.Delete(at)
		}
		return true
	})
}
