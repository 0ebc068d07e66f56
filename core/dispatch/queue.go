package dispatch

import (
	"sort"
	"time"
)

// queue holds the requests that wait for a place at a target.
type queue struct {
	all []*Request
}

func (q *queue) empty() bool { return len(q.all) == 0 }

func (q *queue) add(r *Request) { q.all = append(q.all, r) }

func (q *queue) remove(id uint64) bool {
	for i, r := range q.all {
		if r.ID == id {
			q.all = append(q.all[:i], q.all[i+1:]...)
			return true
		}
	}
	return false
}

// waitingFor returns the number of requests that wait for the target, or for any if it is nil, and
// go before a new one. Requests that are already late go after it and don't count.
func (q *queue) waitingFor(target *targetState, now time.Time) int {
	n := 0
	for _, r := range q.all {
		if r.target == target && !r.late(now) {
			n++
		}
	}
	return n
}

// ordered returns the requests in the order in which they get places: by priority, then those
// that are not late before those that are, then by age.
//
// In order of arrival alone, after a burst that makes the wait longer than the objective, every
// later answer would be late as well.
func (q *queue) ordered(now time.Time) []*Request {
	sorted := append([]*Request(nil), q.all...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if late := a.late(now); late != b.late(now) {
			return !late
		}
		return a.arrivedAt.Before(b.arrivedAt)
	})
	return sorted
}

// late reports whether the request has missed its objective.
func (r *Request) late(now time.Time) bool { return !r.Due.IsZero() && now.After(r.Due) }
