package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target that may serve a request.
type Candidate struct {
	Name string
	// InFlight is the number of this router's requests in flight to it.
	InFlight int
	// Latency is its mean latency; zero means not measured yet.
	Latency time.Duration
	// Weight is the fraction of its normal share of requests that it should get, from 0 to
	// 1; zero means none.
	Weight float64
}

// PowerOfTwo draws two candidates and returns the index of the one with the lower
// expected wait, or -1 if none may serve. Choosing among two instead of all keeps routers
// with equally outdated information from all choosing the same target.
func PowerOfTwo(candidates []Candidate, random *rand.Rand) int {
	first := draw(candidates, -1, random)
	if first < 0 {
		return -1
	}
	second := draw(candidates, first, random)
	if second < 0 || expectedWait(candidates[first], candidates[second]) <= expectedWait(candidates[second], candidates[first]) {
		return first
	}
	return second
}

// draw returns the index of a random candidate other than skip, chosen by weight, or -1.
func draw(candidates []Candidate, skip int, random *rand.Rand) int {
	total := 0.0
	for i, c := range candidates {
		if i != skip {
			total += max(c.Weight, 0)
		}
	}
	if total == 0 {
		return -1
	}
	point := random.Float64() * total
	last := -1
	for i, c := range candidates {
		if i == skip || c.Weight <= 0 {
			continue
		}
		last = i
		point -= c.Weight
		if point < 0 {
			break
		}
	}
	return last
}

// expectedWait returns the expected wait at c, in comparison with other. A target without
// measured latency is assumed to be as fast as other, so that it is neither avoided nor
// overloaded.
func expectedWait(c, other Candidate) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = other.Latency
	}
	latency = max(latency, time.Microsecond)
	return float64(c.InFlight+1) * latency.Seconds() / c.Weight
}
