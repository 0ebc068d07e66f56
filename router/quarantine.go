package router

import (
	"context"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/quarantine"
	"tarragongw/crashguard"
	"tarragongw/operator"
	"tarragongw/peer"
	"tarragongw/peer/feed"
)

const (
	// quarantineInterval is how often a router looks who keeps the list of suspected requests and
	// tells it what is not urgent, and quarantineRepeat how often the list is sent again, for routers
	// that have started or missed it.
	quarantineInterval = 200 * time.Millisecond
	quarantineRepeat   = 2 * time.Second
)

// kindQuarantine is a list of suspected requests, and kindObservations is for the router that keeps it.
const (
	kindQuarantine   = "quarantine"
	kindObservations = "observations"
)

// quarantineDuty exchanges what the routers know of requests that crash targets. The live router with
// the lowest name keeps the list. While routers disagree on who that is, several may keep one; the
// right one takes over what the others know, see Guard.Contest.
type quarantineDuty struct {
	r     *Router
	guard *crashguard.Guard
	// keeper is the router that keeps the list, and repeatedAt is when this one last sent it.
	keeper     string
	repeatedAt time.Time
}

func newQuarantineDuty(r *Router) *quarantineDuty {
	q := &quarantineDuty{r: r}
	q.guard = crashguard.New(crashguard.Options{
		Router: r.self.Name, Log: r.log, Telemetry: r.tel, Run: r.workers.Run, Lifetime: r.lifetime, Dial: r.opts.DialTarget,
		IsActive: q.isActive, Publish: q.publish,
	})
	return q
}

// run exchanges lists and observations until the router ends.
func (q *quarantineDuty) run() {
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-q.guard.Wake():
		case <-q.r.lifetime.Done():
			return
		}
		q.exchange()
	}
}

func (q *quarantineDuty) exchange() {
	self := q.r.self.Name
	keeper := self
	for _, m := range q.r.members.live() {
		keeper = min(keeper, m.Name)
	}
	if keeper != q.keeper {
		q.keeper = keeper
		q.guard.Yield()
		if keeper == self {
			q.guard.Keep(0)
		} else {
			q.guard.Retell()
		}
	}
	if keeper != self {
		q.tell(keeper)
		return
	}
	if list := q.guard.List(); len(list.Entries) > 0 && time.Since(q.repeatedAt) >= quarantineRepeat {
		q.repeatedAt = time.Now()
		q.publish(list)
	}
}

// tell sends what this router observed to the router that keeps the list.
func (q *quarantineDuty) tell(keeper string) {
	o := q.guard.Take()
	if o.Empty() {
		return
	}
	payload, err := feed.MarshalObservations(o)
	if err != nil || !q.r.peers.Send(keeper, kindObservations, payload) {
		q.r.log.Warn("observations of suspected requests not sent", "to", keeper, "crashes", len(o.Crashes), "error", err)
		q.guard.Retell()
	}
}

// publish sends the list to all routers.
func (q *quarantineDuty) publish(l *quarantine.List) {
	payload, err := feed.MarshalQuarantine(l, time.Now())
	if err != nil {
		q.r.log.Error("list of suspected requests not sent", "error", err)
		return
	}
	q.r.members.broadcast(kindQuarantine, payload)
}

// receive handles a message of another router.
func (q *quarantineDuty) receive(from peer.Identity, kind string, payload []byte) {
	if kind == kindQuarantine {
		list, err := feed.UnmarshalQuarantine(payload, time.Now())
		if err != nil {
			q.r.log.Warn("unreadable list of suspected requests", "from", from.Name, "error", err)
			return
		}
		q.guard.Contest(list)
		q.guard.Adopt(list)
		return
	}
	o, err := feed.UnmarshalObservations(payload)
	if err != nil {
		q.r.log.Warn("unreadable observations of suspected requests", "from", from.Name, "error", err)
		return
	}
	q.guard.Observe(from.Name, o)
}

// isActive reports whether a target is configured and not marked as leaving.
func (q *quarantineDuty) isActive(t *crashguard.Target) bool {
	v := q.r.view.Load()
	if v == nil {
		return false
	}
	spec := v.compiled.Target(t.ID)
	return spec != nil && !spec.Drain
}

// newGuardRequest describes a request for the guard.
func newGuardRequest(x *exchange) crashguard.Request {
	return crashguard.Request{
		HTTP: x.r, Body: x.body, ID: x.meta.ID, Service: x.meta.Service, Scope: x.meta.Service, Caller: x.meta.Caller, Key: x.meta.Key,
	}
}

// noteFailedAttempt has the target checked if it broke off the request.
func (r *Router) noteFailedAttempt(x *exchange, f *fault.Fault) {
	if f.Ran != fault.NotRun {
		x.mayHaveRun = f
	}
	v := r.view.Load()
	if v == nil {
		return
	}
	spec := v.compiled.Target(x.last.owner.Target)
	if spec == nil {
		return
	}
	r.quarantine.guard.Failed(&x.guarded, &crashguard.Target{Service: x.meta.Service, ID: spec.Name, Address: spec.Address}, f)
}

// Quarantine implements operator.Backend.
func (b *backend) Quarantine(context.Context) (*operator.Quarantine, error) {
	return operator.DescribeQuarantine(b.r.self.Name, b.r.quarantine.guard.List()), nil
}

// Release implements operator.Backend. The other routers learn of it through the one that keeps the list.
func (b *backend) Release(_ context.Context, req *operator.ReleaseRequest) (*operator.ReleaseReply, error) {
	return operator.ReleaseBy(req, b.r.quarantine.guard.Release)
}
