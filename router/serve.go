package router

import (
	"net/http"
	"time"

	"tarragongw/caller"
	"tarragongw/core/admission"
	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/core/routing"
	"tarragongw/peer"
	"tarragongw/reqctx"
	"tarragongw/target"
)

// work is one attempt as the grantor sees it.
type work struct {
	meta  *request.Meta
	unit  routing.Unit
	token uint64
	// weight is the caller's share relative to others.
	weight float64
	// bound is the limit of a forwarded request, which is lifted once its answer begins;
	// nil where the caller's side does that.
	bound *reqctx.Context
	// status is that of the target's answer, once there is one.
	status int
	// flight is the attempt while it is in flight.
	flight flight
	// name is the unit's, empty where there is none.
	name string
}

// serve takes the attempt through admission and the ownership gate to the target
// and streams the answer to w.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, u *upstream, job *work) *fault.Fault {
	release, f := u.gate.Acquire(req.Context(), admission.Item{
		Caller:   job.meta.Caller,
		Weight:   job.weight,
		Class:    job.meta.Class,
		Deadline: job.meta.Deadline,
	})
	if f != nil {
		if noRoom(f) {
			u.loads.refused(job.unit)
		}
		return f
	}
	outcome := admission.NotSent
	defer func() { release(outcome) }()
	u.follow(req, job)
	defer u.unfollow(job)
	began := time.Now()
	u.loads.begin(job)
	defer func() { u.loads.end(job, time.Since(began)) }()
	job.flight.forwarded = job.bound != nil
	u.flights.enter(&job.flight, job.unit)
	defer u.flights.leave(&job.flight)
	lease := sendLease{r: r, u: u, job: job, term: r.gate.Load().Term(u.spec.Name)}
	resp, f := u.pool.AttemptWithOptions(req.Context(), lease.outgoing(req), target.AttemptOptions{
		BeforeRequest: lease.check,
		BeforeWrite:   lease.checkWrite,
		LeaseExpiry:   lease.expiry,
		Aborter:       &job.flight.cut,
	})
	if f != nil {
		outcome = outcomeOf(f)
		if outcome == admission.Unknown && job.flight.body.heldUp(time.Since(began)) {
			outcome = admission.UnknownSlowCaller
		}
		u.direct.failed(f)
		return f
	}
	job.flight.body.answered()
	if job.bound != nil {
		job.bound.AnswerBegan()
	}
	job.status = resp.StatusCode
	u.direct.answered(resp.StatusCode, time.Since(began))
	if f := caller.CopyAnswer(w, resp); f != nil {
		outcome = admission.Unknown
		u.direct.failed(f)
		return f
	}
	outcome = admission.Finished
	return nil
}

// outcomeOf says what the end of an attempt means for the target's slot.
func outcomeOf(f *fault.Fault) admission.Outcome {
	switch {
	case f.Kind == fault.TargetRefused:
		return admission.Shed
	case f.Ran == fault.NotRun:
		return admission.NotSent
	case f.Kind == fault.TargetLost:
		return admission.Failed
	default:
		return admission.Unknown
	}
}

// ServeHTTP implements peer.Handler: it serves a request that another router
// forwarded, because this one is the grantor of the target.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	envelope, ok := peer.EnvelopeFrom(req.Context())
	if !ok {
		peer.WriteFault(w, fault.New(fault.BadRequest, "no envelope"))
		return
	}
	if passedOn(envelope) {
		r.answerPassedOn(w, req)
		return
	}
	f := r.own.refuse(rankOf(request.Class(envelope.Class), envelope.Attempt))
	if f == nil {
		f = r.serveForwarded(w, req, envelope)
	}
	if f == nil {
		return
	}
	if f.Ran == fault.RanFully || f.Kind == fault.CallerGone {
		// Part of the answer may be out; a clean end would pass for the whole of it.
		panic(http.ErrAbortHandler)
	}
	peer.WriteFault(w, f)
}

func (r *Router) serveForwarded(w http.ResponseWriter, req *http.Request, e *peer.Envelope) *fault.Fault {
	v := r.view.Load()
	if v == nil {
		return fault.New(fault.NotReady, "no configuration yet")
	}
	bound := peer.ContextFrom(req.Context())
	u := r.upstreams.hold(e.Target)
	if u == nil {
		return fault.New(fault.StaleRoute, "target "+e.Target+" is not configured here")
	}
	defer u.release()
	unit := v.compiled.UnitOf(e.Service, e.Key)
	name := unitName(unit)
	if name != e.Unit {
		return fault.New(fault.StaleRoute, "the key belongs to another unit here")
	}
	meta := &request.Meta{
		ID:         e.RequestID,
		Service:    e.Service,
		Key:        e.Key,
		Caller:     e.Caller,
		Class:      request.Class(e.Class),
		Repeatable: e.Repeatable,
	}
	if e.DeadlineMillis > 0 {
		left := time.Duration(e.DeadlineMillis) * time.Millisecond
		meta.Deadline = time.Now().Add(left)
		bound.SetAnswerDeadline(meta.Deadline, left)
	}
	return r.serve(w, req, u, &work{
		meta:   meta,
		unit:   unit,
		token:  e.Token,
		weight: v.compiled.Weight(e.Caller),
		bound:  bound,
		name:   name,
	})
}
