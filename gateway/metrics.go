package gateway

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"tarragongw/target"
)

// MetricsPath is where the metrics are served.
const MetricsPath = "/metrics"

// serveMetrics serves counters and histograms, where there is an address for them.
func (g *Gateway) serveMetrics() {
	if g.metricsListener == nil || g.opts.Telemetry == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, g.opts.Telemetry.Handler())
	g.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.goRun(func() { g.serveInternal(g.metricsServer, g.metricsListener) })
}

// countOpened counts a connection to a target of the service that is opened for the cause.
func (g *Gateway) countOpened(service string, cause target.OpenCause) {
	if g.opts.Telemetry == nil {
		return
	}
	tags := map[string]string{"service": service, "cause": string(cause)}
	g.opts.Telemetry.Scope().Tagged(tags).Counter("target_connections_opened_total").Inc(1)
}

// serveOwn serves until the process ends.
func (g *Gateway) serveInternal(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && g.lifetime.Err() == nil {
		g.log.Error("own listener ended", "address", l.Addr().String(), "err", err)
	}
}
