package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallerAgeIsEstimatedFromItsTimeLeft(t *testing.T) {
	var p callerAges
	assert.Equal(t, p.age("r", "2500"), time.Duration(0))
	assert.Equal(t, p.age("r", "2100"), 400*time.Millisecond)
	assert.Equal(t, p.age("r", "2500"), time.Duration(0))
	assert.Equal(t, p.age("r", "100"), time.Duration(0), "a caller with a shorter timeout")
	assert.Equal(t, p.age("other", "900"), time.Duration(0))
	for _, text := range []string{"", "-1", "soon"} {
		assert.Equal(t, p.age("r", text), time.Duration(0))
	}
}
