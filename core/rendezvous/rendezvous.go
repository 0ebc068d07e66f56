// Package rendezvous assigns duties to members by rendezvous hashing (highest random weight).
// All processes with the same list of members choose the same ones, and the loss of a member
// moves only that member's duties. The package does no I/O.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of the member with the name for the duty.
func Weight(duty, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(duty)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Top returns the k names with the highest weights for the duty, highest first, or all names
// in that order if there are fewer than k.
func Top(duty string, k int, names []string) []string {
	ranked := Order(duty, names)
	return ranked[:min(k, len(ranked))]
}

// Order returns all names in order of descending weight for the duty.
func Order(duty string, names []string) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, len(names))
	for i, name := range names {
		list[i] = ranked{name, Weight(duty, name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].name
	}
	return out
}
