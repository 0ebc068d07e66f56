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

// Handler is the http.Handler for callers. It takes the request's header map as
// its own and changes it in place, so nothing that wraps it may read the header
// after the call.
type Handler struct {
	cfg       Config
	forwarder Forwarder
	observer  Observer
	rules     atomic.Pointer[ruleSet]
	inFlight  atomic.Int64
	// stopping says that requests which come from now on are refused.
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

// SetModel puts a model in force for requests that arrive from now on. The model
// must not be changed afterwards.
func (h *Handler) SetModel(m *model.Model) { h.rules.Store(compile(m)) }

// closing reports whether callers' connections are to end after their answers.
func (h *Handler) closing() bool { return h.stopping.Load() || h.cfg.closing() }

// InFlight returns the number of requests being worked on.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		handler: h, w: w, r: r, ctl: *http.NewResponseController(w), declared: -1, began: time.Now(),
	}
	if e := begunEarly(r); e != nil && e.deliver(x) {
		return
	}
	x.nth = countTurn(r)
	x.expects = len(r.Header["Expect"]) > 0
	x.allowDuplex()
	inFlight := h.inFlight.Add(1)
	f := x.settle(x.serve(inFlight))
	if x.body != nil {
		x.body.watch.close()
	}
	aborted := x.answer(f)
	x.release()
	h.observe(x, f, aborted)
	x.writes.close()
	x.armEnd()
	h.inFlight.Add(-1)
	if aborted {
		x.flushPart()
		abort(r)
	}
	x.drain()
}

// serve extracts and forwards.
func (x *exchange) serve(inFlight int64) *fault.Fault {
	h := x.handler
	x.meta.ID = requestID(x.r.Header, h.cfg.RequestIDHeader)
	x.idValue[0] = x.meta.ID
	x.w.Header()[h.cfg.RequestIDHeader] = x.idValue[:]
	if inFlight > int64(h.cfg.MaxRequests) {
		return fault.New(fault.RouterBusy, "")
	}
	if h.stopping.Load() {
		return fault.New(fault.Stopping, "")
	}
	if wantsTunnel(x.r) {
		return fault.New(fault.Unsupported, "")
	}
	if h.cfg.Accepts != nil {
		if f := x.distrusted(); f != nil {
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

// prepare finds out what the request is and returns the request for the
// forwarder.
func (x *exchange) prepare(rules *ruleSet) (*http.Request, *fault.Fault) {
	r := x.r
	if hasDotSegments(r.URL) {
		return nil, errDots
	}
	dropListed(r.Header)
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
	x.meta.CallerLabels = rules.callers[x.meta.Caller]
	left, f := src.timeLeft(&rule.deadline, rule.service.Timeout)
	if f != nil {
		return nil, f
	}
	if before := x.handler.cfg.AnswerBefore; left > 2*before {
		left -= before
	}
	if left > 0 {
		x.meta.Deadline = x.began.Add(left)
	}
	x.bound()
	if left > 0 {
		x.ctx.Limit(x.meta.Deadline, left)
	}
	out := r.WithContext(x.ctx)
	// Whether the caller ends its own connection is nothing to the target's: passed on, it
	// cost a new connection to a target for each second request of callers without kept ones.
	out.Close = false
	rule.strip(out, src.rest)
	x.prepareHeader(out)
	x.prepareBody(out)
	return out, nil
}

// bound gives the request the context that ends with its caller's connection.
func (x *exchange) bound() {
	x.conn = watchedConn(x.r)
	if x.conn == nil {
		x.ctx = reqctx.New(x.r.Context())
		return
	}
	x.ctx = reqctx.NewDetached(x.r.Context())
	x.conn.attach(x.ctx)
}

// release ends what bound began.
func (x *exchange) release() {
	if x.conn != nil {
		x.conn.detach()
	}
	if x.ctx != nil {
		x.ctx.End()
	}
}

// strip removes the prefix where the service wants it.
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
	dropForeign(header)
	cfg := &x.handler.cfg
	header[cfg.RequestIDHeader] = x.idValue[:]
	if cfg.Untraced {
		return
	}
	if len(header[headerTraceparent]) == 0 {
		x.traceValue[0] = newTraceparent()
		header[headerTraceparent] = x.traceValue[:]
	}
	appendForwarded(header, out.RemoteAddr, &x.forwardedValue)
}

// allowDuplex lets an HTTP/1.1 answer begin before the request's body ended.
// Without it the server reads up to 256 KiB of the body before it sends any
// answer, and a caller that trickles its upload would have its answer, also a
// refusal, held back.
func (x *exchange) allowDuplex() {
	if x.r.ProtoMajor < 2 && x.r.ContentLength != 0 {
		_ = x.ctl.EnableFullDuplex()
	}
}

// prepareBody puts the progress watch around the body.
func (x *exchange) prepareBody(out *http.Request) {
	if out.Body == nil || out.Body == http.NoBody {
		return
	}
	x.body = &requestBody{
		body: out.Body, watch: watch{cut: x.ctl.SetReadDeadline}, window: x.handler.cfg.BodyWindow, least: x.handler.cfg.BodyWindowBytes,
	}
	out.Body = x.body
	x.prepareTrailer(out)
}

// prepareTrailer gives the forwarder a trailer of its own with the announced
// names. The server's own map takes in whatever the caller sends, which would
// bring the router's own headers in by the back door.
func (x *exchange) prepareTrailer(out *http.Request) {
	if len(x.r.Trailer) == 0 {
		return
	}
	out.Trailer = make(http.Header, len(x.r.Trailer))
	for name := range x.r.Trailer {
		if !isHopByHop(name) && !isOwn(name) {
			out.Trailer[name] = nil
		}
	}
	x.body.from, x.body.trailer = x.r, out.Trailer
}

// forward calls the forwarder; a panic in it becomes a fault, so that one
// request's defect ends neither the process nor its answer cleanly.
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
	return x.handler.forwarder.Forward(x, r, &x.meta)
}

// answer sends the fault's answer and reports whether the caller's connection
// must be aborted instead, because an answer had begun or the caller is gone.
func (x *exchange) answer(f *fault.Fault) (aborted bool) {
	if f == nil {
		return false
	}
	if x.status != 0 {
		return true
	}
	if x.refuse(f) {
		return false
	}
	if f.Kind == fault.CallerGone {
		x.status = f.Kind.Row().Status
		return true
	}
	x.direct = true
	x.forgetHeader()
	x.closeAfterUnread()
	if x.distrusts {
		x.w.Header().Set("Connection", "close")
	}
	writeFaultAnswer(x, x.r.Method, x.meta.ID, f, &x.handler.cfg)
	return x.writeErr != nil
}

// forgetHeader removes what the forwarder had set before it failed.
func (x *exchange) forgetHeader() {
	header := x.w.Header()
	for name := range header {
		delete(header, name)
	}
	header[x.handler.cfg.RequestIDHeader] = x.idValue[:]
}

func (h *Handler) observe(x *exchange, f *fault.Fault, aborted bool) {
	x.outcome = Outcome{
		Meta: &x.meta, Method: x.r.Method, Status: x.status, Fault: f, Aborted: aborted,
		Began: x.began, Duration: time.Since(x.began), Nth: x.nth, BytesOut: x.written,
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
