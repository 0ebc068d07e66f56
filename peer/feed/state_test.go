package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
)

// Guards against a router without the store that learns nothing of other routers, or less than they know.
func TestRouterReceivesTheStateOfAnother(t *testing.T) {
	value := make([]byte, 4*maxCompressedConfig) // too large for a feed
	_, err := rand.NewChaCha8([32]byte{}).Read(value)
	assert.NilError(t, err)
	state := &State{Leader: "l", Address: "10.0.0.1:1", Term: 9, ConfigVersion: 7, ConfigAge: 300 * time.Millisecond, ConfigValue: value}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{
		Log: slog.New(slog.DiscardHandler), Clock: clock.Boot{}, State: func() *State { return state },
		LeaderSource: func(uint64) (context.Context, *Source) { return nil, nil },
	}
	go func() { assert.Check(t, server.Serve(t.Context(), l)) }()
	ask := func(version uint64) *State {
		told, err := AskState(t.Context(), Router{Name: "r"}, l.Addr().String(), version)
		assert.NilError(t, err)
		return told
	}
	assert.DeepEqual(t, ask(6), state)
	same := *state
	same.ConfigValue = nil
	assert.DeepEqual(t, ask(7), &same)
	_, err = AskState(t.Context(), Router{Name: "r"}, "127.0.0.1:1", 0)
	assert.ErrorContains(t, err, "connect to a router")
}
