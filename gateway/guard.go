package gateway

import (
	"tarragongw/core/directory"
	"tarragongw/core/quarantine"
	"tarragongw/crashguard"
)

func newGuard(g *Gateway) *crashguard.Guard {
	return crashguard.New(crashguard.Options{
		Router: g.opts.Name, Log: g.log, Telemetry: g.opts.Telemetry, Run: g.workers.Run, Dial: g.paths.dialCheck, Lifetime: g.lifetime,
		IsActive: g.isActive, Publish: g.publishQuarantine,
	})
}

// publishQuarantine sends the list of suspected requests that this router keeps as the leader to its
// followers, and has it written to the store.
func (g *Gateway) publishQuarantine(l *quarantine.List) {
	g.subscription.source.SetQuarantine(l)
	g.quarantineRecord.set(l)
}

// isActive reports whether a target is known and doesn't drain.
func (g *Gateway) isActive(t *crashguard.Target) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for i := range g.targets {
		if known := &g.targets[i]; known.ID == t.ID && known.StartUnixMilli == t.StartUnixMilli {
			return !known.Draining
		}
	}
	return false
}

func guardTarget(t *directory.Target) *crashguard.Target {
	return &crashguard.Target{Service: t.Service, ID: t.ID, StartUnixMilli: t.StartUnixMilli, Address: t.Address}
}

// newGuardRequest describes a request for the guard.
func (g *Gateway) newGuardRequest(x *exchange) crashguard.Request {
	return crashguard.Request{
		HTTP: x.r, Body: x.body, ID: x.meta.ID, Service: x.service.name, Caller: x.meta.Caller, Scope: x.r.Host,
		Key: x.r.Header.Get(g.opts.Adapter.Headers.Key),
	}
}
