package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
	"tarragongw/core/statement"
)

// errResting is the cause of faults of requests that were not sent because their target rests.
var errResting = errors.New("the target wants no requests from this router for a while")

// rests are the times during which targets want no requests from this router, as they have stated in answers to it.
type rests struct {
	g *Gateway

	mu    sync.Mutex
	known *statement.Rests
	// timer ends rests; nil while there is none.
	timer *time.Timer
}

func newRests(g *Gateway) *rests { return &rests{g: g, known: statement.NewRests()} }

// observe records that a target has asked for a rest.
func (r *rests) observe(t *directory.Target, d time.Duration) {
	r.mu.Lock()
	now := time.Now()
	rest, change := r.known.Ask(now, t.Holder(), t.Service, d)
	if change == statement.Began && r.timer == nil {
		r.timer = time.AfterFunc(rest.Until.Sub(now), r.expire)
	}
	r.mu.Unlock()
	r.count("rests_asked_total", t.Service, t.ID)
	if change == statement.Unchanged {
		return
	}
	if s := r.g.service(t.Service); s != nil {
		s.rest(t.Holder(), rest.Until)
	}
	if change == statement.Began {
		r.log("target asks for a rest", &rest)
	}
}

// expire ends the rests that are over.
func (r *rests) expire() {
	r.mu.Lock()
	now := time.Now()
	ended, current := r.known.Expire(now), r.known.Current(now)
	r.timer = nil
	if len(current) > 0 && r.g.lifetime.Err() == nil {
		next := current[0].Until
		for i := range current {
			if current[i].Until.Before(next) {
				next = current[i].Until
			}
		}
		r.timer = time.AfterFunc(next.Sub(now), r.expire)
	}
	r.mu.Unlock()
	for i := range ended {
		r.log("rest of a target has ended", &ended[i])
	}
}

func (r *rests) log(message string, rest *statement.RestOf) {
	r.g.log.Info(message, "target", rest.Holder.Target, "born", rest.Holder.StartUnixMilli, "service", rest.Service,
		"lasts", rest.Until.Sub(rest.Began), "asked", rest.Asked)
	if tel := r.g.opts.Telemetry; tel != nil {
		tel.Scope().Gauge("resting_targets").Update(float64(len(r.current())))
	}
}

func (r *rests) count(counter, service, target string) {
	if tel := r.g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"service": service, "target": target}).Counter(counter).Inc(1)
	}
}

// current returns the rests that have not ended.
func (r *rests) current() []statement.RestOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Current(time.Now())
}

// until returns until when a target rests, and whether it does.
func (r *rests) until(holder keyspace.Holder) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Until(time.Now(), holder)
}

// left returns for how much longer a target rests, and whether it does.
func (r *rests) left(holder keyspace.Holder) (time.Duration, bool) {
	until, resting := r.until(holder)
	return time.Until(until), resting
}

// countOrder reports whether the target of an order rests, and counts the order then. Somebody has to hold the keys, so that
// grants are renewed in a rest too.
func (r *rests) countOrder(o *assign.Order) bool {
	_, resting := r.until(o.Holder)
	if tel := r.g.opts.Telemetry; tel != nil && resting {
		tel.Scope().Tagged(map[string]string{"kind": o.Kind.String()}).Counter("orders_to_resting_targets_total").Inc(1)
	}
	return resting
}

// check returns a fault if no request may be sent to a target because it rests.
func (r *rests) check(t *directory.Target) *fault.Fault {
	if _, resting := r.until(t.Holder()); resting {
		return fault.Wrap(fault.StaleRoute, errResting, "")
	}
	return nil
}
