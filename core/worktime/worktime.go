// Package worktime knows how long work of a kind has recently taken at most, for the decision whether it can still be begun
// before a fixed end. It is not safe for concurrent use.
package worktime

import (
	"maps"
	"time"
)

// Window is how long a time is remembered at least; it is forgotten after twice as long.
const Window = 30 * time.Second

// Longest has the longest recent time by kind of work. The zero value is ready to use.
type Longest struct{ kinds map[string]*kind }

// kind has the longest times of the current window and of the one before.
type kind struct {
	since            time.Time
	current, earlier time.Duration
}

// Record adds how long work took that ended at now.
func (l *Longest) Record(now time.Time, name string, took time.Duration) {
	k := l.kinds[name]
	if k == nil {
		l.forget(now)
		k = &kind{since: now}
		l.kinds[name] = k
	}
	k.advance(now)
	k.current = max(k.current, took)
}

// forget removes the kinds of which no time is known any more.
func (l *Longest) forget(now time.Time) {
	if l.kinds == nil {
		l.kinds = map[string]*kind{}
	}
	maps.DeleteFunc(l.kinds, func(_ string, k *kind) bool { return now.Sub(k.since) >= 2*Window })
}

// Of returns the longest recent time; false if none is known.
func (l *Longest) Of(now time.Time, name string) (longest time.Duration, known bool) {
	k := l.kinds[name]
	if k == nil {
		return 0, false
	}
	k.advance(now)
	longest = max(k.current, k.earlier)
	return longest, longest > 0
}

func (k *kind) advance(now time.Time) {
	switch passed := now.Sub(k.since); {
	case passed >= 2*Window:
		k.since, k.current, k.earlier = now, 0, 0
	case passed >= Window:
		k.since, k.current, k.earlier = k.since.Add(Window), 0, k.current
	}
}
