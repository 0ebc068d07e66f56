package speed

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// answers adds answers of a target whose mean time is given, with work that is spread wide.
func answers(s *Speeds, random *rand.Rand, id string, n int, mean float64) {
	for range n {
		s.Add(id, 1, mean*math.Exp(0.8*random.NormFloat64()-0.32))
	}
}

// A target's speed is known within a fifth after a hundred answers, few answers are trusted little, and what another
// router knows is taken over.
func TestSpeedsAreMeasuredBesideWideSpreadWork(t *testing.T) {
	s, random := New(0.15), rand.New(rand.NewPCG(1, 1))
	for range 100 {
		answers(s, random, "fast", 2, 0.2)
		answers(s, random, "slow", 1, 0.5)
	}
	assert.Assert(t, math.Abs(s.Time("fast")/0.2-1) < 0.2 && math.Abs(s.Time("slow")/0.5-1) < 0.2, "%v, %v", s.Time("fast"), s.Time("slow"))
	s.Add("new", 1, 5)
	assert.Assert(t, s.Time("new") < 0.6, "%v", s.Time("new"))
	other := New(0.15)
	other.Set("slow", s.Answers("slow"), s.Time("slow"))
	assert.Assert(t, math.Abs(other.Time("slow")/s.Time("slow")-1) < 0.1)
	s.Keep(func(id string) bool { return id != "slow" })
	assert.Equal(t, s.Time("slow"), 0.0)
}

// Guards against a target that counts as fast for dozens of answers after it has become slow for good, and as slow
// after it has recovered.
func TestLastingChangeIsFoundAfterAFewAnswers(t *testing.T) {
	s, random := New(0.15), rand.New(rand.NewPCG(2, 1))
	for range 200 {
		answers(s, random, "a", 1, 0.2)
		answers(s, random, "b", 10, 0.2)
	}
	answers(s, random, "a", 16, 1)
	assert.Assert(t, s.Time("a") > 0.5, "%v", s.Time("a"))
	answers(s, random, "a", 24, 0.2)
	assert.Assert(t, s.Time("a") < 0.35, "%v", s.Time("a"))
}
