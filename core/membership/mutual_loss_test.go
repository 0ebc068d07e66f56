package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The link between the two routers of a data centre fails while the platform responds to
// both, so that each declares the other lost; then the link recovers. If each dropped all
// messages of the other, neither would receive the claim that it has to refute: both would
// stay lost to each other, reject each other's duties, and answer each message with a claim
// as fast as the network allows.
func TestTwoRoutersThatDeclaredEachOtherLostRejoin(t *testing.T) {
	f := newFleet(t, DefaultConfig(), losslessNet(), 31, 2, "doto")
	f.net.Blocked = func(_, _ string) bool { return true }
	for range 10 {
		f.net.Run(100 * time.Millisecond)
		for _, name := range f.names {
			f.nodes[name].step(f.net.Now(), ExternalContact{})
		}
	}
	assert.Equal(t, len(f.verdicts(Lost)), 2)

	f.net.Blocked = nil
	var sent int
	f.trace = func(_ string, _ time.Time, actions []Action) {
		for _, a := range actions {
			if _, ok := a.(Send); ok {
				sent++
			}
		}
	}
	// A router pings the members that it declared lost once per second.
	const within = 2 * time.Second
	f.net.Run(within)
	for _, name := range f.names {
		assert.Equal(t, f.live(name, "doto"), 2, name)
	}
	// Each router sends ten heartbeats per second and little else.
	assert.Assert(t, sent < 150, "%d messages in %v", sent, within)
}
