package gateway

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
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
	g.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: askTimeout}
	g.goRun(func() { g.serveOwn(g.metricsServer, g.metricsListener) })
}

// serveOwn serves until the process ends.
func (g *Gateway) serveOwn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && g.lifetime.Err() == nil {
		g.log.Error("own listener ended", "address", l.Addr().String(), "err", err)
	}
}
