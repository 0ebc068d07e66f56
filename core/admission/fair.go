package admission

import "container/heap"

// flow is the state of one caller in one class.
type flow struct {
	name   string
	weight float64
	// tag is the virtual start time of the caller's next item.
	tag float64
	// order breaks ties between equal tags by the order in which flows were created.
	order      uint64
	head, tail *entry
	queued     int
	inFlight   int
	// index is the position in the heap of waiting callers, or -1.
	index int
	// An idle caller has nothing queued or in flight, but its tag is ahead of virtual
	// time: a debt. idlePrev and idleNext link the idle callers.
	idle               bool
	idlePrev, idleNext *flow
}

func (f *flow) push(e *entry) {
	e.prev, e.next = f.tail, nil
	if f.tail != nil {
		f.tail.next = e
	} else {
		f.head = e
	}
	f.tail = e
	f.queued++
}

func (f *flow) remove(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.tail = e.prev
	}
	e.prev, e.next = nil, nil
	f.queued--
}

// flowHeap orders waiting callers by virtual start time.
//
// Its methods are duplicated in expiryHeap and in core/balance: one generic heap for all
// three was about a tenth slower with a backlog (BenchmarkOfferDoneBacklog, minimum of
// 12 alternating runs: 715 ns instead of 647 ns).
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// fairQueue is start-time fair queueing (Goyal, Vin and Cheng, 1996) over the
// callers of one class. Each caller's next item has a virtual start time, its tag. The
// caller with the smallest tag is served, and its tag then advances by slot time
// divided by weight. Choosing a caller costs O(log callers).
type fairQueue struct {
	flows   map[string]*flow
	waiting flowHeap
	// virtual is the virtual time: the tag of the item started last.
	virtual float64
	// weights is the sum of the weights of callers with waiting items.
	weights float64
	queued  int
	order   uint64
	// The list of idle callers, oldest first. It is kept so that a caller can't get rid
	// of its debt by pausing; idleCap bounds memory when callers invent names.
	idleHead, idleTail *flow
	idleCount, idleCap int
	free               *flow
}

func newFairQueue(idleCap int) fairQueue {
	return fairQueue{flows: make(map[string]*flow), idleCap: idleCap}
}

// flow returns the caller's state, which it creates if there is none.
func (q *fairQueue) flow(name string, weight float64) *flow {
	f := q.flows[name]
	if f == nil {
		f = q.newFlow(name)
	}
	if f.idle {
		q.unlinkIdle(f)
	}
	if f.queued == 0 {
		f.weight = weight
	}
	return f
}

func (q *fairQueue) newFlow(name string) *flow {
	f := q.free
	if f == nil {
		f = &flow{}
	} else {
		q.free = f.idleNext
	}
	q.order++
	*f = flow{name: name, tag: q.virtual, order: q.order, index: -1}
	q.flows[name] = f
	return f
}

func (q *fairQueue) enqueue(e *entry) {
	f := e.caller
	f.push(e)
	q.queued++
	if f.queued > 1 {
		return
	}
	f.tag = max(f.tag, q.virtual)
	q.weights += f.weight
	heap.Push(&q.waiting, f)
}

// dequeue removes the next item in fair order and charges its caller.
func (q *fairQueue) dequeue() *entry {
	f := q.waiting[0]
	e := f.head
	q.virtual = max(q.virtual, f.tag)
	f.tag += e.cost / f.weight
	q.unlink(e)
	return e
}

// unlink removes a waiting item without charging its caller.
func (q *fairQueue) unlink(e *entry) {
	f := e.caller
	f.remove(e)
	q.queued--
	if f.queued > 0 {
		heap.Fix(&q.waiting, f.index)
		return
	}
	heap.Remove(&q.waiting, f.index)
	q.weights -= f.weight
	if len(q.waiting) == 0 {
		q.weights = 0
	}
}

// settle corrects a caller's charge by the difference between actual and estimated
// slot time, so that understating the estimate gains nothing.
func (q *fairQueue) settle(f *flow, difference float64) {
	f.tag += difference / f.weight
	if f.index >= 0 {
		heap.Fix(&q.waiting, f.index)
	}
}

// releaseIfUnused deletes a caller with nothing queued or in flight, or moves it to the
// idle list if it has a debt.
func (q *fairQueue) releaseIfUnused(f *flow) {
	if f.queued > 0 || f.inFlight > 0 {
		return
	}
	if q.queued == 0 {
		// Nobody waits, so nobody is at a disadvantage and all debts can be dropped.
		q.deleteFlow(f)
		for q.idleHead != nil {
			idle := q.idleHead
			q.unlinkIdle(idle)
			q.deleteFlow(idle)
		}
		return
	}
	if f.tag <= q.virtual {
		q.deleteFlow(f)
		return
	}
	q.linkIdle(f)
	if q.idleCount > q.idleCap {
		q.evictOldestIdle()
	}
}

// evictOldestIdle deletes the caller that has been idle longest and advances virtual
// time to its tag, so that callers that arrive later, the evicted one included, start
// there and not before callers that wait with smaller debts. Otherwise virtual time
// would stand still when there are more callers than idleCap: each is served at the same
// tag, evicted and returns, and a caller that waits with a debt is passed over until its
// deadline.
func (q *fairQueue) evictOldestIdle() {
	oldest := q.idleHead
	q.virtual = max(q.virtual, oldest.tag)
	q.unlinkIdle(oldest)
	q.deleteFlow(oldest)
}

func (q *fairQueue) deleteFlow(f *flow) {
	delete(q.flows, f.name)
	*f = flow{idleNext: q.free, index: -1}
	q.free = f
	if len(q.flows) == 0 {
		// There are no other tags to compare with; restarting at zero keeps them small.
		q.virtual = 0
	}
}

func (q *fairQueue) linkIdle(f *flow) {
	f.idle = true
	f.idlePrev, f.idleNext = q.idleTail, nil
	if q.idleTail != nil {
		q.idleTail.idleNext = f
	} else {
		q.idleHead = f
	}
	q.idleTail = f
	q.idleCount++
}

func (q *fairQueue) unlinkIdle(f *flow) {
	if f.idlePrev != nil {
		f.idlePrev.idleNext = f.idleNext
	} else {
		q.idleHead = f.idleNext
	}
	if f.idleNext != nil {
		f.idleNext.idlePrev = f.idlePrev
	} else {
		q.idleTail = f.idlePrev
	}
	f.idle, f.idlePrev, f.idleNext = false, nil, nil
	q.idleCount--
}
