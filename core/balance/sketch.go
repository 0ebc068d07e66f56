// Package balance distributes load: it finds hot keys, plans which units of keys move
// between targets, and chooses the target for a request of a service that is not
// partitioned by key.
//
// The package is deterministic: time and random sources are parameters.
package balance

import (
	"container/heap"
	"slices"
	"strings"
)

// MaxKeyLength bounds the keys that a Sketch keeps, in bytes. Longer keys are not
// counted. Together with the capacity this bounds memory, whatever callers send.
const MaxKeyLength = 256

// HotKey is one key that a Sketch holds. Its true weight lies between
// Weight-Error and Weight.
type HotKey struct {
	Key           string
	Weight, Error float64
}

// Sketch finds the heaviest keys of a stream in bounded memory, by the
// space-saving algorithm of Metwally, Agrawal and El Abbadi (2005): a key that is not
// held replaces the lightest one and takes over its weight as error. Every key heavier
// than the total divided by the capacity is held. The existing library has neither decay
// nor a bound on key length, hence this implementation.
type Sketch struct {
	capacity int
	total    float64
	order    uint64
	keys     map[string]*counter
	lightest counters
}

type counter struct {
	HotKey
	// order breaks ties between equal weights by order of insertion.
	order uint64
	index int
}

// NewSketch returns a sketch of at most capacity keys.
func NewSketch(capacity int) *Sketch {
	return &Sketch{capacity: max(capacity, 1), keys: make(map[string]*counter)}
}

// Add adds weight to key. It costs O(log capacity).
func (s *Sketch) Add(key string, weight float64) {
	if weight <= 0 || len(key) > MaxKeyLength {
		return
	}
	s.total += weight
	s.order++
	if c := s.keys[key]; c != nil {
		c.Weight += weight
		heap.Fix(&s.lightest, c.index)
		return
	}
	if len(s.lightest) < s.capacity {
		c := &counter{HotKey: HotKey{Key: strings.Clone(key), Weight: weight}, order: s.order}
		s.keys[c.Key] = c
		heap.Push(&s.lightest, c)
		return
	}
	c := s.lightest[0]
	delete(s.keys, c.Key)
	c.HotKey = HotKey{Key: strings.Clone(key), Weight: c.Weight + weight, Error: c.Weight}
	c.order = s.order
	s.keys[c.Key] = c
	heap.Fix(&s.lightest, 0)
}

// Decay multiplies all weights by factor, from 0 to 1, so that keys that were hot before
// are replaced by keys that are hot now.
func (s *Sketch) Decay(factor float64) {
	factor = min(max(factor, 0), 1)
	s.total *= factor
	for _, c := range s.lightest {
		c.Weight *= factor
		c.Error *= factor
	}
}

// Total returns the decayed weight of everything counted.
func (s *Sketch) Total() float64 { return s.total }

// Top returns the n heaviest keys, heaviest first.
func (s *Sketch) Top(n int) []HotKey {
	top := make([]HotKey, 0, len(s.lightest))
	for _, c := range s.lightest {
		top = append(top, c.HotKey)
	}
	slices.SortFunc(top, func(a, b HotKey) int {
		if a.Weight != b.Weight {
			if a.Weight > b.Weight {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Key, b.Key)
	})
	return top[:min(max(n, 0), len(top))]
}

// counters is a heap of counters with the lightest key first.
type counters []*counter

func (h counters) Len() int { return len(h) }
func (h counters) Less(i, j int) bool {
	if h[i].Weight != h[j].Weight {
		return h[i].Weight < h[j].Weight
	}
	return h[i].order < h[j].order
}
func (h counters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *counters) Push(x any) {
	c := x.(*counter)
	c.index = len(*h)
	*h = append(*h, c)
}
func (h *counters) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
