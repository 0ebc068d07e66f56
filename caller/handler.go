package caller

import (
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/reqctx"
)

// Handler is the http.Handler for callers. It modifies the request's header map in place, so a
// wrapping handler must not read the header after the call.
type Handler struct {
	cfg       Config
	forwarder Forwarder
	observer  Observer
	rules     atomic.Pointer[ruleSet]
	inFlight  atomic.Int64
	// heldBytes is the length of all parts of answers that are held back.
	heldBytes atomic.Int64
	// stopping means that new requests are refused.
	stopping atomic.Bool
}

// NewHandler returns a handler that answers NotReady until SetModel is called.
// A nil observer is allowed.
func NewHandler(cfg Config, forwarder Forwarder, observer Observer) *Handler {
	if observer == nil {
		observer = noObserver{}
	}
	return &Handler{cfg: cfg.withDefaults(), forwarder: forwarder, observer: observer}
}

// SetModel sets the model for requests that arrive from now on. The model must not be changed
// afterwards.
func (h *Handler) SetModel(m *model.Model) { h.rules.Store(compile(m, h.cfg.StrictPrefixes)) }

// closing reports whether callers' connections are to be closed after their current answers.
func (h *Handler) closing() bool { return h.stopping.Load() || h.cfg.closing() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	x := &exchange{
		handler: h, w: w, r: r, ctl: *http.NewResponseController(w), declared: -1, began: arrivalOf(w, r, now),
	}
	x.turnWait = now.Sub(x.began)
	if a := takePipelined(r); a != nil && a.deliver(x) {
		return
	}
	x.requestNumber = countRequest(r)
	x.expectsContinue = len(r.Header["Expect"]) > 0
	x.allowDuplex()
	inFlight := h.inFlight.Add(1)
	f := x.reconcile(x.serve(inFlight))
	if x.body != nil {
		x.body.timeout.close()
	}
	aborted := x.answer(f)
	x.releaseContext()
	h.observe(x, f, aborted)
	x.writeTimeout.close()
	x.boundFinalFlush()
	h.inFlight.Add(-1)
	x.reportLate(&x.outcome)
	if aborted {
		x.flushPartial()
		abort(r)
	}
	x.drain()
}

// serve checks whether the request can be accepted, extracts its fields and forwards it.
func (x *exchange) serve(inFlight int64) *fault.Fault {
	h := x.handler
	x.meta.Arrived = x.began
	if f := x.setRequestID(); f != nil {
		return f
	}
	if inFlight > int64(h.cfg.MaxRequests) {
		return fault.New(fault.RouterBusy, "")
	}
	if h.stopping.Load() {
		return fault.New(fault.Stopping, "")
	}
	if h.cfg.BeforeRouting != nil {
		h.cfg.BeforeRouting(x.r.Context())
	}
	if wantsTunnel(x.r) {
		return fault.New(fault.Unsupported, "")
	}
	if h.cfg.Accepts != nil {
		if f := x.refuseRejectedCertificate(); f != nil {
			return f
		}
	}
	rules := h.rules.Load()
	if rules == nil {
		return fault.New(fault.NotReady, "")
	}
	r, f := x.prepare(rules)
	if f != nil {
		return f
	}
	return x.forward(r)
}

// prepare extracts the fields of the request, checks admission, and returns the request to
// pass to the forwarder.
func (x *exchange) prepare(rules *ruleSet) (*http.Request, *fault.Fault) {
	r := x.r
	if hasDotSegments(r.URL) {
		return nil, errDotSegments
	}
	dropConnectionHeaders(r.Header)
	rule, src := rules.match(r)
	if rule == nil {
		return nil, errNoRoute
	}
	if f := rule.identify(&src, r.Method, x.handler.cfg.MaxKeyBytes, &x.meta); f != nil {
		return nil, f
	}
	if admit := x.handler.cfg.Admit; admit != nil {
		if f := admit(x.meta.Class); f != nil {
			return nil, f
		}
	}
	x.meta.Model = rules.model
	x.meta.CallerLabels = rules.callers[x.meta.Caller]
	left, f := src.timeLeft(&rule.deadline, rule.service.Timeout)
	if f != nil {
		return nil, f
	}
	x.limit = left
	if margin := x.handler.cfg.DeadlineMargin; left > 2*margin {
		left -= margin
	}
	if left > 0 {
		x.meta.Deadline = x.began.Add(left)
		if left = time.Until(x.meta.Deadline); left <= 0 {
			return nil, errTurnTooLate
		}
	}
	x.attachContext()
	if a, pipelined := x.w.(*pipelinedAnswer); pipelined {
		a.setDeadline(x.meta.Deadline)
	}
	if left > 0 {
		if x.handler.cfg.LimitAnswers {
			x.ctx.LimitAnswer(x.handler.cfg.AnswerGrace)
		}
		x.ctx.SetAnswerDeadline(x.meta.Deadline, left)
	}
	out := r.WithContext(x.ctx)
	// Whether the caller closes its own connection must not reach the target: forwarded, it
	// cost a new connection to a target for every second request of callers that do not keep
	// their connections open.
	out.Close = false
	rule.strip(out, src.rest)
	x.prepareHeader(out)
	x.prepareBody(out)
	return out, nil
}

