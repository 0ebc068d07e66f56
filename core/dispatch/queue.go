package dispatch

import (
	"sort"
	"time"
)

// queue holds the requests that wait for a place at any target.
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

// waitingFor is the number of requests that wait for the target and go before one that
// comes now; those that are late already don't.
func (q *queue) waitingFor(target *Load, now time.Time) int {
	n := 0
	for _, r := range q.all {
		if r.target == target && !r.late(now) {
			n++
		}
	}
	return n
}

// ordered returns the requests in the order in which they are to be placed: urgent ones
// first, among equals those whose answer can still be in time before those for which it
// is late already, then the oldest.
//
// It answers a burst: in order of arrival alone, a queue that has grown beyond the time
// in which answers have their worth makes every later answer late as well.
func (q *queue) ordered(now time.Time) []*Request {
	sorted := append([]*Request(nil), q.all...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		if late := a.late(now); late != b.late(now) {
			return !late
		}
		return a.since.Before(b.since)
	})
	return sorted
}

func (r *Request) late(now time.Time) bool { return !r.Due.IsZero() && now.After(r.Due) }
