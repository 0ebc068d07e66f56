package spread

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAChangeReachesEveryRouter(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 1, 40, "doto", "visayas")
	rev := f.write("config/a", Configuration, "one")
	written := f.net.Now()
	f.net.Run(200 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
	for _, name := range f.names() {
		took := f.nodes[name].deliveredAt[rev].Sub(written)
		assert.Assert(t, took > 0 && took < 100*time.Millisecond, "%s took %s", name, took)
	}
}

func TestOnlyTheWatchersOfEachDataCentreWatch(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 2, 40, "doto", "visayas")
	watching := map[string]int{}
	for _, n := range f.nodes {
		if n.watching {
			watching[n.dc]++
		}
	}
	assert.DeepEqual(t, watching, map[string]int{"doto": 2, "visayas": 2})
}

func TestABurstArrivesWhole(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 3, 40, "doto")
	for i := range 50 {
		f.write(fmt.Sprintf("config/%02d", i%20), Configuration, fmt.Sprint("change ", i))
		f.net.Run(20 * time.Millisecond)
	}
	f.net.Run(300 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
}
