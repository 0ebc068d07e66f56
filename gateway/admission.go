package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/pressure"
)

// admission decides which requests of one service are refused while its targets have too little room. It is used under
// the service's lock.
type admission struct {
	pressure.Admission
	// reports says that the service's targets tell their load.
	reports bool
	// cut says that a part of the requests is refused; onChange is called when that changes.
	cut      bool
	onChange func(pressure, admitted float64)
}

// recordReport records the load report in a target's answer.
func (a *admission) recordReport(now time.Time, r *dispatch.Report) {
	a.reports = true
	a.End(now, r.Slots > 0 && r.Waiting >= r.Slots)
	a.observe()
}

// recordEnd records how a send ended.
func (a *admission) recordEnd(now time.Time, result dispatch.Result) {
	if result == dispatch.TimedOut || result == dispatch.Answered && !a.reports {
		a.End(now, result == dispatch.TimedOut)
		a.observe()
	}
}

// observe tells of a change.
func (a *admission) observe() {
	if cut := a.Admitted() < 1; cut != a.cut {
		a.cut = cut
		a.onChange(a.Pressure(), a.Admitted())
	}
}

// refuseLessUrgent refuses a new request of the rank while the service's room goes to more urgent ones; nil if it is
// admitted.
func (s *service) refuseLessUrgent(rank int) *fault.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission.Admit(time.Now(), rank, rand.Float64()) {
		return nil
	}
	f := fault.New(fault.QueueFull, "the service's room goes to more urgent requests")
	f.RetryAfter = s.admission.Wait()
	return f
}

// admit decides whether a new request is admitted; nil if it is.
func (x *exchange) admit() *fault.Fault {
	if x.sends > 0 {
		return nil
	}
	f := x.service.refuseLessUrgent(x.rank())
	if tel := x.g.opts.Telemetry; f != nil && tel != nil {
		tags := map[string]string{"service": x.service.name, "priority": strconv.Itoa(x.route.Priority)}
		tel.Scope().Tagged(tags).Counter("less_urgent_refused_total").Inc(1)
	}
	return f
}

// observeAdmission logs that a service began or ceased to refuse less urgent requests, and keeps its metrics.
func (g *Gateway) observeAdmission(service string) func(pressure, admitted float64) {
	return func(pressure, admitted float64) {
		g.log.Info("admission changed", "service", service, "pressure", pressure, "admitted", admitted)
		if tel := g.opts.Telemetry; tel != nil {
			scope := tel.Scope().Tagged(map[string]string{"service": service})
			scope.Gauge("service_pressure").Update(pressure)
			scope.Gauge("admitted_share").Update(admitted)
		}
	}
}
