package router

import (
	"time"

	"tarragongw/duty"
)

// pulseEvery is the interval of verdicts on targets, and of looks at what is served.
const pulseEvery = 100 * time.Millisecond

// pulse starts what is due at short intervals and has no time of its own. It all shares
// one timer, since at rest a waking of the process costs more than what it does then.
func (r *Router) pulse() {
	ticker := time.NewTicker(pulseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.past.tick()
			r.health.tick()
		case <-r.lifetime.Done():
			return
		}
	}
}

// startDuty runs handle for each message, one at a time.
func (r *Router) startDuty(dropping bool, handle func(message any)) *duty.Duty {
	return duty.Start(r.system, r.workers, r.opts.Settings.Limits.Mailbox, dropping, handle)
}
