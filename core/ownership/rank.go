package ownership

import (
	"sort"

	"tarragongw/core/rendezvous"
)

// Rank orders the routers for a target by rendezvous hashing: the first one is to be its
// grantor, the others its successors. The loss of one router does not change the order of
// the others.
func Rank(target string, routers []Router) []Router {
	out := append([]Router(nil), routers...)
	sort.Slice(out, func(i, j int) bool {
		a, b := rendezvous.Weight(target, out[i].Name), rendezvous.Weight(target, out[j].Name)
		if a != b {
			return a > b
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// rank returns the live routers in the order of the duty's target.
func (k *Keeper) rank(d *duty) []Router {
	if d.ranked == nil {
		d.ranked = k.rankLive(d.spec.Name)
	}
	return d.ranked
}

// rankLive ranks the live routers, with those that are about to stop after all others.
// Otherwise a router that is about to stop would be handed back the duties that it has just
// handed over, repeatedly until it has stopped: the record would be written a hundred times
// a second, and the target would hardly be served meanwhile.
func (k *Keeper) rankLive(name string) []Router {
	ranked := Rank(name, k.live)
	sort.SliceStable(ranked, func(i, j int) bool { return !k.leaving[ranked[i]] && k.leaving[ranked[j]] })
	return ranked
}
