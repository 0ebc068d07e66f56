package router

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/leasewrite"
	"tarragongw/operator"
)

// Guards against a status that says nothing is wrong while writes are not protected, and against
// one that names a fault where they are.
func TestStatusTellsOfUnprotectedWrites(t *testing.T) {
	var status operator.Status
	addWrites(&status, nil, 3)
	assert.Equal(t, len(status.Problems), 0)
	addWrites(&status, leasewrite.ErrUnsupported, 3)
	assert.Equal(t, len(status.Problems), 1)
	p := status.Problems[0]
	assert.Assert(t, strings.Contains(p.What, leasewrite.ErrUnsupported.Error()) && strings.Contains(p.What, "3 so far"), p.What)
	assert.Assert(t, p.Doing != "" && p.Action != "")
}
