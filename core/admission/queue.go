package admission

import (
	"container/heap"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// enqueue adds an item to its class's queue or refuses it.
func (g *Gate) enqueue(now time.Time, item Item, class int) Decision {
	q := &g.queues[class]
	if q.queued >= g.cfg.QueueLength {
		return refuse(fault.QueueFull, g.retryAfter(class, float64(q.queued)/2))
	}
	own, weight := 0, item.Weight
	if f := q.flows[item.Caller]; f != nil && f.queued > 0 {
		own, weight = f.queued, f.weight
	}
	if own >= g.callerRoom(q) {
		return refuse(fault.CallerLimit, g.retryAfter(class, g.ahead(q, own, weight)/2))
	}
	cost := g.expectedService(&item, class)
	if !item.Deadline.IsZero() {
		wait := g.waitFor(class, g.ahead(q, own, weight))
		needed := wait + seconds(g.upperService(&item, class))
		allowed := time.Duration(g.cfg.DeadlineShare * float64(item.Deadline.Sub(now)))
		if needed > allowed {
			return refuse(fault.DeadlineUnmeetable, g.clampRetry(needed-allowed))
		}
	}
	e := g.newEntry(item)
	e.cost = cost
	e.queued = true
	e.caller = q.flow(item.Caller, item.Weight)
	g.entries[item.ID] = e
	q.enqueue(e)
	if !item.Deadline.IsZero() {
		e.latestStart = item.Deadline.Add(-seconds(cost))
		heap.Push(&g.expiries, e)
	}
	return Decision{Verdict: Queue}
}

// callerRoom returns how many items one caller may have waiting: a fraction of the free
// places, so that a new caller always finds one (the dynamic thresholds of Choudhury and
// Hahne, 1998). Otherwise one caller's flood would fill the queue and every other caller
// would be refused.
func (g *Gate) callerRoom(q *fairQueue) int {
	room := float64(g.cfg.QueueLength-q.queued) * g.cfg.CallerShare
	return max(int(room), 1)
}

// ahead estimates how many items are served before the next item of a caller that has
// own items waiting, given that callers are served in proportion to their weights.
func (g *Gate) ahead(q *fairQueue, own int, weight float64) float64 {
	weights := q.weights
	if own == 0 {
		weights += weight
	}
	fair := float64(own+1)*weights/weight - 1
	return min(fair, float64(q.queued))
}

// waitFor estimates how long an item waits for a slot when ahead items are served first.
func (g *Gate) waitFor(class int, ahead float64) time.Duration {
	rate := g.drainRate(class)
	return seconds((ahead + 1) / rate)
}

// drainRate returns how many items of the class start per second while it has a backlog.
func (g *Gate) drainRate(class int) float64 {
	slots := float64(max(g.limiter.Limit()-len(g.holds), 1))
	other := g.queues[1-class].queued > 0
	share := 1.0
	switch {
	case class == int(request.Interactive) && other:
		share = 1 - g.cfg.BatchShare
	case class == int(request.Batch) && other:
		share = max(g.cfg.BatchShare, 0.01)
	}
	return share * slots / max(g.service[class].mean, 1e-6)
}

func (g *Gate) retryAfter(class int, items float64) time.Duration {
	return g.clampRetry(g.waitFor(class, items))
}

func (g *Gate) clampRetry(d time.Duration) time.Duration {
	return min(max(d, g.cfg.MinRetryAfter), g.cfg.MaxRetryAfter)
}

// expectedService returns the expected service time of an item, in seconds.
func (g *Gate) expectedService(item *Item, class int) float64 {
	if item.EstimatedService > 0 {
		return item.EstimatedService.Seconds()
	}
	return g.service[class].mean
}

// upperService returns the item's own estimate or a service time that few items of the
// class exceed, in seconds.
func (g *Gate) upperService(item *Item, class int) float64 {
	if item.EstimatedService > 0 {
		return item.EstimatedService.Seconds()
	}
	return g.service[class].upper()
}

// advance refuses the items that can no longer meet their deadline and fills the free
// slots.
func (g *Gate) advance(now time.Time) Actions {
	g.resetActions()
	g.dropExpiredHolds(now)
	for len(g.expiries) > 0 && !g.expiries[0].latestStart.After(now) {
		e := g.expiries[0]
		class := classOf(e.item.Class)
		g.leaveQueue(e)
		g.queues[class].unlink(e)
		g.refuseQueued(e, fault.DeadlineUnmeetable, g.retryAfter(class, float64(g.queues[class].queued)))
	}
	for {
		class, ok := g.nextClass(now)
		if !ok {
			return g.actions
		}
		g.start(now, class)
	}
}

// nextClass returns the class of which an item starts next. Batch work goes first if its
// credit covers the item or a spare slot is free.
func (g *Gate) nextClass(now time.Time) (int, bool) {
	const interactive, batch = int(request.Interactive), int(request.Batch)
	if g.usedSlots(now) >= g.limiter.Limit() {
		return 0, false
	}
	if q := &g.queues[batch]; q.queued > 0 && g.mayStart(now, batch, q.waiting[0].head.cost) {
		return batch, true
	}
	return interactive, g.queues[interactive].queued > 0
}

func (g *Gate) start(now time.Time, class int) {
	q := &g.queues[class]
	e := q.waiting[0].head
	g.begin(now, e, class)
	q.dequeue()
	e.caller.inFlight++
	g.leaveQueue(e)
	g.actions.Start = append(g.actions.Start, e.item.ID)
}

// refuseQueued refuses an item that has been removed from its queue.
func (g *Gate) refuseQueued(e *entry, kind fault.Kind, after time.Duration) {
	g.actions.Refuse = append(g.actions.Refuse, Refusal{ID: e.item.ID, Kind: kind, RetryAfter: after})
	g.discard(e)
}

// discard deletes an item that never started.
func (g *Gate) discard(e *entry) {
	delete(g.entries, e.item.ID)
	g.queues[classOf(e.item.Class)].releaseIfUnused(e.caller)
	g.freeEntry(e)
}
