package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRoutersFindEachOther(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 1, 10, "doto", "visayas")
	for _, name := range f.names {
		assert.Equal(t, f.live(name, "doto"), 10, name)
		assert.Equal(t, f.live(name, "visayas"), 10, name)
	}
}

func TestDetectionIsFast(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 2, 40, "doto")
	died := f.net.Now()
	f.kill(f.names[7])
	f.net.Run(500 * time.Millisecond)
	lost := f.verdicts(Lost)
	assert.Equal(t, len(lost), 39, "every other router must hear of it")
	first := lost[0].at.Sub(died)
	assert.Assert(t, first > 200*time.Millisecond && first < 350*time.Millisecond, "took %s", first)
}

func TestQuietFleetHasNoVerdicts(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 3, 30, "doto")
	f.net.Run(2 * time.Minute)
	assert.Equal(t, len(f.changes), 0, "%v", f.changes)
}
