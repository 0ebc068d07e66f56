package feed

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/core/reach"
)

func TestReachAndRelaysSurviveTheWire(t *testing.T) {
	assert.Assert(t, encodeReach(nil) == nil)
	u := reach.Unreached{Services: []string{"s"}, Targets: []string{"t"}}
	assert.DeepEqual(t, decodeUnreached(encodeReach(&Reach{Unreached: u}).GetUnreached()), u)
	relays := &Relays{Relays: []Relay{{Router: Router{Name: "r", Address: "h:1", DataCentre: "hall"}, Unreached: u}}}
	assert.DeepEqual(t, decodeRelays(encodeRelays(relays)), relays)
	r := &relays.Relays[0]
	assert.Assert(t, !r.Reaches(&directory.Target{ID: "x", Service: "s"}))
	assert.Assert(t, !r.Reaches(&directory.Target{ID: "t", Service: "other"}))
	assert.Assert(t, r.Reaches(&directory.Target{ID: "x", Service: "other"}))
}

// Relays are what the leader itself knows, so that they are right without an answer from the store.
func TestStaleLeaderSendsRelaysOnce(t *testing.T) {
	source := NewSource()
	u, state := source.updateSince(sentState{}, true)
	assert.Assert(t, u.GetRelays() == nil)
	source.SetRelays(&Relays{Relays: []Relay{{Router: Router{Name: "r"}}}})
	u, state = source.updateSince(state, true)
	assert.Equal(t, len(u.GetRelays().GetRelays()), 1)
	u, state = source.updateSince(state, true)
	assert.Assert(t, u.GetRelays() == nil)
	source.SetRelays(&Relays{})
	u, _ = source.updateSince(state, true)
	assert.Assert(t, u.GetRelays() != nil)
}
