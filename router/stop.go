package router

import (
	"context"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/ownership"
	"tarragongw/duty"
	"tarragongw/eventlog"
)

// StopReport says how a stop went.
type StopReport struct {
	// Cut is the number of requests that were still in flight at the end and were cut off.
	Cut int
	// HandedOver says that no target was left to this router.
	HandedOver bool
}

const (
	// leaveLinger lets the last control messages go out.
	leaveLinger = 150 * time.Millisecond
	// handOverCheckEvery is how often a stop looks whether its duties are gone.
	handOverCheckEvery = 10 * time.Millisecond
)

// Stop ends the router gracefully: not ready first, then no new callers, work in
// flight to its end, duties handed over. When ctx ends, what is left is cut off
// and counted.
func (r *Router) Stop(ctx context.Context) StopReport {
	r.once.Do(func() { r.report = r.stop(ctx) })
	return r.report
}

func (r *Router) stop(ctx context.Context) StopReport {
	r.stopping.Store(true)
	r.journal.Record(eventlog.Event{Kind: eventlog.RouterStopping, Cause: "asked to stop", Router: r.self.Name})
	r.members.duty.Tell(membership.Leave{Leaving: true})
	duty.Sleep(ctx, r.opts.Settings.Drain.NotReady)
	var report StopReport
	report.Cut = r.caller.Shutdown(ctx)
	r.owner.duty.Tell(ownership.Stop{})
	report.HandedOver = r.awaitHandOver(ctx)
	report.Cut += r.awaitForwarded(ctx)
	r.members.duty.Tell(membership.Leave{})
	duty.Sleep(ctx, leaveLinger)
	r.end(ctx)
	return report
}

// awaitHandOver waits until other routers hold all duties of this one.
func (r *Router) awaitHandOver(ctx context.Context) bool {
	for r.duties() > 0 {
		if len(r.members.view.Load().Live(r.self.DataCentre)) <= 1 {
			// Nobody is left to take over; the next router to start finds the records.
			return false
		}
		if r.outlived.Load() {
			// It hands nothing over: the others take its duties without being asked.
			return false
		}
		if !duty.Sleep(ctx, handOverCheckEvery) {
			return false
		}
	}
	return true
}

// duties counts the targets whose grantor this router is.
func (r *Router) duties() int {
	s, _ := r.surveyor.now()
	return s.duties
}

// awaitForwarded waits for the work of other routers' requests and returns what
// was still in flight when ctx ended. This router's own callers are not counted: what
// Shutdown cut off may still be on its way out, and would be reported twice.
func (r *Router) awaitForwarded(ctx context.Context) int {
	for {
		var busy int
		for _, u := range r.upstreams.all() {
			busy += u.flights.countForwarded()
		}
		if busy == 0 || !duty.Sleep(ctx, handOverCheckEvery) {
			return busy
		}
	}
}

// end stops everything that still runs.
func (r *Router) end(ctx context.Context) {
	// What Shutdown could not finish in time, Close ends; both are the end anyway.
	_ = r.peers.Shutdown(ctx)
	_ = r.operatorServer.Close()
	r.cancel()
	r.awaitRunning()
	r.balance.duty.Stop()
	r.health.duty.Stop()
	r.config.duty.Stop()
	r.confirms.duty.Stop()
	r.owner.duty.Stop()
	r.records.duty.Stop()
	r.members.duty.Stop()
	r.system.Shutdown()
	_ = r.peers.Close()
	r.upstreams.close()
	_ = r.tel.Close()
}
