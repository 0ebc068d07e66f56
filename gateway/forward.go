package gateway

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragongw/caller"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
	"tarragongw/core/request"
	"tarragongw/core/retry"
	"tarragongw/core/routes"
	"tarragongw/crashguard"
	"tarragongw/replay"
	"tarragongw/target"
)

const (
	// maxSends bounds how often one request is sent, including to targets that refuse it.
	maxSends = 4
	// newerTableTimeout is how long a request that was sent to the wrong target waits for a newer
	// key table, which reaches all routers within a few milliseconds.
	newerTableTimeout = 150 * time.Millisecond
	// maxKeptBytes bounds how much of a body is kept for sending it again: the size of a large photo.
	maxKeptBytes = 512 << 10
	// headerOverhead is the approximate size of a request's and its answer's header together, in bytes.
	headerOverhead = 600
)

// exchange is one caller's request while it is being served.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	meta    *request.Meta
	route   *route
	service *service
	key     *keyspace.Key
	body    *replay.Body
	// began is when the request arrived.
	began time.Time
	// age is how long the caller has already waited in its earlier attempts.
	age time.Duration
	// sends counts how often the request was sent, sent remembers over which connections, and targets has the targets it was
	// sent to. avoid is the last of them.
	sends   int
	sent    target.Sends
	targets map[string]bool
	avoid   string
	// table is the key table by which the request was last placed.
	table *keyspace.Table
	// guarded is the request as the guard against crashes sees it.
	guarded crashguard.Request
	// aborters are those of the sends that may be repeated, one each.
	aborters [maxSends]target.Aborter
	// permitAt is when the request got a permit for the target at which it was last placed; zero if it needed none.
	permitAt time.Time
	// admitted is set once the request was placed, so that the limit of its key does not apply again.
	admitted bool
	// lapses counts the attempts that were not sent because the right to send had lapsed.
	lapses int
	// mayHaveRun is the fault of the last send after which the request may have run; nil if none.
	mayHaveRun *fault.Fault
}

// Forward implements caller.Forwarder. This is the only place from which a request is sent more than
// once.
func (g *Gateway) Forward(w http.ResponseWriter, r *http.Request, meta *request.Meta) *fault.Fault {
	x, f := g.open(w, r, meta)
	if f != nil {
		return f
	}
	x.body.RewindInto(x.r)
	for {
		f := x.attempt()
		if f == nil {
			return nil
		}
		if f.Ran == fault.NotRun && x.mayHaveRun != nil {
			return x.mayHaveRun
		}
		if !x.body.RewindInto(x.r) || !x.mayRepeat(f) {
			return callerFault(f)
		}
	}
}

// open finds the route and the service of the request.
func (g *Gateway) open(w http.ResponseWriter, r *http.Request, meta *request.Meta) (*exchange, *fault.Fault) {
	v := g.viewOf(meta.Model)
	if v == nil {
		return nil, fault.New(fault.NotReady, "no configuration yet, or it has changed meanwhile")
	}
	matched := v.routes[meta.Service]
	if matched == nil {
		return nil, fault.New(fault.NoRoute, "")
	}
	if limit := v.config.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "the body is longer than the configuration allows")
	}
	isNew := meta.Part == ""
	if !matched.choosePart(meta) {
		return nil, fault.New(fault.NoOwner, "the route has no service with a weight")
	}
	s := g.service(meta.Part)
	if s == nil {
		return nil, fault.New(fault.NoOwner, "service "+meta.Part+" is not configured")
	}
	x := &exchange{
		g: g, w: w, r: r, meta: meta, route: matched, service: s, body: replay.New(r, maxKeptBytes), began: cmp.Or(meta.Arrived, time.Now()), targets: map[string]bool{},
	}
	x.age = g.callerAges.age(matched.Name, r.Header.Get(g.opts.Adapter.Headers.Deadline))
	if s.byKey {
		key, f := keyOf(r.Header, g.opts.Adapter.Headers.Key)
		if f != nil {
			return nil, f
		}
		x.key = key
	}
	if isNew {
		x.count()
	}
	x.guarded = g.newGuardRequest(x)
	keepRequestURI(r)
	return x, nil
}

// count counts the request for its service, and for its key's load.
func (x *exchange) count() {
	x.service.countRequest()
	if x.key != nil {
		x.service.keyLoad.add(*x.key)
	}
}

// keepRequestURI makes net/http send the request's path and query as the caller wrote them. Parsing
// and encoding them again could turn an unusual escape into another path.
func keepRequestURI(r *http.Request) {
	if strings.HasPrefix(r.RequestURI, "/") {
		u := *r.URL
		u.Opaque, u.RawQuery, u.ForceQuery = r.RequestURI, "", false
		r.URL = &u
	}
	if _, named := r.Header["User-Agent"]; !named {
		r.Header["User-Agent"] = nil // otherwise net/http would set its own
	}
}

