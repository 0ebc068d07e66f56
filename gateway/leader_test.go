package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that goes over all ranges for each answer to an order: both grow
// with the targets, its work with the square.
func TestStepsDoNotGrowWithTheAnswers(t *testing.T) {
	var p pacer
	begin := time.Now()
	last, steps := begin.Add(-time.Second), 0
	for i := range 10_000 {
		now := begin.Add(time.Duration(i) * 100 * time.Microsecond)
		due, ok := p.begin(now)
		if ok {
			last = now
			steps++
			continue
		}
		assert.Equal(t, due, last.Add(minStepInterval), "what came after the last step is carried out in time")
	}
	assert.Equal(t, steps, int(time.Second/minStepInterval))
}
