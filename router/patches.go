package router

import (
	"tarragongw/core/spread"
	"tarragongw/peer"
)

// readsPatches says whether the other router is known to read records as patches. One of
// which nothing is known gets whole records: an older version ignores what it doesn't
// know, and would have the change only by the next comparison of digests.
func (r *Router) readsPatches(name string) bool {
	minor, known := r.peers.Minor(name)
	return known && minor >= peer.MinorPatches
}

// patchDropped counts and tells of a patch that was not taken. That its base is not held
// happens after a loss; a wrong one says that the sender is at fault.
func (r *Router) patchDropped(a spread.PatchDropped) {
	cause := "base"
	if a.Invalid {
		cause = "wrong"
		r.log.Warn("patch of a record dropped, it does not give what its sender holds", "key", a.Key, "from", a.From)
	}
	r.tel.Scope().Tagged(map[string]string{"cause": cause}).Counter("record_patches_dropped_total").Inc(1)
}
