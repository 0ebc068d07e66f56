package spread

import (
	"slices"
	"time"
)

// changeLimiter delays changes of a configuration record that follow another change of the
// same record too soon. The operators' whole model is one record: a burst of changes by a
// script would send it to every router again and again, although only the last change counts.
// Changes are delayed before they are merged: records that only this router holds would look
// like a missed change to peers that compare digests.
type changeLimiter struct {
	// passedAt is when a change of each record was last passed on, for the records for which
	// that was less than an interval ago.
	passedAt map[string]time.Time
	// delayed has at most one change of each record, the newest.
	delayed []Entry
}

// admit returns the changes that are passed on at once and delays the others.
func (l *changeLimiter) admit(entries []Entry, now time.Time, every time.Duration) []Entry {
	var passed []Entry
	for i := range entries {
		e := &entries[i]
		if e.Class != Configuration || now.Sub(l.passedAt[e.Key]) >= every {
			l.dropOlder(e)
			l.passedAt[e.Key] = now
			passed = append(passed, *e)
			continue
		}
		if !l.dropOlder(e) {
			continue // a newer one is already delayed
		}
		l.delayed = append(l.delayed, *e)
	}
	return passed
}

// dropOlder removes a delayed change that e replaces. It returns false if the delayed change
// is newer than e.
func (l *changeLimiter) dropOlder(e *Entry) bool {
	i := slices.IndexFunc(l.delayed, func(w Entry) bool { return w.Key == e.Key })
	if i < 0 {
		return true
	}
	if l.delayed[i].Revision > e.Revision {
		return false
	}
	l.delayed = slices.Delete(l.delayed, i, i+1)
	return true
}

// release returns the delayed changes that are due.
func (l *changeLimiter) release(now time.Time, every time.Duration) []Entry {
	var passed []Entry
	l.delayed = slices.DeleteFunc(l.delayed, func(e Entry) bool {
		due := now.Sub(l.passedAt[e.Key]) >= every
		if due {
			passed = append(passed, e)
		}
		return due
	})
	for key, at := range l.passedAt {
		if now.Sub(at) >= every {
			delete(l.passedAt, key)
		}
	}
	for i := range passed {
		l.passedAt[passed[i].Key] = now
	}
	return passed
}

// releaseDelayed merges the delayed changes that are due and passes them on.
func (c *Core) releaseDelayed() {
	if passed := c.limiter.release(c.now, c.cfg.MinChangeInterval); len(passed) > 0 {
		c.relay(c.self, c.merge(passed))
	}
}
