package router

import (
	"cmp"
	"net/http"
	"time"

	"tarragongw/caller"
	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/core/request"
	"tarragongw/core/retry"
	"tarragongw/core/routing"
	"tarragongw/core/selector"
	"tarragongw/core/shed"
	"tarragongw/crashguard"
	"tarragongw/duty"
	"tarragongw/peer"
	"tarragongw/replay"
)

// maxReplayBytes bounds what is kept of a request body for a second attempt.
const maxReplayBytes = 64 << 10

// route is where one attempt goes.
type route struct {
	service string
	unit    routing.Unit
	owner   routing.Owner
	grantor routing.Grantor
}

// exchange is one caller's request while it is being served.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	meta *request.Meta
	body *replay.Body
	// attempt counts from one; began is when the first one did.
	attempt int
	began   time.Time
	// waits counts the attempts that found the routing table out of date, and
	// waitUntil is when that makes the refusal final.
	waits     int
	waitUntil time.Time
	last      route
	// status is that of the target's answer, once there is one.
	status int
	// guarded is the request as the guard against crashes sees it.
	guarded crashguard.Request
	// mayHaveRun is the fault of the last attempt after which the request may have run; nil if none.
	mayHaveRun *fault.Fault
}

// Forward implements caller.Forwarder. It is the only place where an attempt is
// ever made again.
func (r *Router) Forward(w http.ResponseWriter, req *http.Request, meta *request.Meta) *fault.Fault {
	if !r.opts.Unrecorded {
		inFlight := r.tel.InFlight(meta.Service)
		inFlight.Add(1)
		defer inFlight.Add(-1)
	}
	x := &exchange{w: w, r: req, meta: meta, body: replay.New(req, maxReplayBytes)}
	x.guarded = newGuardRequest(x)
	if f := x.awaitBody(); f != nil {
		return f
	}
	x.body.RewindInto(x.r)
	x.began = time.Now()
	for start := time.Duration(0); ; start = time.Since(x.began) {
		x.attempt++
		f := r.try(x)
		if f == nil {
			r.retrierOf(meta.Service).success()
			if x.status > 0 && x.status < http.StatusInternalServerError {
				r.quarantine.guard.Answered(&x.guarded)
			}
			return nil
		}
		if f.Kind == fault.Quarantined && x.mayHaveRun != nil {
			return x.mayHaveRun
		}
		x.failed(start, f)
		r.noteFailedAttempt(x, f)
		if !x.body.RewindInto(x.r) || !r.again(x, f) {
			return f
		}
		r.tel.RecordRetry(meta.Service, f.Kind.String())
	}
}

// failed keeps the attempt that began at start for whoever asks why the request was
// refused.
func (x *exchange) failed(start time.Duration, f *fault.Fault) {
	x.meta.AddAttempt(request.Attempt{
		Number: x.attempt,
		After:  start,
		Took:   time.Since(x.began) - start,
		Unit:   unitName(x.last.unit),
		Target: x.last.owner.Target,
		Router: x.last.grantor.Router,
		Fault:  f,
	})
}

// again decides on a further attempt after f and waits until it is due.
func (r *Router) again(x *exchange, f *fault.Fault) bool {
	if routeMayBeOld(f) {
		x.waits++
		return r.awaitRoute(x)
	}
	if !x.guarded.MayResend() {
		return false
	}
	decision := r.retrierOf(x.meta.Service).decide(retry.Attempt{
		Number:     x.attempt - x.waits,
		Repeatable: x.meta.Repeatable,
		Fault:      f,
		Deadline:   x.meta.Deadline,
	}, r.members.count())
	if !decision.Retry || r.own.refuse(shed.Retry) != nil {
		return false
	}
	return duty.Sleep(x.r.Context(), decision.After)
}

// routeMayBeOld reports refusals with proof that a newer routing table would mend.
func routeMayBeOld(f *fault.Fault) bool {
	if f.Ran != fault.NotRun {
		return false
	}
	switch f.Kind {
	case fault.StaleRoute, fault.OwnerUnreachable, fault.Moving, fault.NoOwner, fault.Stopping:
		return true
	}
	return false
}

// try makes one attempt.
func (r *Router) try(x *exchange) *fault.Fault {
	x.last = route{}
	if f := r.quarantine.guard.Begin(&x.guarded); f != nil {
		return f
	}
	v := r.view.Load()
	if v == nil {
		return fault.New(fault.NotReady, "no configuration yet")
	}
	subject := v.compiled.Caller(x.meta.Caller)
	decision := v.compiled.Route(x.meta.Service, x.meta.Key, &subject)
	switch decision.Action {
	case selector.Refuse:
		return fault.New(fault.SelectorRefused, "selector "+decision.Selector)
	case selector.KeyMissing:
		return fault.New(fault.KeyMissing, "service "+x.meta.Service)
	case selector.NoService:
		return fault.New(fault.NoRoute, "service "+x.meta.Service)
	}
	if decision.Service.Division == model.ByKey {
		return r.toOwner(v, x, &decision)
	}
	return r.toAny(v, x, &decision)
}

