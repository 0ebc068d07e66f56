package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/routes"
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
