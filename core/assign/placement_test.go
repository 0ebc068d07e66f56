package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// largeFleet is the number of targets of a large service.
const largeFleet = 210

// Guards against a new service most of whose keys go to a few of its many targets.
func TestNewServiceIsAssignedEvenlyToManyTargets(t *testing.T) {
	ids := make([]string, largeFleet)
	for i := range ids {
		ids[i] = fmt.Sprintf("t%03d", i)
	}
	shares := keysPerTarget(newSettled(t, ids...))
	assert.Equal(t, len(shares), largeFleet)
	for id, keys := range shares {
		assert.Assert(t, keys < 2*(1<<16)/largeFleet, "%s has %d keys", id, keys)
	}
}
