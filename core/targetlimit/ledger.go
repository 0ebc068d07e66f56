package targetlimit

import (
	"time"

	"tarragongw/core/keyspace"
)

const (
	// leastOver is the time over which the least limit that a target states counts, so that a rise is believed only once it
	// has lasted.
	leastOver = 4 * time.Second
	// endDelay is how long after it was last stated a limit ends at the earliest. Answers of one moment come in any order.
	endDelay = time.Second
	// checkAfter is how long after its last answer a target that states a limit is asked by a status check.
	checkAfter = 2 * time.Second
	// maxSilence is for how long a limit holds while the target answers nothing.
	maxSilence = 30 * time.Second
)

// Ledger has the limits of all targets and the permits for them. There is one, at the leader. It is not safe for concurrent
// use.
type Ledger struct {
	entries map[keyspace.Holder]*entry
}

type entry struct {
	limit Limit
	// leastAt is when limit.PerSecond, or less, was last stated, and statedAt when any limit was.
	leastAt, statedAt time.Time
	// unstated is when the newest request was sent whose answer stated no limit.
	unstated time.Time
	// heardAt is when the target last answered, and checkedAt when it was last asked by a status check. checksState is set once
	// a status check's answer has stated a limit.
	heardAt, checkedAt time.Time
	checksState        bool
	bucket             bucket
}

// NewLedger returns the ledger of a new leader that knows of some limits. It has no permits yet: the leader before may have
// given some just now.
func NewLedger(now time.Time, known []Limit) *Ledger {
	l := &Ledger{entries: map[keyspace.Holder]*entry{}}
	for _, limit := range known {
		l.State(now, limit)
	}
	return l
}

// State records that a target has stated a limit in an answer that arrived at a time. It reports whether the limit in force has
// changed.
func (l *Ledger) State(at time.Time, stated Limit) bool {
	e := l.entries[stated.Holder]
	if e == nil {
		e = &entry{limit: stated, leastAt: at, statedAt: at, heardAt: at, bucket: newBucket(at, stated.PerSecond)}
		l.entries[stated.Holder] = e
		return true
	}
	e.statedAt, e.heardAt = laterOf(e.statedAt, at), laterOf(e.heardAt, at)
	switch {
	case stated.PerSecond == e.limit.PerSecond:
		e.leastAt = laterOf(e.leastAt, at)
		return false
	case stated.PerSecond > e.limit.PerSecond && at.Sub(e.leastAt) < leastOver:
		return false
	}
	e.bucket.refill(at)
	e.limit.PerSecond, e.leastAt = stated.PerSecond, at
	e.bucket.setRate(stated.PerSecond)
	return true
}

// Unstated records that the answer to a request that was sent at a time stated no limit. The target then stated none after that
// time.
func (l *Ledger) Unstated(now, sentAt time.Time, holder keyspace.Holder) {
	if e := l.entries[holder]; e != nil {
		e.unstated, e.heardAt = laterOf(e.unstated, sentAt), laterOf(e.heardAt, now)
	}
}

// Checked records the answer to a status check that was sent at a time. stated is nil if it stated no limit, which says
// something only of targets that state it in such answers. It reports whether the limit in force has changed.
func (l *Ledger) Checked(now, sentAt time.Time, holder keyspace.Holder, stated *Limit) bool {
	e := l.entries[holder]
	switch {
	case e == nil:
		return false
	case stated != nil:
		e.checksState = true
		return l.State(now, *stated)
	case e.checksState:
		l.Unstated(now, sentAt, holder)
	}
	return false
}

// DueChecks returns the targets that are to be asked by a status check now. A target is asked when it begins to state a limit,
// and again while it answers nothing.
func (l *Ledger) DueChecks(now time.Time) []Limit {
	var due []Limit
	for _, e := range l.entries {
		first := e.checkedAt.IsZero()
		if !first && (now.Sub(e.heardAt) < checkAfter || now.Sub(e.checkedAt) < checkAfter) {
			continue
		}
		e.checkedAt = now
		due = append(due, e.limit)
	}
	sortLimits(due)
	return due
}

// Expire ends the limits that targets no longer state, and those of targets that have long been silent. It returns them.
func (l *Ledger) Expire(now time.Time) []Limit {
	var ended []Limit
	for holder, e := range l.entries {
		unstated := e.unstated.After(e.statedAt) && now.Sub(e.statedAt) >= endDelay
		if unstated || now.Sub(e.heardAt) >= maxSilence {
			ended = append(ended, e.limit)
			delete(l.entries, holder)
		}
	}
	sortLimits(ended)
	return ended
}

// Take takes up to n permits for requests to a target, and returns how many there were and after what time to ask again. Any
// number is given for a target without a limit.
func (l *Ledger) Take(now time.Time, holder keyspace.Holder, n int, retry bool) (granted int, wait time.Duration) {
	e := l.entries[holder]
	if e == nil {
		return n, 0
	}
	return e.bucket.take(now, n, retry)
}

// Debit counts a status check that is sent to a target.
func (l *Ledger) Debit(now time.Time, holder keyspace.Holder) {
	if e := l.entries[holder]; e != nil {
		e.bucket.debit(now)
	}
}

// Limits returns all limits in force.
func (l *Ledger) Limits() []Limit {
	all := make([]Limit, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e.limit)
	}
	sortLimits(all)
	return all
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
