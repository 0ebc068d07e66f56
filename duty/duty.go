// Package duty runs the duties of a process, each as an actor with a bounded mailbox, and
// short jobs on reused goroutines.
package duty

import (
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
)

// NewSystem returns an actor system that logs through the given logger. Only the library's
// actor package is used, not its clustering and discovery.
func NewSystem(log *slog.Logger) *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return log.With("component", "actor")
	}))
}

// Duty is an actor with a bounded mailbox. A full mailbox blocks the sender; senders that must
// not block use a dropping duty.
type Duty struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	workers *Workers
	// scheduledRun is the mailbox run that was scheduled and has not started yet.
	scheduledRun atomic.Pointer[func()]
	// maxQueued is how many messages may be queued in a dropping duty; zero in other duties.
	maxQueued int64
	queued    atomic.Int64
}

// Start starts a duty that runs handle for each message, one at a time. The mailbox holds size
// messages. If dropWhenFull is set, further messages are dropped.
//
// The library's own dropping mailbox isn't used because it keeps counting the messages that it
// dropped. After one drop its actor looks for messages in a busy loop, which uses a whole core
// from then on.
func Start(system *actor.ActorSystem, workers *Workers, size int, dropWhenFull bool, handle func(message any)) *Duty {
	d := &Duty{system: system, workers: workers}
	if dropWhenFull {
		d.maxQueued = int64(size)
	}
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch message := c.Message().(type) {
		case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		default:
			d.queued.Add(-1)
			handle(message)
		}
	}, actor.WithMailbox(actor.Bounded(size)), actor.WithDispatcher(d))
	d.pid = system.Root.Spawn(props)
	d.runOnWorker()
	return d
}

// Schedule implements the library's dispatcher. The library calls it from within the call that
// queued a message, if the mailbox isn't running; that call then decides where to run it.
func (d *Duty) Schedule(run func()) { d.scheduledRun.Store(&run) }

// Throughput is the number of messages after which an actor yields to others. It is the
// library's default.
func (d *Duty) Throughput() int { return 300 }

// Tell queues a message, or drops it if a dropping duty has too many queued. The duty runs on
// another goroutine.
func (d *Duty) Tell(message any) {
	if d.enqueue(message) {
		d.runOnWorker()
	}
}

// TellHere is Tell for callers that have nothing else to do: an idle duty runs on the caller's
// goroutine. In an idle process, waking another goroutine, and often another thread with it,
// costs more than handling most messages. A caller that must not wait for the duty uses Tell.
func (d *Duty) TellHere(message any) {
	if !d.enqueue(message) {
		return
	}
	if run := d.scheduledRun.Swap(nil); run != nil {
		(*run)()
	}
}

func (d *Duty) enqueue(message any) bool {
	if queued := d.queued.Add(1); d.maxQueued > 0 && queued > d.maxQueued {
		d.queued.Add(-1)
		return false
	}
	d.system.Root.Send(d.pid, message)
	return true
}

func (d *Duty) runOnWorker() {
	if run := d.scheduledRun.Swap(nil); run != nil {
		d.workers.Run(*run)
	}
}

// TellLater queues a message from within the duty itself, where blocking on a full mailbox
// would be a deadlock.
func (d *Duty) TellLater(message any) { go d.Tell(message) }

// Stop ends the duty after it has handled the queued messages.
func (d *Duty) Stop() {
	stopped := d.system.Root.PoisonFuture(d.pid)
	d.runOnWorker()
	// The only error is a timeout of the stop itself, and the process is ending anyway.
	_ = stopped.Wait()
}
