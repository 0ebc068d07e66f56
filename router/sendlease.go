package router

import (
	"maps"
	"net/http"
	"time"

	"tarragongw/clock"
	"tarragongw/core/fault"
	"tarragongw/target"
)

// sendLease is the right of one attempt to send to its target: that of the term in which the
// attempt began.
type sendLease struct {
	r    *Router
	u    *upstream
	job  *work
	term uint64
}

// check asks the ownership gate whether the request may be sent. It is asked last right before
// the first byte.
func (l *sendLease) check() *fault.Fault {
	if l.r.outlived.Load() {
		return fault.New(fault.StaleRoute, errOutlived.Error())
	}
	gate, now, name := l.r.gate.Load(), l.r.clock.Now(), l.u.spec.Name
	switch {
	case gate.Term(name) != l.term:
	case l.job.unit.Service == "" && gate.Holds(now, name):
		return nil
	case l.job.unit.Service != "" && gate.MaySend(now, name, l.job.unit, l.job.token):
		return nil
	}
	return fault.New(fault.StaleRoute, "this router may not send to "+name)
}

// checkWrite asks the ownership gate again as bytes of the request go out. Once some have, an
// orderly move waits for the rest, and only the end of this router's right counts.
func (l *sendLease) checkWrite(started bool) *fault.Fault {
	if !started {
		return l.check()
	}
	if l.r.clock.Now() >= l.r.gate.Load().SendUntil(l.u.spec.Name, l.term, started) {
		return fault.New(fault.StaleRoute, "this router's right to send to "+l.u.spec.Name+" has lapsed")
	}
	return nil
}

// expiry returns until when bytes may go out, by clock.Boot.
func (l *sendLease) expiry(started bool) time.Duration {
	return clock.BootTime(l.r.clock, l.r.gate.Load().SendUntil(l.u.spec.Name, l.term, started))
}

// outgoing puts the order into the request, whose header belongs to this request
// alone. The context of the attempt goes beside it, which saves a copy. A body is
// written beside the attempt and may outlast it, so that a request with one gets a
// header of its own: the next attempt changes the shared one.
func (l *sendLease) outgoing(req *http.Request) *http.Request {
	job := l.job
	if req.Body != nil && req.Body != http.NoBody {
		shared := *req
		req = &shared
		req.Header = maps.Clone(req.Header)
		if job.flight.body != nil {
			req.Body = job.flight.body
		}
	}
	order := target.RequestHeaders{
		RequestID: job.meta.ID,
		Unit:      job.name,
		Token:     job.token,
		Term:      l.term,
	}
	if !job.meta.Deadline.IsZero() {
		order.TimeLeft = time.Until(job.meta.Deadline)
	}
	order.Set(req.Header)
	return req
}
