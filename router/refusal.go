package router

import (
	"strconv"
	"sync"
	"time"

	"tarragongw/eventlog"
	"tarragongw/operator"
)

// refusalEvery is the least time between two events of one cause. Whoever is refused
// can call as often as it likes: an event for each would push all others out of the
// journal. The counter counts each.
const refusalEvery = time.Second

// refusals bounds the events on who was refused.
type refusals struct {
	lock   sync.Mutex
	causes map[string]*refusalCause
}

type refusalCause struct {
	last time.Time
	// untold counts the refusals since then.
	untold int
}

// admit reports whether to record an event, and how many went without one before it.
func (q *refusals) admit(cause string, now time.Time) (untold int, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.causes == nil {
		q.causes = make(map[string]*refusalCause)
	}
	c := q.causes[cause]
	if c == nil {
		c = &refusalCause{}
		q.causes[cause] = c
	}
	if !c.last.IsZero() && now.Sub(c.last) < refusalEvery {
		c.untold++
		return 0, false
	}
	untold = c.untold
	c.last, c.untold = now, 0
	return untold, true
}

// operatorRefused counts and tells of a call that the operators' listener refused.
func (r *Router) operatorRefused(refused operator.Refusal) {
	cause := string(refused.Cause)
	r.tel.Scope().Tagged(map[string]string{"cause": cause}).Counter("operator_refused_total").Inc(1)
	r.tellRefusal(eventlog.OperatorRefused, "operator "+cause, refused.Detail,
		eventlog.F("reason", cause), eventlog.F("name", refused.Name), eventlog.F("from", refused.Remote),
		eventlog.F("call", refused.Method+" "+refused.Path))
}

// tellRefusal records a refusal, of those with one label as many as r.refusals admits; the
// last field says how many came untold before it.
func (r *Router) tellRefusal(kind eventlog.Kind, label, cause string, fields ...eventlog.Field) {
	untold, ok := r.refusals.admit(label, time.Now())
	if !ok {
		return
	}
	r.journal.Record(eventlog.Event{
		Kind:   kind,
		Cause:  cause,
		Router: r.opts.Settings.Name,
		Fields: append(fields, eventlog.F("untold", strconv.Itoa(untold))),
	})
}

// peerRefused counts and tells of a connection that is no router's.
func (r *Router) peerRefused(address string, cause error) {
	reason := string(peerCauseOf(cause))
	r.tel.Scope().Tagged(map[string]string{"cause": reason}).Counter("peer_refused_total").Inc(1)
	r.tellRefusal(eventlog.PeerRefused, "peer "+reason, cause.Error(), eventlog.F("reason", reason), eventlog.F("from", address))
}

// peerDialFailed tells of a router whose certificate or version this one refuses. The
// other side learns no more than that the connection ended.
func (r *Router) peerDialFailed(_, address string, cause error) {
	if certificateCauses[peerCauseOf(cause)] {
		r.peerRefused(address, cause)
	}
}

// Sides whose open connections are held against certificates, as labels.
const (
	sidePeers     = "peers"
	sideOperators = "operators"
	sideTargets   = "targets"
	sideCallers   = "callers"
)

// connectionRefused counts and tells of an open connection that is ended, because the
// certificate that it began with is not accepted any more.
func (r *Router) connectionRefused(side, name string, cause error) {
	reason := string(peerCauseOf(cause))
	r.tel.Scope().Tagged(map[string]string{"side": side, "cause": reason}).Counter("certificate_connections_refused_total").Inc(1)
	r.tellRefusal(eventlog.CertRefused, side+" "+reason, cause.Error(),
		eventlog.F("reason", reason), eventlog.F("side", side), eventlog.F("name", name))
}