// attempt places the request and sends it once.
func (x *exchange) attempt() *fault.Fault {
	if f := x.g.guard.Check(&x.guarded); f != nil {
		return f
	}
	if f := x.g.stopEnd.check(x.route.Name, x.meta.Deadline); f != nil {
		x.logRefused(f, 0)
		return f
	}
	x.g.sends.await(x.r.Context())
	x.table, _ = x.service.currentTable()
	began := time.Now()
	d, f := x.placeWithPermit()
	if f != nil {
		x.logRefused(f, time.Since(began))
		return f
	}
	x.g.logPlaced(x, &d, time.Since(began))
	return x.send(&d)
}

// logRefused logs that the request got no place.
func (x *exchange) logRefused(f *fault.Fault, waited time.Duration) {
	x.g.log.Info("refused", "id", x.meta.ID, "service", x.service.name, "config", x.route.version, "waited", waited,
		"kind", f.Kind, "detail", f.Detail, "retry_after", f.Wait())
}

// dispatchRequest describes the request for placement.
func (x *exchange) dispatchRequest() dispatch.Request {
	q := dispatch.Request{
		Key: x.key, Priority: x.route.Priority, Deadline: x.meta.Deadline, Avoid: x.avoid, Admitted: x.sends > 0 || x.admitted,
		Bytes: x.g.sizes.expect(x.route.Name, x.r) + headerOverhead,
	}
	if x.route.Objective > 0 {
		q.Due = x.began.Add(x.route.Objective - x.age)
	}
	return q
}

// send sends the request to the target at which it was placed, and copies the answer to the caller.
func (x *exchange) send(d *dispatch.Decision) *fault.Fault {
	began := time.Now()
	result := dispatch.Failed
	defer func() { x.service.done(d.Target.ID, result, time.Since(began), d.ServiceMultiple) }()
	x.sends++
	again := x.targets[d.Target.ID]
	x.targets[d.Target.ID] = true
	x.avoid = d.Target.ID
	resp, f := x.deliver(d)
	rest, resting := x.g.rests.left(d.Target.Holder())
	if f != nil {
		if result = resultOf(f); resting && f.Kind == fault.TargetRefused {
			result, f.RetryAfter = dispatch.Rested, rest
		}
		x.recordFailure(began, d, f)
		x.countLapse(f, d, again)
		return f
	}
	if resting && resp.StatusCode == http.StatusServiceUnavailable {
		result = dispatch.Rested
	} else if d.Resumes {
		x.service.answerBegun(d.Target.ID)
	}
	if failed := resp.StatusCode >= http.StatusInternalServerError; failed && x.mayReplaceAnswer() {
		resp.Body.Close()
		f := fault.New(fault.TargetLost, "the target answered "+strconv.Itoa(resp.StatusCode))
		x.recordFailure(began, d, f)
		return f
	} else if !failed {
		result = dispatch.Answered
	}
	x.g.sizes.record(x.route.Name, x.r, resp)
	f = caller.CopyAnswer(x.w, resp)
	if f != nil {
		result = resultOf(f)
		x.recordFailure(began, d, f)
	} else if result == dispatch.Answered {
		x.g.guard.Answered(&x.guarded)
		x.g.stopEnd.record(x.route.Name, time.Since(began))
	}
	return f
}

// countLapse takes back what was counted for an attempt if the right to send lapsed before it began. again is set if
// the request was sent to the target before.
func (x *exchange) countLapse(f *fault.Fault, d *dispatch.Decision, again bool) {
	if !isLapse(f) {
		return
	}
	x.lapses++
	if until, resting := x.g.rests.until(d.Target.Holder()); resting {
		x.service.rest(d.Target.Holder(), until) // the service may have lost it with the target's entry
	}
	if errors.Is(f, errMayHaveLeft) || errors.Is(f, errNoPermit) || errors.Is(f, errResting) {
		x.sends--
		if !again {
			delete(x.targets, d.Target.ID)
		}
	}
}

// mayReplaceAnswer reports whether an answer with a server error may be replaced by another target's
// answer. If so, it takes a retry from the budget, and the request is certainly sent again. For a
// service with keys there is no other target.
func (x *exchange) mayReplaceAnswer() bool {
	return x.route.Repeat == routes.Idempotent && !x.service.byKey && x.mayResend() && x.takeRetry()
}

// mayResend reports whether the limits on the request's sends and targets allow another send.
func (x *exchange) mayResend() bool {
	return x.sends < maxSends && x.guarded.MayResend() && (len(x.targets) < x.route.MaxTargets || x.service.byKey) && x.r.Context().Err() == nil
}

// beforeRequest is called right before the request is written. It returns a fault if the request may not be sent now.
func (x *exchange) beforeRequest(d *dispatch.Decision) *fault.Fault {
	if f := x.g.stopEnd.check(x.route.Name, x.meta.Deadline); f != nil {
		return f
	}
	if f := x.g.sends.check(&d.Target); f != nil {
		return f
	}
	if f := x.g.rests.check(&d.Target); f != nil {
		return f
	}
	if f := x.g.statedLimits.check(&d.Target, x.permitAt); f != nil {
		return f
	}
	return x.setHeaders(d)
}

