package router

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/core/shed"
	"tarragongw/duty"
	"tarragongw/eventlog"
)

const (
	// delayTick is the interval at which the own delay is judged, delayRest that at which
	// it is while fewer than restingWork requests come within a tick: a router at rest
	// needs no look.
	delayTick   = 20 * time.Millisecond
	delayRest   = 200 * time.Millisecond
	restingWork = 4
	// relievedAfter is how long nothing must have been refused for the end to be told.
	relievedAfter = 2 * time.Second
)

// ownDelay measures how long work waits for this router's own processor and refuses
// some of it while that is too long. The decision is that of core/shed.
//
// A probe is a byte in a pipe. It waits as a caller's request does: in the kernel until
// the runtime asks which connections are ready, then for a processor. Neither a timer's
// lateness nor the runtime's own measure of runnable goroutines shows the first, which
// is most of it: the runtime takes in 128 ready connections at a time.
type ownDelay struct {
	r      *Router
	target time.Duration

	// What follows the request path reads.
	refusing atomic.Bool
	shares   [shed.RankCount]atomic.Uint64
	offered  [shed.RankCount]atomic.Uint64
	// wait is the advised one, in nanoseconds.
	wait atomic.Int64

	mu         sync.Mutex
	controller *shed.Controller
	// probing says that a probe is under way, which was due at sent.
	probing bool
	sent    time.Time
	// before is what was offered up to the last probe.
	before shed.Offered
	// delay is that of the last probe, since when some work is refused; since is zero
	// while none is. refusedAt is when some was last to be refused.
	delay            time.Duration
	since, refusedAt time.Time
}

// shareUnit is a share of one as it is kept for the request path.
const shareUnit = 1 << 20

func newOwnDelay(r *Router) *ownDelay {
	target := r.opts.Settings.Limits.OwnDelay
	return &ownDelay{r: r, target: target, controller: shed.New(target)}
}

func (d *ownDelay) start() {
	if d.target <= 0 {
		return
	}
	in, out, err := os.Pipe()
	if err != nil {
		d.r.log.Error("the router's own delay is not measured", "cause", err)
		return
	}
	d.r.run(func() { d.takeIn(in) })
	d.r.run(func() {
		defer in.Close()
		defer out.Close()
		d.probe(out)
	})
}

// takeIn takes in probes until the pipe is closed.
func (d *ownDelay) takeIn(in *os.File) {
	var probe [1]byte
	for {
		if _, err := in.Read(probe[:]); err != nil {
			return
		}
		d.arrived(time.Now())
	}
}

// probe sends a probe at each tick at which none is under way. What the timer itself is
// late counts as delay, so that a lack of any processor time shows too.
func (d *ownDelay) probe(out *os.File) {
	due := time.Now().Add(delayRest)
	for duty.Sleep(d.r.lifetime, time.Until(due)) {
		if d.send(due) {
			// The pipe holds one byte at most, so that the write doesn't block; it fails once
			// the pipe is closed.
			_, _ = out.Write([]byte{0})
		}
		interval := delayTick
		if d.resting() {
			interval = delayRest
		}
		due = due.Add(interval)
		if now := time.Now(); due.Before(now) {
			due = now
		}
	}
}

// send reports whether a probe is to set out.
func (d *ownDelay) send(due time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing {
		return false
	}
	d.probing, d.sent = true, due
	d.controller.Sent(due)
	return true
}

// resting says that next to nothing came since the last probe and nothing is refused.
func (d *ownDelay) resting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var n uint64
	for rank := range d.before {
		n += d.offered[rank].Load() - d.before[rank]
	}
	return n < restingWork && !d.refusing.Load()
}

// arrived decides by the probe that came and puts the decision in force.
func (d *ownDelay) arrived(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing, d.delay = false, now.Sub(d.sent)
	var offered shed.Offered
	for rank := range offered {
		n := d.offered[rank].Load()
		offered[rank] = n - d.before[rank]
		d.before[rank] = n
	}
	for rank, share := range d.controller.Arrived(now, offered) {
		d.shares[rank].Store(uint64(share * shareUnit))
	}
	admitted := d.controller.Admitted()
	d.wait.Store(int64(shed.RetryAfter(admitted)))
	d.refusing.Store(admitted < 1)
	d.tell(now, admitted)
}

// tell tells operators when refusing begins and ends.
func (d *ownDelay) tell(now time.Time, admitted float64) {
	if admitted < 1 {
		d.refusedAt = now
	}
	switch {
	case d.since.IsZero() && admitted < 1:
		d.since = now
		d.record(eventlog.RouterSaturated, "work waits longer than limits.own_delay for this router's own processor",
			eventlog.F("delay", d.delay.String()), eventlog.F("admitted", percent(admitted)))
	case !d.since.IsZero() && now.Sub(d.refusedAt) >= relievedAfter:
		d.record(eventlog.RouterRelieved, "nothing was refused for its own delay for "+relievedAfter.String(),
			eventlog.F("lasted", now.Sub(d.since).Round(time.Millisecond).String()))
		d.since = time.Time{}
	}
}

func (d *ownDelay) record(kind eventlog.Kind, cause string, fields ...eventlog.Field) {
	d.r.journal.Record(eventlog.Event{Kind: kind, Cause: cause, Router: d.r.self.Name, Fields: fields})
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// refuse counts work and returns the fault of what is not to be taken, nil else.
func (d *ownDelay) refuse(rank shed.Rank) *fault.Fault {
	n := d.offered[rank].Add(1)
	if !d.refusing.Load() {
		return nil
	}
	share := float64(d.shares[rank].Load()) / shareUnit
	if !shed.Refuse(n, share) {
		return nil
	}
	f := fault.New(fault.RouterBusy, "work waits for the router's own processor")
	f.RetryAfter = time.Duration(d.wait.Load())
	return f
}

// admit refuses a caller's request; it is what caller.Config wants.
func (d *ownDelay) admit(class request.Class) *fault.Fault { return d.refuse(rankOf(class, 1)) }

func rankOf(class request.Class, attempt int) shed.Rank {
	switch {
	case attempt > 1:
		return shed.Retry
	case class == request.Batch:
		return shed.Batch
	}
	return shed.Interactive
}

// state returns what status and metrics show; since is zero while nothing is refused.
func (d *ownDelay) state() (delay time.Duration, admitted float64, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay, d.controller.Admitted(), d.since
}
