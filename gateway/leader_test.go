package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that goes over all key ranges for each answer to an order: the numbers of
// ranges and of answers both grow with the number of targets, so the work would grow with its square.
func TestNumberOfStepsDoesNotGrowWithTheNumberOfAnswers(t *testing.T) {
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
		assert.Equal(t, due, last.Add(minStepInterval), "a step that has to wait is due minStepInterval after the last one")
	}
	assert.Equal(t, steps, int(time.Second/minStepInterval))
}
