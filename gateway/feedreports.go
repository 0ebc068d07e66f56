package gateway

import (
	"tarragongw/peer/feed"
)

// reports returns the requested keys and the service times that this router has collected since the
// last call.
func (sub *subscription) reports() []feed.Report {
	var all []feed.Report
	sub.g.mu.RLock()
	defer sub.g.mu.RUnlock()
	for name, s := range sub.g.services {
		if s.byKey {
			all = append(all, feed.Report{Service: name, Keys: s.keyLoad.take(), ServiceTimes: s.drainServiceTimes()})
		}
	}
	return all
}

// setServiceTimes sets the targets' service times that the leader has sent.
func (g *Gateway) setServiceTimes(all []feed.ServiceTimes) {
	for _, times := range all {
		if s := g.service(times.Service); s != nil {
			s.setServiceTimes(times.Targets)
		}
	}
}

// setLimits sets the key limits that the leader has sent.
func (g *Gateway) setLimits(all []feed.Limits) {
	for _, limits := range all {
		if s := g.service(limits.Service); s != nil {
			s.setLimits(limits.Limits)
		}
	}
}
