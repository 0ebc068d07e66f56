package assign

import (
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// heatMemory is how long a request counts for its key's load: long enough for some
	// hundred requests of a busy service to be seen, short enough to follow a key that
	// becomes hot within a second or two.
	heatMemory = 3 * time.Second
	// heatMost bounds the requests that are remembered, 24 bytes each.
	heatMost = 8192
	// evenShare is the part of the load that is taken to lie evenly on all keys, so that
	// ranges without a recent request are not taken to cost nothing.
	evenShare = 0.1
)

type touch struct {
	at  time.Time
	key keyspace.Key
	n   float64
}

// Heat remembers which keys were asked for of late. It is not safe for concurrent use.
type Heat struct {
	touches []touch
	sorted  []touch
	sums    []float64
}

// NewHeat returns a heat that knows nothing.
func NewHeat() *Heat { return &Heat{} }

// Add notes n requests for the key.
func (h *Heat) Add(now time.Time, key keyspace.Key, n float64) {
	if len(h.touches) >= heatMost {
		h.touches = append(h.touches[:0], h.touches[heatMost/2:]...)
	}
	h.touches = append(h.touches, touch{at: now, key: key, n: n})
}

// settle forgets what is old and sorts the rest for a plan.
func (h *Heat) settle(now time.Time) {
	first := sort.Search(len(h.touches), func(i int) bool { return now.Sub(h.touches[i].at) <= heatMemory })
	h.touches = append(h.touches[:0], h.touches[first:]...)
	h.sorted = append(h.sorted[:0], h.touches...)
	sort.Slice(h.sorted, func(i, j int) bool { return h.sorted[i].key < h.sorted[j].key })
	h.sums = append(h.sums[:0], 0)
	for i, t := range h.sorted {
		h.sums = append(h.sums, h.sums[i]+t.n)
	}
}

func (h *Heat) total() float64 { return h.sums[len(h.sums)-1] }

// before is the number of requests for keys below k.
func (h *Heat) before(k int) float64 {
	i := sort.Search(len(h.sorted), func(i int) bool { return int(h.sorted[i].key) >= k })
	return h.sums[i]
}

// of is the load of a range in requests, with its even share.
func (h *Heat) of(from, to keyspace.Key) float64 {
	keys := float64(int(to)-int(from)+1) / float64(int(keyspace.LastKey)+1)
	seen := h.before(int(to)+1) - h.before(int(from))
	return seen*(1-evenShare) + (h.total()*evenShare+1)*keys
}

// cut returns the last key of the shortest range from the first key on that has the load,
// or the last key of the whole range.
func (h *Heat) cut(from, to keyspace.Key, load float64) keyspace.Key {
	n := sort.Search(int(to)-int(from), func(i int) bool {
		return h.of(from, from+keyspace.Key(i)) >= load
	})
	return from + keyspace.Key(n)
}
