package gateway

import (
	"tarragongw/peer/feed"
)

// reports returns the requested keys and the service times that this router has collected since the
// last call.
func (f *subscription) reports() []feed.Report {
	var all []feed.Report
	f.g.mu.RLock()
	defer f.g.mu.RUnlock()
	for name, s := range f.g.services {
		if s.byKey {
			all = append(all, feed.Report{Service: name, Keys: s.keyLoad.take(), ServiceTimes: s.drainServiceTimes()})
		}
	}
	return all
}

// setServiceTimes sets the targets' service times that the leader has sent.
func (g *Gateway) setServiceTimes(all []feed.ServiceTimes) {
	for _, p := range all {
		if s := g.service(p.Service); s != nil {
			s.setServiceTimes(p.Targets)
		}
	}
}

// setLimits sets the key limits that the leader has sent.
func (g *Gateway) setLimits(all []feed.Limits) {
	for _, l := range all {
		if s := g.service(l.Service); s != nil {
			s.setLimits(l.Limits)
		}
	}
}
