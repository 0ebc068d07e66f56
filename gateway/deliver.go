package gateway

import (
	"net"
	"net/http"

	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/reach"
	"tarragongw/core/routes"
	"tarragongw/peer/relay"
	"tarragongw/target"
)

// deliver sends the request to its target once: directly, or through another router if this one doesn't
// reach the target. It returns when the answer begins.
func (x *exchange) deliver(d *dispatch.Decision) (*http.Response, *fault.Fault) {
	path := x.g.paths.choose(d)
	if path != reach.Relayed {
		resp, f := x.deliverDirectly(d, path)
		if f == nil || f.Kind != fault.TargetUnreachable || f.Ran != fault.NotRun || !x.g.paths.findsRelay(d) {
			return resp, f
		}
	}
	return x.deliverRelayed(d)
}

func (x *exchange) deliverDirectly(d *dispatch.Decision, path reach.Path) (*http.Response, *fault.Fault) {
	pool, err := x.g.pools.get(&d.Target, x.g.connLimit(x.service.name), false)
	if err != nil {
		x.g.paths.ended(d.Target.ID, false, nil)
		return nil, fault.Wrap(fault.TargetUnreachable, err, "")
	}
	opts := target.AttemptOptions{
		BeforeRequest: func() *fault.Fault { return x.beforeRequest(d) }, LeaseExpiry: pool.sendLimit, Fresh: path == reach.Fresh, Sends: &x.sent,
	}
	if x.route.Repeat == routes.Idempotent {
		opts.Aborter = &x.aborters[x.sends-1]
		x.g.paths.abortIfLost(d.Target.ID, opts.Aborter)
	}
	resp, f := pool.AttemptWithOptions(x.r.Context(), x.r, opts)
	x.g.paths.ended(d.Target.ID, f == nil || isAnswer(f), opts.Aborter)
	return resp, f
}

// isAnswer reports whether a fault stands for an answer of the target that says that the request did
// not run.
func isAnswer(f *fault.Fault) bool {
	return f.Ran == fault.NotRun && (f.Kind == fault.TargetRefused || f.Kind == fault.StaleRoute) && !isLapse(f)
}

// deliverRelayed sends the request through another router.
func (x *exchange) deliverRelayed(d *dispatch.Decision) (*http.Response, *fault.Fault) {
	pool, err := x.g.pools.get(&d.Target, x.g.connLimit(x.service.name), true)
	if err != nil {
		return nil, fault.Wrap(fault.TargetUnreachable, err, "")
	}
	opts := target.AttemptOptions{
		BeforeRequest: func() *fault.Fault { return x.beforeRequest(d) },
		LeaseExpiry:   pool.sendLimit,
		Sends:         &x.sent,
		GotConn: func(raw net.Conn) {
			if conn, ok := raw.(*relay.Conn); ok {
				x.g.log.Info("relayed", "id", x.meta.ID, "target", d.Target.ID, "connection", conn.ID)
			}
		},
	}
	resp, f := pool.AttemptWithOptions(x.r.Context(), x.r, opts)
	if f != nil && !isAnswer(f) && !isLapse(f) {
		pool.CloseIdle() // the router on the way may be lost, and its other connections with it
	}
	x.g.countRelayed(x.service.name, f)
	return resp, f
}
