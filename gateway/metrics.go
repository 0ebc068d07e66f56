package gateway

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

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

// serveInternal serves an endpoint for the platform or for operators until the process ends.
func (g *Gateway) serveInternal(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && g.lifetime.Err() == nil {
		g.log.Error("internal server failed", "address", l.Addr().String(), "err", err)
	}
}
