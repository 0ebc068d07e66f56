package balance

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSketchFindsHeavyKeysOfZipf(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.1, 1, 1_000_000)
	s := NewSketch(256)
	exact := map[string]float64{}
	for range 200_000 {
		key := fmt.Sprint(zipf.Uint64())
		s.Add(key, 1)
		exact[key]++
	}
	for i, hot := range s.Top(10) {
		assert.Assert(t, exact[hot.Key] <= hot.Weight && exact[hot.Key] >= hot.Weight-hot.Error)
		assert.Equal(t, hot.Key, fmt.Sprint(i), "the ten heaviest, in order")
	}
}

func TestSketchBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		s := NewSketch(capacity)
		exact := map[string]float64{}
		total := 0.0
		for _, k := range rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "keys") {
			key := fmt.Sprint(k)
			s.Add(key, 1)
			exact[key]++
			total++
		}
		held := map[string]bool{}
		for _, hot := range s.Top(100) {
			held[hot.Key] = true
			if exact[hot.Key] > hot.Weight || exact[hot.Key] < hot.Weight-hot.Error {
				t.Fatalf("%s has %v, sketch says %v with error %v", hot.Key, exact[hot.Key], hot.Weight, hot.Error)
			}
		}
		if len(held) > capacity || len(s.keys) != len(s.lightest) {
			t.Fatalf("%d keys in a sketch of %d", len(held), capacity)
		}
		for key, weight := range exact {
			if weight > total/float64(capacity) && !held[key] {
				t.Fatalf("%s with %v of %v is not held", key, weight, total)
			}
		}
	})
}

func TestSketchDecaysAndIsBounded(t *testing.T) {
	s := NewSketch(4)
	s.Add("morning", 1000)
	for range 10 {
		s.Decay(0.5)
		s.Add("evening", 10)
	}
	assert.Equal(t, s.Top(1)[0].Key, "evening")
	s.Add(strings.Repeat("x", MaxKeyLength+1), 1e9)
	assert.Equal(t, s.Top(1)[0].Key, "evening")
	for i := range 1000 {
		s.Add(fmt.Sprint(i), 1)
	}
	assert.Equal(t, len(s.Top(1000)), 4)
}

func BenchmarkSketchAdd(b *testing.B) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1_000_000)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprint(zipf.Uint64())
	}
	s := NewSketch(1024)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Add(keys[i%len(keys)], 1)
	}
}
