package routes

import "math/rand/v2"

// Splitter distributes the requests of one route over its shares by smooth weighted
// round-robin.
//
// A random choice for each request misses the weights by several percent over a few
// hundred requests. Smooth weighted round-robin keeps each share within one request of its
// weight on this router. It starts from random credits, so that many routers don't all
// choose the same share first. It is not safe for concurrent use.
type Splitter struct {
	shares []Share
	// totalWeight is the sum of the positive weights.
	totalWeight int
	// credit is a share's current weight in the round-robin; the largest is next.
	credit []int
}

// NewSplitter returns a splitter that starts with random credits.
func NewSplitter(shares []Share, random *rand.Rand) *Splitter {
	s := &Splitter{shares: shares, credit: make([]int, len(shares))}
	for _, share := range shares {
		s.totalWeight += max(share.Weight, 0)
	}
	for i, share := range shares {
		s.credit[i] = random.IntN(max(share.Weight, 0) + 1)
	}
	return s
}

// Next returns the service for the next request, or false if no share has a positive weight.
func (s *Splitter) Next() (string, bool) {
	if s.totalWeight <= 0 {
		return "", false
	}
	best := -1
	for i, share := range s.shares {
		if share.Weight <= 0 {
			continue
		}
		s.credit[i] += share.Weight
		if best < 0 || s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.totalWeight
	return s.shares[best].Service, true
}
