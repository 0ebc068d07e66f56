package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const every = 100 * time.Millisecond

func TestDueKeepsItsPhaseWhenCalledLate(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start
	assert.Assert(t, Due(&at, start, every))
	assert.Assert(t, !Due(&at, start.Add(every-1), every))
	assert.Assert(t, Due(&at, start.Add(every+every/2), every))
	assert.Assert(t, at.Equal(start.Add(2*every)))
}

// TestDueSkipsMissedIntervals guards against a burst of messages from a VM that resumes after
// it was suspended. The burst would come from a task that runs once for each missed interval.
func TestDueSkipsMissedIntervals(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start
	later := start.Add(100 * every)
	assert.Assert(t, Due(&at, later, every))
	assert.Assert(t, !Due(&at, later, every))
	assert.Assert(t, at.Equal(later.Add(every)))
}
