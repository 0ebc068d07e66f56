package router

import (
	"maps"
	"math"
	"net/http"
	"time"

	"tarragongw/caller"
	"tarragongw/clock"
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
	term  uint64
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
	resp, f := u.pool.AttemptWithOptions(req.Context(), r.outgoing(req, u, job), target.AttemptOptions{
		BeforeRequest: func() *fault.Fault { return r.maySend(u, job) },
		BeforeWrite:   func(begun bool) *fault.Fault { return r.stillSends(u, job, begun) },
		LeaseExpiry:   func(begun bool) time.Duration { return r.sendsUntil(u, begun) },
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

// maySend asks the ownership gate; it is asked last right before the first byte.
func (r *Router) maySend(u *upstream, job *work) *fault.Fault {
	gate := r.gate.Load()
	now := r.clock.Now()
	if r.outlived.Load() {
		return fault.New(fault.StaleRoute, errOutlived.Error())
	}
	if job.unit.Service == "" && gate.Holds(now, u.spec.Name) {
		return nil
	}
	if job.unit.Service != "" && gate.MaySend(now, u.spec.Name, job.unit, job.token) {
		return nil
	}
	return fault.New(fault.StaleRoute, "this router may not send to "+u.spec.Name)
}

// stillSends asks the ownership gate again as bytes of the request go out. Once some have,
// only the lapse of this router's right counts: an orderly move waits for what has begun.
func (r *Router) stillSends(u *upstream, job *work, begun bool) *fault.Fault {
	if !begun {
		return r.maySend(u, job)
	}
	if r.gate.Load().Expired(r.clock.Now(), u.spec.Name) {
		return fault.New(fault.StaleRoute, "this router's right to send to "+u.spec.Name+" has lapsed")
	}
	return nil
}

// sendsUntil returns until when bytes may go out, by clock.Boot. A target that was given up in
// order gets the rest of what has begun.
func (r *Router) sendsUntil(u *upstream, begun bool) time.Duration {
	until, held := r.gate.Load().Until(u.spec.Name)
	if !held && begun {
		return math.MaxInt64
	}
	return clock.BootTime(r.clock, until)
}

// outgoing puts the order into the request, whose header belongs to this request
// alone. The context of the attempt goes beside it, which saves a copy. A body is
// written beside the attempt and may outlast it, so that a request with one gets a
// header of its own: the next attempt changes the shared one.
func (r *Router) outgoing(req *http.Request, u *upstream, job *work) *http.Request {
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
		Term:      r.gate.Load().Term(u.spec.Name),
	}
	if !job.meta.Deadline.IsZero() {
		order.TimeLeft = time.Until(job.meta.Deadline)
	}
	order.Set(req.Header)
	return req
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
		term:   e.Term,
		weight: v.compiled.Weight(e.Caller),
		bound:  bound,
		name:   name,
	})
}
