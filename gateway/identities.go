package gateway

import (
	"net/http"
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

// observe records an answer to a request that named the target. A success shows that it has the address: any other target
// refuses such a request.
func (i *identities) observe(t *directory.Target, resp *http.Response) {
	at := targetAddress{t.ID, t.Address}
	if _, known := i.confirmed.Load(at); !known && resp.StatusCode < http.StatusMultipleChoices {
		i.confirmed.Store(at, struct{}{})
	}
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