// toOwner sends the attempt to the owner of the key.
func (r *Router) toOwner(v *view, x *exchange, d *selector.Decision) *fault.Fault {
	owner, grantor := r.table.Load().Lookup(d.Unit)
	x.last = route{service: d.Service.Name, unit: d.Unit, owner: owner, grantor: grantor}
	switch {
	case owner.Target == "":
		return fault.New(fault.NoOwner, "unit "+d.Unit.String())
	case owner.Releasing:
		return fault.New(fault.Moving, "unit "+d.Unit.String())
	case grantor.Router == "":
		return fault.New(fault.OwnerUnreachable, "target "+owner.Target+" has no grantor yet")
	}
	return r.send(v, x)
}

// toAny sends the attempt to the better of two targets taken at random.
func (r *Router) toAny(v *view, x *exchange, d *selector.Decision) *fault.Fault {
	name, ok := r.choose(v, d.Targets, x)
	if !ok {
		return fault.New(fault.NoOwner, "no target of service "+d.Service.Name+" takes work")
	}
	x.last = route{
		service: d.Service.Name,
		owner:   routing.Owner{Target: name},
		grantor: r.table.Load().Grantor(name),
	}
	if x.last.grantor.Router == "" {
		return fault.New(fault.OwnerUnreachable, "target "+name+" has no grantor yet")
	}
	return r.send(v, x)
}

// send hands the attempt to the grantor of the chosen target.
func (r *Router) send(v *view, x *exchange) *fault.Fault {
	name := x.last.owner.Target
	spec := v.compiled.Target(name)
	if spec == nil {
		return fault.New(fault.StaleRoute, "target "+name+" is not configured")
	}
	if x.last.unit.Service != "" && !r.isGrantor(x) {
		return r.sendFar(x, spec.DataCentre)
	}
	u := r.upstreams.hold(name)
	if u == nil {
		return fault.New(fault.StaleRoute, "target "+name+" is configured no more")
	}
	defer u.release()
	if x.last.unit.Service == "" {
		return r.sendCounted(v, x, u)
	}
	return r.sendTo(v, x, u)
}

// isGrantor reports whether this router itself is the grantor of the chosen target.
func (r *Router) isGrantor(x *exchange) bool {
	return x.last.grantor.Router == r.self.Name && x.last.grantor.Incarnation == r.self.Incarnation
}

// sendCounted is sendTo for a service whose targets this router chooses between.
func (r *Router) sendCounted(v *view, x *exchange, u *upstream) *fault.Fault {
	began := time.Now()
	meter := u.meter(x.meta.Class)
	meter.begin()
	f := r.sendTo(v, x, u)
	took := time.Since(began)
	if f != nil {
		meter.end(0)
		u.choice.failedFar(f)
		return f
	}
	if x.status >= http.StatusInternalServerError {
		took = 0
	}
	meter.end(took)
	u.choice.answered(x.status, took)
	return nil
}

func (r *Router) sendTo(v *view, x *exchange, u *upstream) *fault.Fault {
	if !r.isGrantor(x) {
		return r.sendFar(x, u.spec.DataCentre)
	}
	job := x.work(v)
	f := r.serve(x.w, x.r, u, job)
	x.status = job.status
	return f
}

// sendFar hands the attempt to the router that is the grantor of a target; this one keeps
// no state for it. The grantor is in the target's data centre or in that which took the
// target over.
func (r *Router) sendFar(x *exchange, targetDC string) *fault.Fault {
	dc := cmp.Or(x.last.grantor.DataCentre, targetDC)
	if f := r.isolation.refusal(dc, x.last.grantor.Router); f != nil {
		return f
	}
	f := r.toPeer(x)
	if f != nil && (f.Kind == fault.OwnerUnreachable || f.Kind == fault.PeerLost) {
		r.isolation.suspect(dc)
	}
	return f
}

// work describes the attempt to the grantor's side.
func (x *exchange) work(v *view) *work {
	return &work{
		meta:   x.meta,
		unit:   x.last.unit,
		token:  x.last.owner.Token,
		weight: v.compiled.Weight(x.meta.Caller),
		name:   unitName(x.last.unit),
	}
}

// toPeer forwards the attempt to the router that is the grantor.
func (r *Router) toPeer(x *exchange) *fault.Fault {
	envelope := &peer.Envelope{
		RequestID:  x.meta.ID,
		Service:    x.last.service,
		Key:        x.meta.Key,
		Caller:     x.meta.Caller,
		Class:      uint8(x.meta.Class),
		Repeatable: x.meta.Repeatable,
		Unit:       unitName(x.last.unit),
		Target:     x.last.owner.Target,
		Token:      x.last.owner.Token,
		Term:       x.last.grantor.Term,
		Attempt:    x.attempt,
	}
	if !x.meta.Deadline.IsZero() {
		envelope.DeadlineMillis = max(1, time.Until(x.meta.Deadline).Milliseconds())
	}
	resp, f := r.peers.RoundTrip(x.r.Context(), x.last.grantor.Router, x.r, envelope)
	if f != nil {
		return f
	}
	x.status = resp.StatusCode
	return caller.CopyAnswer(x.w, resp)
}

func unitName(unit routing.Unit) string {
	if unit.Service == "" {
		return ""
	}
	return unit.String()
}
