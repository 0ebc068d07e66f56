package router

import "time"

// addMetrics adds what the router knows of itself to the metrics.
func (r *Router) addMetrics() {
	gauge := func(name string, read func() float64) { r.tel.GaugeFunc(name, nil, read) }
	gauge("config_revision", func() float64 { return float64(r.view.Load().revision()) })
	gauge("duties", func() float64 {
		s, _ := r.surveyor.now()
		return float64(s.duties)
	})
	gauge("units_unserved", func() float64 {
		s, _ := r.surveyor.now()
		return float64(s.unservedUnits())
	})
	gauge("targets_without_grantor", func() float64 {
		s, _ := r.surveyor.now()
		return float64(len(s.orphans))
	})
	gauge("unavailable_seconds", func() float64 { return r.surveyor.unavailable().Seconds() })
	gauge("members_alive", func() float64 { return float64(r.members.count()) })
	gauge("requests_awaiting_route", func() float64 { return float64(r.changes.count()) })
	gauge("callers_in_flight", func() float64 { return float64(r.caller.InFlight()) })
	gauge("own_delay_milliseconds", func() float64 {
		delay, _, _ := r.own.state()
		return float64(delay) / float64(time.Millisecond)
	})
	gauge("admitted_share", func() float64 {
		_, admitted, _ := r.own.state()
		return admitted
	})
	gauge("peers_datagrams_blocked", func() float64 { return float64(len(r.peers.DatagramsBlocked())) })
	r.addKeyMetrics()
}

// addStatus adds sections to the admin endpoint's /status.
func (r *Router) addStatus() {
	r.admin.AddStatus("config", func() any {
		v := r.view.Load()
		if v == nil {
			return struct{}{}
		}
		return map[string]any{"revision": v.revision(), "since": v.since}
	})
	r.admin.AddStatus("ownership", func() any {
		s, since := r.surveyor.now()
		return map[string]any{
			"units": s.units, "unserved": s.unserved, "unserved_since": since,
			"targets_without_grantor": s.orphans, "duties": s.duties,
		}
	})
	r.admin.AddStatus("load", func() any {
		delay, admitted, since := r.own.state()
		return map[string]any{"own_delay": delay.String(), "admitted": admitted, "refusing_since": since}
	})
	r.admin.AddStatus("peers", func() any { return r.peers.Stats() })
}
