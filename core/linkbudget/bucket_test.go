package linkbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a bound that lets through more than the link carries, or less than its part.
func TestBucketKeepsToItsRate(t *testing.T) {
	b := NewBucket(0.5*slowLink, 250, 100*time.Millisecond)
	began := time.Unix(1000, 0)
	taken := 0
	for now := began; now.Before(began.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		for b.Take(now) {
			taken++
		}
		assert.Assert(t, b.Next().After(now))
	}
	assert.Assert(t, taken >= 2700 && taken <= 2750, "%d", taken) // the burst and a second's rate
}

// Guards against a bound where the link is unknown.
func TestUnknownLinkHasNoBound(t *testing.T) {
	b := NewBucket(0, 250, time.Second)
	assert.Assert(t, b.Has(time.Time{}, 1e9) && b.Take(time.Time{}))
}
