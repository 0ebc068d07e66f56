// Package duty runs the duties of a process, each as an actor with a bounded mailbox, and
// short jobs on goroutines that are kept.
package duty

import (
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// NewSystem returns an actor system that logs through our logger. Only the
// actor package is used; the library's clustering and discovery stay unused.
func NewSystem(log *slog.Logger) *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return log.With("component", "actor")
	}))
}

// Duty is one actor with a bounded mailbox. A full mailbox makes the sender wait;
// senders that must not wait use a dropping duty.
type Duty struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	workers *Workers
	// due is what the mailbox asked to be run and nobody has taken up yet.
	due atomic.Pointer[func()]
	// limit is how many messages may wait in a dropping duty; zero in any other.
	limit   int64
	waiting atomic.Int64
}

// Start runs handle for each message, one at a time.
//
// The library's own dropping mailbox isn't used: it goes on counting what it has
// dropped, so that after one drop its actor looks for messages without a pause, which
// takes a whole core for good.
func Start(system *actor.ActorSystem, workers *Workers, size int, dropping bool, handle func(message any)) *Duty {
	d := &Duty{system: system, workers: workers}
	if dropping {
		d.limit = int64(size)
	}
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch message := c.Message().(type) {
		case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		default:
			d.waiting.Add(-1)
			handle(message)
		}
	}, actor.WithMailbox(actor.Bounded(size)), actor.WithDispatcher(d))
	d.pid = system.Root.Spawn(props)
	d.runElsewhere()
	return d
}

// Schedule implements the actors' dispatcher: the mailbox has messages and nobody works
// them off. The library calls it within whatever queued the message, which then says
// where the mailbox runs.
func (d *Duty) Schedule(run func()) { d.due.Store(&run) }

// Throughput is the number of messages after which an actor lets others run; it is
// the library's own default.
func (d *Duty) Throughput() int { return 300 }

// Tell queues a message, or drops it where a dropping duty has too many waiting. The
// duty runs on another goroutine.
func (d *Duty) Tell(message any) {
	if d.queue(message) {
		d.runElsewhere()
	}
}

// TellHere is Tell for who has nothing else to do: a duty at rest runs on the caller's
// goroutine. At rest waking another one, and with it often another thread, costs more
// than most messages. What must not wait for the duty uses Tell.
func (d *Duty) TellHere(message any) {
	if !d.queue(message) {
		return
	}
	if run := d.due.Swap(nil); run != nil {
		(*run)()
	}
}

func (d *Duty) queue(message any) bool {
	if waiting := d.waiting.Add(1); d.limit > 0 && waiting > d.limit {
		d.waiting.Add(-1)
		return false
	}
	d.system.Root.Send(d.pid, message)
	return true
}

func (d *Duty) runElsewhere() {
	if run := d.due.Swap(nil); run != nil {
		d.workers.Run(*run)
	}
}

// TellLater queues a message from within the duty itself, where waiting for room
// in the mailbox would wait for itself.
func (d *Duty) TellLater(message any) { go d.Tell(message) }

// Stop ends the duty after the messages that wait.
func (d *Duty) Stop() {
	stopped := d.system.Root.PoisonFuture(d.pid)
	d.runElsewhere()
	// The only error is a timeout of the stop itself; the process is ending anyway.
	_ = stopped.Wait()
}
