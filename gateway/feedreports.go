package gateway

import (
	"tarragongw/peer/feed"
)

// reports returns what this router saw of its services since the last call.
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

// setServiceTimes puts in force what the leader tells of the targets' speed.
func (g *Gateway) setServiceTimes(all []feed.ServiceTimes) {
	for _, p := range all {
		if s := g.service(p.Service); s != nil {
			s.setServiceTimes(p.Targets)
		}
	}
}

// setLimits puts in force which keys the leader limits.
func (g *Gateway) setLimits(all []feed.Limits) {
	for _, l := range all {
		if s := g.service(l.Service); s != nil {
			s.setLimits(l.Limits)
		}
	}
}
