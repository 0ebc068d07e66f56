package routes

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: over two hundred requests a share of 90 in 100 gets 84.
// Cause: shares drawn at random for each request scatter by their standard deviation.
func TestSharesKeepTheirWeights(t *testing.T) {
	s := NewSplitter([]Share{{"a", 90}, {"b", 10}, {"c", 0}}, rand.New(rand.NewPCG(1, 2)))
	count := map[string]int{}
	for range 200 {
		name, ok := s.Next()
		assert.Assert(t, ok)
		count[name]++
	}
	assert.Assert(t, count["a"] >= 179 && count["a"] <= 181, "%v", count)
	assert.Equal(t, count["c"], 0)
}

func TestNoWeightNoService(t *testing.T) {
	_, ok := NewSplitter([]Share{{"a", 0}}, rand.New(rand.NewPCG(1, 2))).Next()
	assert.Assert(t, !ok)
}
