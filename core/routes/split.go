package routes

import "math/rand/v2"

// Splitter deals the requests of one route out to its shares.
//
// Drawing each request at random misses the weights by several in a hundred over a few
// hundred requests. Dealing by credit keeps each share within one request of its weight
// on this router; a random start keeps many routers from dealing the same share first.
// It is not safe for concurrent use.
type Splitter struct {
	shares []Share
	total  int
	credit []int
}

// NewSplitter returns a splitter with a random start.
func NewSplitter(shares []Share, random *rand.Rand) *Splitter {
	s := &Splitter{shares: shares, credit: make([]int, len(shares))}
	for _, share := range shares {
		s.total += max(share.Weight, 0)
	}
	for i, share := range shares {
		s.credit[i] = random.IntN(max(share.Weight, 0) + 1)
	}
	return s
}

// Next returns the service of the next request, or false where no share has a weight.
func (s *Splitter) Next() (string, bool) {
	if s.total <= 0 {
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
	s.credit[best] -= s.total
	return s.shares[best].Service, true
}
