package routes

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against shares that miss their weight: with a random choice for each request, a
// share of 90 % got 84 % of two hundred requests, which is within the random variation.
func TestSharesGetTheirWeights(t *testing.T) {
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

func TestSplitterWithoutWeightsReturnsNoService(t *testing.T) {
	_, ok := NewSplitter([]Share{{"a", 0}}, rand.New(rand.NewPCG(1, 2))).Next()
	assert.Assert(t, !ok)
}
