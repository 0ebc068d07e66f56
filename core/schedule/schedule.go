// Package schedule decides when a periodic task is due. It has no clock and no state: the
// current time and the next due time are passed in.
package schedule

import "time"

// Due reports whether a task that is due at *at and recurs with the interval every is due at
// now. If so, it sets *at to the next due time. Intervals that were missed, as while the
// process was suspended, are skipped.
func Due(at *time.Time, now time.Time, every time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = at.Add(every)
	if !at.After(now) {
		*at = now.Add(every)
	}
	return true
}
