package router

import (
	"time"

	"tarragongw/eventlog"
	"tarragongw/keys"
	"tarragongw/operator"
)

// ReloadKeys asks the router to load all files of certificates now, as SIGHUP does.
func (r *Router) ReloadKeys() {
	select {
	case r.security.signals <- struct{}{}:
	default:
		// One that waits loads the files as they will be then.
	}
}

// watchKeys reloads the files of certificates and tells of their ends.
func (r *Router) watchKeys() {
	if len(r.security.sources) == 0 {
		return
	}
	ticks := r.opts.KeyTicks
	if ticks == nil {
		ticker := time.NewTicker(r.opts.Settings.TLS.ReloadEvery)
		defer ticker.Stop()
		ticks = ticker.C
	}
	w := &keys.Watcher{Sources: r.security.sources, WarnBefore: r.opts.Settings.TLS.WarnBefore, OnNotice: r.keysChanged}
	w.Run(r.lifetime, ticks, r.security.signals)
}

var keyEvents = map[keys.Change]eventlog.Kind{
	keys.Reloaded:    eventlog.KeysReloaded,
	keys.Refused:     eventlog.KeysRefused,
	keys.ExpiresSoon: eventlog.CertEndsSoon,
	keys.Expired:     eventlog.CertEnded,

	keys.Revoked:     eventlog.CertRevoked,
	keys.ListOverdue: eventlog.ListOverdue,
}

func (r *Router) keysChanged(n keys.Notice) {
	if n.Change == keys.Reloaded {
		r.recheck(n.Source)
	}
	r.journal.Record(eventlog.Event{
		Kind:   keyEvents[n.Change],
		Cause:  n.Cause,
		Router: r.self.Name,
		Fields: []eventlog.Field{eventlog.F("table", n.Source.Table())},
	})
}

// recheck holds the open connections against what the source put in force.
func (r *Router) recheck(s *keys.Source) {
	switch {
	case s == r.security.callers:
		r.caller.Recheck()
	case s == r.security.peers:
		r.peers.Recheck()
	case s == r.security.operators:
		r.operatorConns.recheck()
	case r.security.isTargets(s):
		r.recheckTargets()
	}
}

func (r *Router) recheckTargets() {
	for _, u := range r.upstreams.all() {
		u.pool.Recheck()
		u.control.Recheck()
	}
}

// addKeyMetrics adds the time until certificates end.
func (r *Router) addKeyMetrics() {
	for _, s := range r.security.sources {
		r.tel.GaugeFunc("certificate_seconds_left", map[string]string{"table": s.Table()}, func() float64 { return s.TimeLeft().Seconds() })
		if s.HasRevocationLists() {
			r.tel.GaugeFunc("certificates_revoked", map[string]string{"table": s.Table()}, func() float64 { return float64(s.Material().RevokedCount()) })
		}
	}
}

func (b *backend) addKeys(status *operator.Status) {
	if names := b.r.peers.Refused(); len(names) > 0 {
		status.Problems = append(status.Problems, operator.Problem{
			What:   "the certificates of routers are refused: " + named(names),
			Doing:  "they get no new work; what is in flight on their open sessions may end, within drain.limit",
			Action: "see `tarragonctl events` for certificate_refused; stop the VM of a lost key, renew a certificate that has ended",
		})
	}
	for _, s := range b.r.security.sources {
		if err := s.Failure(); err != nil {
			status.Problems = append(status.Problems, operator.Problem{
				What:   "new files of " + s.Table() + " are refused: " + err.Error(),
				Doing:  "the files before them stay in force, and the new ones are tried again",
				Action: "mend the file that is named",
			})
		}
		if err := s.Material().OwnRevoked(); err != nil {
			status.Problems = append(status.Problems, operator.Problem{
				What:   s.Table() + ": " + err.Error(),
				Doing:  "the other routers refuse this one and take its targets over",
				Action: "put a new certificate in place of the file, or stop the VM if its key was lost",
			})
		}
		if overdue := s.Material().Overdue(time.Now()); overdue != "" {
			status.Problems = append(status.Problems, operator.Problem{
				What:   s.Table() + ": " + overdue,
				Doing:  "the list in force stays in force; certificates that were revoked since are accepted",
				Action: "put the authority's newest list in place of the file; no restart is needed",
			})
		}
		if s.TimeLeft() < b.r.opts.Settings.TLS.WarnBefore {
			status.Problems = append(status.Problems, operator.Problem{
				What:   s.Table() + ": " + s.ExpiryText(),
				Doing:  "once it has ended, new connections are refused and sessions between routers end; what is in flight goes on",
				Action: "put a new certificate in place of the file; no restart is needed",
			})
		}
	}
}
