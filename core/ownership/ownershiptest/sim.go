package ownershiptest

import (
	"container/heap"
	"time"
)

// sim runs functions in order of time; functions with equal times run in order of
// insertion.
type sim struct {
	now      time.Duration
	queue    eventQueue
	inserted int
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (s *sim) after(d time.Duration, run func()) {
	s.inserted++
	heap.Push(&s.queue, simEvent{s.now + d, s.inserted, run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}
