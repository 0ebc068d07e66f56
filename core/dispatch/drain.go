package dispatch

import "time"

const (
	// drainReports is the number of recent reports from which a router knows how full the service's targets are.
	drainReports = 3.0
	// probeShare is the share of requests that is sent whatever the reports say, so that there are reports.
	probeShare = 0.05
	// drainReserve is by how much the wait at a target may be longer than expected.
	drainReserve = 2.5
)

// drains reports whether a request is refused so that the target's queue drains: even a new request would be late there,
// the best target that was found. That holds also where this router has none in flight.
//
// Many routers have hardly ever a request in flight at a given target. If each may always send one there, queues that a
// burst has filled never drain: all that is sent is late, long after the burst, while the same number could be served in
// time.
func (s *Service) drains(now time.Time, r *Request, t *targetState) bool {
	if s.byKey || r.Objective == 0 || t.queuedAhead(now) == 0 || s.typical.weightAt(now) < drainReports {
		return false
	}
	expected := t.wait(now, s.overallServiceTime)*drainReserve + t.serviceTime(now, s.overallServiceTime)
	return expected > r.Objective.Seconds() && s.random.Float64() >= probeShare
}
