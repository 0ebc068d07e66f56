package gateway

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"tarragongw/core/assign"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
	"tarragongw/core/lead"
	"tarragongw/operator"
	"tarragongw/target"
)

// MetricsPath is where the metrics are served.
const MetricsPath = "/metrics"

// serveMetrics serves the metrics if there is an address for them.
func (g *Gateway) serveMetrics() {
	if g.metricsListener == nil || g.opts.Telemetry == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, g.opts.Telemetry.Handler())
	quarantine := operator.NewQuarantineHandler(quarantineOperator{g})
	mux.Handle(operator.PathQuarantine, quarantine)
	mux.Handle(operator.PathRelease, quarantine)
	if g.evacuates() {
		mux.Handle("GET "+operator.PathEvacuations, operator.NewEvacuationsHandler(g.describeEvacuations))
	}
	mux.Handle("GET "+operator.PathTargetLimits, operator.NewTargetLimitsHandler(g.describeStatements))
	g.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.goRun(func() { g.serveInternal(g.metricsServer, g.metricsListener) })
}

// countOpened counts a connection that was opened to a target of the service, by cause.
func (g *Gateway) countOpened(service string, cause target.OpenCause) {
	if g.opts.Telemetry == nil {
		return
	}
	tags := map[string]string{"service": service, "cause": string(cause)}
	g.opts.Telemetry.Scope().Tagged(tags).Counter("target_connections_opened_total").Inc(1)
}

// countHandover counts that this router hands the lead over.
func (l *leader) countHandover(why lead.Reason) {
	if tel := l.g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"why": string(why)}).Counter("lead_handovers_total").Inc(1)
	}
}

// observeCoverage logs and counts the targets that don't answer orders and the keys without a holder, if
// they have changed.
func (l *leader) observeCoverage(service string, assignment *serviceAssignment) {
	c := assignment.assigner.Coverage()
	if c == assignment.coverage {
		return
	}
	assignment.coverage = c
	l.g.log.Info("order coverage changed", "service", service, "targets", c.Targets, "unreachable", c.Unreachable, "unassigned_keys", c.UnassignedKeys)
	if tel := l.g.opts.Telemetry; tel != nil {
		scope := tel.Scope().Tagged(map[string]string{"service": service})
		scope.Gauge("targets_unreachable_for_orders").Update(float64(c.Unreachable))
		scope.Gauge("unassigned_keys").Update(float64(c.UnassignedKeys))
	}
}

// lostKeys identifies keys that a holder has lost, by what shows that it doesn't hold them.
type lostKeys struct {
	holder   keyspace.Holder
	evidence assign.Evidence
}

// logFreed logs and counts keys that have lost their holders, one line for each holder and kind of evidence.
func (l *leader) logFreed(service string, freed []assign.Freed) {
	ranges, keys := map[lostKeys]int{}, map[lostKeys]int{}
	for _, f := range freed {
		of := lostKeys{f.Holder, f.Evidence}
		ranges[of]++
		keys[of] += int(f.To) - int(f.From) + 1
	}
	for of, n := range keys {
		l.g.log.Info("keys freed", "service", service, "target", of.holder.Target, "born", of.holder.StartUnixMilli,
			"evidence", of.evidence, "ranges", ranges[of], "keys", n)
		if tel := l.g.opts.Telemetry; tel != nil {
			tel.Scope().Tagged(map[string]string{"service": service, "evidence": of.evidence.String()}).Counter("keys_freed_total").Inc(int64(n))
		}
	}
}

// logReach logs that the targets to which this router can open connections have become none, some or
// all of a service's.
func (g *Gateway) logReach(service string, r dispatch.Reach) {
	g.log.Info("reach of targets changed", "service", service, "reached", r.Reached, "of", r.Targets)
}

// countRelayed counts a request that was sent through another router, by whether there was an answer.
func (g *Gateway) countRelayed(service string, f *fault.Fault) {
	if g.opts.Telemetry == nil {
		return
	}
	result := "answered"
	if f != nil && !isAnswer(f) {
		result = f.Kind.String()
	}
	g.opts.Telemetry.Scope().Tagged(map[string]string{"service": service, "result": result}).Counter("relayed_requests_total").Inc(1)
}

// serveInternal serves an endpoint for the platform or for operators until the process ends.
func (g *Gateway) serveInternal(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && g.lifetime.Err() == nil {
		g.log.Error("internal server failed", "address", l.Addr().String(), "err", err)
	}
}