// setHeaders sets the headers that name the target and the time left. It is called right before the
// request is written, because waiting for a connection takes some of that time.
func (x *exchange) setHeaders(d *dispatch.Decision) *fault.Fault {
	names := &x.g.opts.Adapter.Headers
	h := x.r.Header
	h[names.Expect] = []string{d.Target.ID}
	if x.meta.Deadline.IsZero() {
		return x.g.guard.Begin(&x.guarded)
	}
	left := time.Until(x.meta.Deadline).Milliseconds()
	if left <= 0 {
		f := fault.New(fault.DeadlineUnmeetable, "the time was over before the request was sent")
		return f
	}
	h[names.Deadline] = []string{strconv.FormatInt(left, 10)}
	return x.g.guard.Begin(&x.guarded)
}

func resultOf(f *fault.Fault) dispatch.Result {
	switch {
	case errors.Is(f, errPathLost):
		return dispatch.Abandoned
	case f.Kind == fault.CallerGone, f.Kind == fault.DeadlineUnmeetable, f.Kind == fault.Quarantined, f.Kind == fault.Stopping:
		return dispatch.Abandoned
	case f.Kind == fault.DeadlineExceeded:
		return dispatch.TimedOut
	case f.Kind == fault.TargetUnreachable:
		return dispatch.Unreachable
	case f.Kind == fault.StaleRoute:
		return dispatch.Misplaced
	case f.Kind == fault.TargetRefused:
		return dispatch.Shed
	default:
		return dispatch.Failed
	}
}

// recordFailure records and logs a failed attempt.
func (x *exchange) recordFailure(began time.Time, d *dispatch.Decision, f *fault.Fault) {
	a := request.Attempt{
		Number: x.sends, After: began.Sub(x.began), Took: time.Since(began), Target: d.Target.ID, Fault: f,
	}
	x.meta.AddAttempt(a)
	x.g.countBound(f)
	if f.Ran != fault.NotRun {
		x.mayHaveRun = f
	}
	fingerprint := ""
	if !isReplacedAnswer(f) && !x.g.paths.explains(d.Target.ID, f) {
		fingerprint = x.g.guard.Failed(&x.guarded, guardTarget(&d.Target), f)
	}
	x.g.log.Info("attempt failed", "id", x.meta.ID, "number", a.Number, "target", a.Target, "took", a.Took,
		"kind", f.Kind, "ran", f.Ran, "fingerprint", fingerprint, "err", f)
}

// isReplacedAnswer reports whether f stands for an answer of the target that another one replaces.
func isReplacedAnswer(f *fault.Fault) bool {
	return f.Kind == fault.TargetLost && f.Ran == fault.RanUnknown && f.Cause == nil
}

// mayRepeat decides whether the request is sent once more after f, and takes a retry from the budget
// if that costs one.
func (x *exchange) mayRepeat(f *fault.Fault) bool {
	if isLapse(f) {
		return x.lapses <= maxLapses && x.r.Context().Err() == nil // no target has received the request
	}
	if x.sends == 0 || f.Kind == fault.DeadlineUnmeetable {
		return false // it was not placed, after all the waiting that is worthwhile
	}
	if isReplacedAnswer(f) {
		return true // mayReplaceAnswer has taken the retry
	}
	repeatable := x.route.Repeat == routes.Idempotent
	if retry.Permitted(f, repeatable) != retry.Allowed && !(repeatable && f.Kind == fault.AnswerInvalid) || !x.mayResend() {
		return false
	}
	if f.Kind == fault.StaleRoute && x.service.byKey && !x.waitForNewerTable() {
		return false
	}
	if f.Kind == fault.TargetRefused && x.service.byKey && f.RetryAfter > 0 && !x.inTimeAfter(f.RetryAfter) {
		return false // the key's holder rests, and no other target has the key
	}
	if f.Kind == fault.TargetUnreachable {
		return true // no target has received the request
	}
	return x.takeRetry()
}

// inTimeAfter reports whether the request can still be in time for its objective after a wait.
func (x *exchange) inTimeAfter(wait time.Duration) bool {
	return x.route.Objective > 0 && time.Now().Add(wait).Before(x.began.Add(x.route.Objective-x.age))
}

// waitForNewerTable waits for a newer key table than the one by which the request was sent to a target
// that doesn't hold its key.
func (x *exchange) waitForNewerTable() bool {
	table, changed := x.service.currentTable()
	if table != x.table {
		return true
	}
	timer := time.NewTimer(newerTableTimeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-x.r.Context().Done():
		return false
	}
}

// callerFault turns the last fault into the one that the caller is told. A request that certainly did
// not run is refused with the advice to retry, whatever the reason: callers may then also repeat
// requests that must not run twice.
func callerFault(f *fault.Fault) *fault.Fault {
	if f.Ran != fault.NotRun {
		return f
	}
	switch f.Kind {
	case fault.TargetUnreachable, fault.DeadlineExceeded:
		refused := *f
		refused.Kind = fault.TargetRefused
		if refused.Kind.Row().Status == http.StatusServiceUnavailable {
			return &refused
		}
	}
	return f
}
