package spread

import "time"

// Wake returns how long after now the next Tick is due, at least one Config.Tick. The shell
// may send it earlier, or once every Config.Tick.
func (c *Core) Wake(now time.Time) time.Duration {
	tick := c.cfg.Tick
	if c.now.IsZero() || len(c.outboxes) > 0 || len(c.limiter.delayed) > 0 || !c.join.done {
		return tick
	}
	next := c.digestDue
	if c.watching && c.remoteDue.Before(next) {
		next = c.remoteDue
	}
	if !c.repairDue.IsZero() && c.repairDue.Before(next) {
		next = c.repairDue
	}
	for _, q := range c.questions {
		if q.deadline.Before(next) {
			next = q.deadline
		}
	}
	return max(next.Sub(now), tick)
}
