package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/routes"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Symptom: a configuration of a thousand routes is not in force after four seconds, and each
// router calls the store hundreds of times meanwhile.
// Sequence: the leader has the configuration; each of its updates says so; each update cuts
// the watch that is bringing it.
// Cause: a watch is asked anew whenever the leader is ahead.
func TestWatchThatBringsAConfigurationIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts := 0
		w := &watcher{cut: context.CancelFunc(func() { cuts++ })}
		g := &Gateway{log: slog.New(slog.DiscardHandler)}
		f := &follow{g: g, standing: []*watcher{w}}
		g.view.Store(&view{config: &routes.Config{Version: 1}})
		for range 80 {
			f.compare(2)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, cuts, 0)
		for range 80 {
			f.compare(2)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, cuts, 1, "one that brings nothing is asked anew")
		f.compare(1)
		assert.Equal(t, cuts, 1)
	})
}

// Symptom: a router that has just started never becomes ready.
// Sequence: the store answers the first watch before the router has put together what its
// answer is told to; the configuration that it brings is lost.
func TestNothingIsAskedBeforeTheRouterIsWhole(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStore(store.Address())
	defer client.Close()
	g := &Gateway{log: slog.New(slog.DiscardHandler), opts: Options{Store: client}}
	g.lifetime, g.cancel = context.WithCancel(t.Context())
	defer g.running.Wait()
	defer g.cancel()
	g.members = newMembers(g)
	newFollow(g)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(store.Calls()), 0)
}
