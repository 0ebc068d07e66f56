package duty

import (
	"context"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// Symptom: a router at rest uses a whole core.
// Sequence: the full mailbox of a dropping duty drops a message; the duty works off
// the others and then looks for the dropped one for good.
// Cause: a mailbox that counts what it has dropped.
func TestDroppingDutyRestsAfterADrop(t *testing.T) {
	const size, sent = 8, 100
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers, system := NewWorkers(lifetime), NewSystem(slog.New(slog.DiscardHandler))
	begun, release := make(chan struct{}, sent+1), make(chan struct{})
	d := Start(system, workers, size, true, func(any) {
		begun <- struct{}{}
		<-release
	})
	d.Tell(0)
	<-begun
	for i := range sent {
		d.Tell(i) // never waits
	}
	close(release)
	waittest.Until(t, "the duty rests", func() bool { return workers.idle.Load() == 1 })
	assert.Equal(t, len(begun), size)
	d.Tell(0)
	<-begun
	d.Stop()
	system.Shutdown()
}
