package gateway

import (
	"sync"
	"time"

	"tarragongw/core/directory"
)

// unreadableLogInterval is the least time between two log lines of one kind about unreadable reports.
const unreadableLogInterval = 10 * time.Second

// unreadableReports counts what targets state in their answers and can't be decoded, and logs some of it. Without load reports
// a router places requests by its own work alone, which shows nowhere else.
type unreadableReports struct {
	g *Gateway
	// counter is the metric's name, and message the log line's.
	counter, message string

	mu sync.Mutex
	// loggedAt is when one was logged last, and skipped how many were not since.
	loggedAt time.Time
	skipped  int
}

func (u *unreadableReports) observe(t *directory.Target, err error) {
	if tel := u.g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"service": t.Service, "target": t.ID}).Counter(u.counter).Inc(1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadableLogInterval {
		u.skipped++
		return
	}
	u.g.log.Warn(u.message, "target", t.ID, "service", t.Service, "skipped", u.skipped, "err", err)
	u.loggedAt, u.skipped = now, 0
}
