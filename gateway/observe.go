package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"tarragongw/caller"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
)

// observer logs and counts each request when it has ended.
type observer struct{ g *Gateway }

// Observe implements caller.Observer.
func (o observer) Observe(out *caller.Outcome) {
	code, ran := "ok", fault.RanFully
	if out.Fault != nil {
		code, ran = out.Fault.Kind.String(), out.Fault.Ran
	}
	if tel := o.g.opts.Telemetry; tel != nil {
		tel.RecordRequest(out.Meta.Service, out.Meta.Caller, out.Meta.Class, code, ran, out.Duration)
	}
	if out.Aborted && out.Fault != nil && out.Fault.Kind == fault.DeadlineExceeded {
		o.g.countExceeded("answer_time")
	}
	o.g.log.Info("request", "id", out.Meta.ID, "route", out.Meta.Service, "method", out.Method, "status", out.Status,
		"code", code, "ran", ran, "failed_attempts", len(out.Meta.Attempts), "took", out.Duration,
		"first_byte", out.FirstByte, "bytes_in", out.BytesIn, "bytes_out", out.BytesOut, "aborted", out.Aborted,
		"nth", out.RequestNumber, "turn", out.TurnWait, "limit", out.Limit)
}

// ObserveLate implements caller.LateObserver.
func (o observer) ObserveLate(l *caller.LateAnswer) {
	waitedFor := "answer"
	if l.TurnWait >= l.Limit {
		waitedFor = "turn"
	}
	o.g.log.Warn("late answer", "id", l.ID, "route", l.Service, "limit", l.Limit, "took", l.Took, "turn", l.TurnWait, "waited_for", waitedFor, "status", l.Status)
	if tel := o.g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"service": l.Service, "waited_for": waitedFor}).Counter("late_answers_total").Inc(1)
	}
}

// logPlaced logs the target at which a request was placed, and the data behind that decision.
func (g *Gateway) logPlaced(x *exchange, d *dispatch.Decision, waited time.Duration) {
	key := -1
	if x.key != nil {
		key = int(*x.key)
	}
	g.log.LogAttrs(x.r.Context(), slog.LevelInfo, "placed", slog.String("id", x.meta.ID), slog.String("service", x.service.name), slog.Int("key", key),
		slog.Uint64("config", x.route.version), slog.String("target", d.Target.ID), slog.String("in", d.Target.DataCentre),
		slog.Int64("born", d.Target.StartUnixMilli), slog.Float64("work", d.Work), slog.Duration("report_age", d.ReportAge), slog.Duration("waited", waited),
		slog.Int("send", x.sends+1), slog.Bool("leaving", d.Target.Draining), slog.Duration("state_age", g.sends.age()))
}

// serveReady serves the platform's readiness check: whether this router accepts new connections.
func (g *Gateway) serveReady() {
	mux := http.NewServeMux()
	mux.HandleFunc(g.opts.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if g.stopping.Load() || !g.synced.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g.readyServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.goRun(func() { g.serveInternal(g.readyServer, g.readyListener) })
}

// readHeaderTimeout bounds reading the header of a readiness check or of a request for metrics.
const readHeaderTimeout = 5 * time.Second
