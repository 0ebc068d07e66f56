// Package targetlimit keeps the limits that targets state.
//
// A target in need states in its answers how many requests per second it takes from all routers together. The leader owns the
// whole: it hands out permits, one for each request to such a target, from one bucket for each target (Ledger). Every router
// knows for which targets it needs permits (View): for those that the leader has listed, and for those whose answers it has
// seen. A router without a leader has no permits.
//
// The package is deterministic: time is a parameter.
package targetlimit

import (
	"cmp"
	"slices"
	"strings"

	"tarragongw/core/keyspace"
)

// Limit is what one instance of a target takes from all routers together.
type Limit struct {
	Holder  keyspace.Holder
	Service string
	// PerSecond is a number of requests per second, zero or more.
	PerSecond float64
}

// sortLimits sorts limits by their targets.
func sortLimits(all []Limit) {
	slices.SortFunc(all, func(a, b Limit) int {
		return cmp.Or(strings.Compare(a.Holder.Target, b.Holder.Target), cmp.Compare(a.Holder.StartUnixMilli, b.Holder.StartUnixMilli))
	})
}
