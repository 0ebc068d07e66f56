package duty

import (
	"context"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
)

// Guards against an idle router that uses a whole core. A mailbox that counts the messages it
// has dropped has its duty look for them in a busy loop after it has handled the others.
func TestDroppingDutyIsIdleAfterADrop(t *testing.T) {
	const size, sent = 8, 100
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers, system := NewWorkers(lifetime), NewSystem(slog.New(slog.DiscardHandler))
	started, release := make(chan struct{}, sent+1), make(chan struct{})
	d := Start(system, workers, size, true, func(any) {
		started <- struct{}{}
		<-release
	})
	d.Tell(0)
	<-started
	for i := range sent {
		d.Tell(i) // never blocks
	}
	close(release)
	waittest.Until(t, "the duty rests", func() bool { return workers.idle.Load() == 1 })
	assert.Equal(t, len(started), size)
	d.Tell(0)
	<-started
	d.Stop()
	system.Shutdown()
}
