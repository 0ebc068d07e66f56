package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func countChoices(candidates []Candidate) []int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(candidates))
	for range 10_000 {
		counts[PowerOfTwo(candidates, random)]++
	}
	return counts
}

func TestPowerOfTwoChoosesByWait(t *testing.T) {
	fast, slow := 10*time.Millisecond, 50*time.Millisecond
	cases := []struct {
		name       string
		candidates []Candidate
		// low and high bound the share of the first candidate.
		low, high float64
	}{
		{"the only one", []Candidate{{Weight: 1}}, 1, 1},
		{"weight zero gets none", []Candidate{{Weight: 0}, {Weight: 1}}, 0, 0},
		{"fewer in flight wins", []Candidate{{Weight: 1, InFlight: 1, Latency: fast}, {Weight: 1, InFlight: 2, Latency: fast}}, 1, 1},
		{"slow loses", []Candidate{{Weight: 1, Latency: slow}, {Weight: 1, Latency: fast, InFlight: 3}}, 0, 0},
		{"unmeasured counts as fast as the other", []Candidate{{Weight: 1, InFlight: 1}, {Weight: 1, Latency: slow}}, 0, 0},
		{"low weight of three is drawn rarely and loses", []Candidate{{Weight: 0.1, Latency: fast}, {Weight: 1, Latency: fast}, {Weight: 1, Latency: fast}}, 0, 0},
		{"low weight of three gets work when others are busy", []Candidate{{Weight: 0.1, Latency: fast}, {Weight: 1, Latency: fast, InFlight: 20}, {Weight: 1, Latency: fast, InFlight: 20}}, 0.05, 0.25},
	}
	for _, c := range cases {
		share := float64(countChoices(c.candidates)[0]) / 10_000
		assert.Assert(t, share >= c.low && share <= c.high, "%s: %.3f", c.name, share)
	}
	assert.Equal(t, PowerOfTwo([]Candidate{{}, {}}, rand.New(rand.NewPCG(1, 2))), -1)
	assert.Equal(t, PowerOfTwo(nil, nil), -1)
}

func BenchmarkPowerOfTwo16(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := make([]Candidate, 16)
	for i := range candidates {
		candidates[i] = Candidate{Weight: 1, InFlight: i % 4, Latency: time.Millisecond}
	}
	b.ReportAllocs()
	for b.Loop() {
		PowerOfTwo(candidates, random)
	}
}
