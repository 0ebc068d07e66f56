package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target that may serve a request.
type Candidate struct {
	Name string
	// InFlight is the work that it has now from here.
	InFlight int
	// Latency is its mean latency; zero means that none was measured.
	Latency time.Duration
	// Weight is its share of normal work, from 0 to 1; zero means none.
	Weight float64
}

// PowerOfTwo draws two candidates and returns the index of the one with the lower
// expected wait, or -1 where none may serve. Drawing two, and not taking the least
// of all, keeps routers with equally old views from all choosing the same target.
func PowerOfTwo(candidates []Candidate, random *rand.Rand) int {
	first := draw(candidates, -1, random)
	if first < 0 {
		return -1
	}
	second := draw(candidates, first, random)
	if second < 0 || cost(candidates[first], candidates[second]) <= cost(candidates[second], candidates[first]) {
		return first
	}
	return second
}

// draw picks a candidate by weight, other than skip.
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
	mark := random.Float64() * total
	last := -1
	for i, c := range candidates {
		if i == skip || c.Weight <= 0 {
			continue
		}
		last = i
		mark -= c.Weight
		if mark < 0 {
			break
		}
	}
	return last
}

// cost is the expected wait at c beside other. A target without measured latency
// is taken to be as fast as the other, so that it is neither shunned nor flooded.
func cost(c, other Candidate) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = other.Latency
	}
	latency = max(latency, time.Microsecond)
	return float64(c.InFlight+1) * latency.Seconds() / c.Weight
}