// attachContext creates the context of the request, which ends when the connection of the
// caller does.
func (x *exchange) attachContext() {
	x.conn = watchedConn(x.r)
	if x.conn == nil {
		x.ctx = reqctx.New(x.r.Context())
		return
	}
	x.ctx = reqctx.NewDetached(x.r.Context())
	x.conn.attach(x.ctx)
}

// releaseContext undoes attachContext.
func (x *exchange) releaseContext() {
	if x.conn != nil {
		x.conn.detach()
	}
	if x.ctx != nil {
		x.ctx.End()
	}
}

// strip removes the path prefix of the rule if the service asks for it.
func (r *rule) strip(out *http.Request, rest string) {
	if !r.service.StripPrefix || r.prefix == "" {
		return
	}
	u := *out.URL
	u.Path = orRoot(u.Path[len(r.prefix):])
	if u.RawPath != "" {
		u.RawPath = orRoot(rest)
	}
	out.URL = &u
}

func orRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

func (x *exchange) prepareHeader(out *http.Request) {
	header := out.Header
	dropUnforwarded(header)
	cfg := &x.handler.cfg
	header[cfg.RequestIDHeader] = x.idValue[:]
	if cfg.OmitAddedHeaders {
		return
	}
	if len(header[headerTraceparent]) == 0 {
		x.traceValue[0] = newTraceparent()
		header[headerTraceparent] = x.traceValue[:]
	}
	appendForwarded(header, out.RemoteAddr, &x.forwardedValue)
}

// allowDuplex lets an HTTP/1.1 answer begin before the end of the request body. Without it,
// the server reads up to 256 KiB of the body before it sends any answer, and a caller that
// uploads slowly would get its answer late, even a refusal.
func (x *exchange) allowDuplex() {
	if x.r.ProtoMajor < 2 && x.r.ContentLength != 0 {
		_ = x.ctl.EnableFullDuplex()
	}
}

// prepareBody wraps the body in the progress timeout.
func (x *exchange) prepareBody(out *http.Request) {
	if out.Body == nil || out.Body == http.NoBody {
		return
	}
	x.body = &requestBody{
		body: out.Body, timeout: ioTimeout{setDeadline: x.ctl.SetReadDeadline}, window: x.handler.cfg.BodyWindow, minBytes: x.handler.cfg.BodyWindowBytes,
	}
	out.Body = x.body
	x.prepareTrailer(out)
}

// prepareTrailer gives the forwarded request a trailer map of its own with the announced
// names. The server's map accepts any trailer that the caller sends, which would let callers
// set the router's own headers.
func (x *exchange) prepareTrailer(out *http.Request) {
	if len(x.r.Trailer) == 0 {
		return
	}
	out.Trailer = make(http.Header, len(x.r.Trailer))
	for name := range x.r.Trailer {
		if !isHopByHop(name) && !isRouterHeader(name) {
			out.Trailer[name] = nil
		}
	}
	x.body.serverRequest, x.body.trailer = x.r, out.Trailer
}

// forward calls the forwarder and turns a panic in it into a fault, so that a defect in one
// request neither ends the process nor makes a truncated answer look complete.
func (x *exchange) forward(r *http.Request) (f *fault.Fault) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		f = fault.New(fault.Internal, "")
		if cause != http.ErrAbortHandler {
			x.handler.cfg.Logger.Error("forwarder panicked",
				"request", x.meta.ID, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	if !x.handler.cfg.AwaitPlacement {
		x.Placed()
	}
	return x.handler.forwarder.Forward(x, r, &x.meta)
}

// Placed implements Placer.
func (x *exchange) Placed() {
	if c := connOf(x.r); c != nil && c.pipeline != nil {
		c.pipeline.currentPlaced()
	}
}

// answer writes the answer for a fault. It reports whether the caller's connection must be
// aborted instead, because an answer had already begun or the caller is gone.
func (x *exchange) answer(f *fault.Fault) (aborted bool) {
	if f == nil {
		return false
	}
	if x.status != 0 {
		return true
	}
	if x.deferRefusal(f) {
		return false
	}
	if f.Kind == fault.CallerGone {
		x.status = f.Kind.Row().Status
		return true
	}
	x.direct = true
	x.resetHeader()
	x.closeAfterUnread()
	if x.certificateRejected {
		x.w.Header().Set("Connection", "close")
	}
	writeFaultAnswer(x, x.r.Method, x.meta.ID, f, &x.handler.cfg)
	return x.writeErr != nil
}

// resetHeader removes the headers that the forwarder set before it failed.
func (x *exchange) resetHeader() {
	header := x.w.Header()
	for name := range header {
		delete(header, name)
	}
	header[x.handler.cfg.RequestIDHeader] = x.idValue[:]
}

func (h *Handler) observe(x *exchange, f *fault.Fault, aborted bool) {
	x.outcome = Outcome{
		Meta: &x.meta, Method: x.r.Method, Status: x.status, Fault: f, Aborted: aborted,
		Began: x.began, Duration: time.Since(x.began), RequestNumber: x.requestNumber, BytesOut: x.written,
		TurnWait: x.turnWait, Limit: x.limit,
	}
	if a, pipelined := x.w.(*pipelinedAnswer); pipelined {
		a.outcome = x.outcome
	}
	o := &x.outcome
	if f == nil || f.Ran == fault.RanFully {
		o.FirstByte = x.firstByte
	}
	if x.body != nil {
		o.BytesIn, _, _, _ = x.body.state()
	}
	h.observer.Observe(o)
}
