package admission

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// classes is the number of priority classes.
const classes = 2

// Gate is the admission state of one target.
type Gate struct {
	cfg     Config
	limiter *Limiter

	entries map[ID]*entry
	queues  [classes]fairQueue
	service [classes]estimate
	// inFlight counts items in flight by class.
	inFlight [classes]int
	expiries expiryHeap
	// holds are the times at which held slots become free, in ascending order. Slots
	// are held for work that the target may still be doing.
	holds []time.Time
	// inherited is the number of slots held until inheritedUntil for work that the
	// previous grantor sent.
	inherited      int
	inheritedUntil time.Time
	credit         batchCredit
	headroom       headroom
	// interactiveUntil is the time up to which interactive work counts as recent.
	interactiveUntil time.Time

	draining  bool
	drainKind fault.Kind

	free    *entry
	actions Actions
}

// New returns a Gate for one target.
func New(cfg Config) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{cfg: cfg, entries: make(map[ID]*entry)}
	g.headroom = headroom{minimum: cfg.BatchHeadroom, slots: float64(cfg.BatchHeadroom)}
	for class := range g.queues {
		g.queues[class] = newFairQueue(cfg.QueueLength)
		g.service[class] = newEstimate(cfg.InitialService)
	}
	g.setLimiter(cfg.Slots)
	return g
}

// setLimiter replaces the limiter. With a known number of slots the limit starts at that
// number, and unless Config.AdaptBelowSlots is set only the target's own refusals
// lower it.
func (g *Gate) setLimiter(slots int) {
	limits := g.cfg.Adaptive
	if slots > 0 {
		limits.Cap = slots
		limits.Initial = slots
		limits.Floor = min(max(limits.Floor, 1), slots)
	}
	g.cfg.Slots = slots
	g.limiter = NewLimiter(limits, slots <= 0 || g.cfg.AdaptBelowSlots)
}

// SetSlots changes the number of slots; zero means unknown. If more requests than that
// are in flight they continue, and nothing starts until fewer are.
func (g *Gate) SetSlots(now time.Time, slots int) Actions {
	if slots != g.cfg.Slots {
		g.setLimiter(slots)
	}
	return g.advance(now)
}

// Offer asks for a slot. The answer is final unless it is Queue.
func (g *Gate) Offer(now time.Time, item Item) Decision {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	class := classOf(item.Class)
	if class == int(request.Interactive) {
		g.interactiveUntil = now.Add(g.cfg.InteractiveWindow)
	}
	if g.draining {
		return refuse(g.drainKind, 0)
	}
	if _, held := g.entries[item.ID]; held {
		return refuse(fault.Internal, 0)
	}
	if !item.Deadline.IsZero() && now.Add(item.EstimatedService).After(item.Deadline) {
		return refuse(fault.DeadlineUnmeetable, g.cfg.MinRetryAfter)
	}
	if class == int(request.Batch) && g.queues[class].queued == 0 {
		g.credit.limitToReserve(g.service[class].mean)
	}
	cost := g.expectedService(&item, class)
	direct := g.queues[class].queued == 0 && g.mayStart(now, class, cost)
	if class == int(request.Interactive) && g.inFlight[request.Batch] > 0 {
		limit := g.limiter.Limit()
		g.headroom.observe(!direct && g.inFlight[class] < limit, limit)
	}
	if direct {
		g.admitDirectly(now, item, class, cost)
		return Decision{Verdict: Admit}
	}
	return g.enqueue(now, item, class)
}

func (g *Gate) admitDirectly(now time.Time, item Item, class int, cost float64) {
	e := g.newEntry(item)
	e.cost = cost
	g.entries[item.ID] = e
	g.begin(now, e, class)
}

// begin counts an item as in flight and charges or pays into the batch credit.
func (g *Gate) begin(now time.Time, e *entry, class int) {
	switch {
	case class == int(request.Interactive) && g.queues[request.Batch].queued > 0:
		e.creditRate = creditPerSecond(g.cfg.BatchShare)
	case class == int(request.Batch) && g.hasSpareSlot(now):
		g.credit.chargeSpare(e.cost, g.service[class].mean)
	case class == int(request.Batch):
		e.creditRate = -1
	}
	g.inFlight[class]++
	g.credit.add(e.creditRate * e.cost)
}

// Done frees the slot of an item. elapsed is the time since the item started. It
// returns the items that start in its place. An unknown id is ignored.
func (g *Gate) Done(now time.Time, id ID, outcome Outcome, elapsed time.Duration) Actions {
	e := g.entries[id]
	if e == nil || e.queued {
		return g.advance(now)
	}
	class := classOf(e.item.Class)
	g.observe(now, e, class, outcome, elapsed)
	g.inFlight[class]--
	delete(g.entries, id)
	correction := actualCost(outcome, elapsed) - e.cost
	g.credit.add(e.creditRate * correction)
	if f := e.caller; f != nil {
		f.inFlight--
		g.queues[class].settle(f, correction)
		g.queues[class].releaseIfUnused(f)
	}
	g.freeEntry(e)
	return g.advance(now)
}

// observe updates the estimates, the limiter and the held slots.
func (g *Gate) observe(now time.Time, e *entry, class int, outcome Outcome, elapsed time.Duration) {
	total := g.inFlight[0] + g.inFlight[1]
	switch outcome {
	case Finished:
		g.service[class].add(elapsed)
		g.limiter.Finished(elapsed, total)
	case Shed:
		g.limiter.Shed(now, seconds(g.service[class].mean))
	case Unknown:
		g.service[class].addAtLeast(elapsed)
		g.hold(now, class)
	case UnknownSlowCaller:
		// If this counted as service time, a few bodies sent very slowly would make every
		// deadline look unmeetable, and no request could wait for the slots they occupy.
		g.hold(now, class)
	}
}

func actualCost(outcome Outcome, elapsed time.Duration) float64 {
	if outcome == NotSent {
		return 0
	}
	return max(elapsed.Seconds(), 0)
}

// Cancel removes a waiting item. It returns false if the item is in flight or unknown;
// an item in flight is ended only by Done.
func (g *Gate) Cancel(_ time.Time, id ID) bool {
	e := g.entries[id]
	if e == nil || !e.queued {
		return false
	}
	g.leaveQueue(e)
	g.queues[classOf(e.item.Class)].unlink(e)
	g.discard(e)
	return true
}

// Expire refuses the items that can no longer meet their deadline and starts items for
// which a slot has become free with time. Call it at NextWake.
func (g *Gate) Expire(now time.Time) Actions { return g.advance(now) }

// NextWake returns the time at which Expire should be called; the zero time means never.
func (g *Gate) NextWake() time.Time {
	var wake time.Time
	if len(g.expiries) > 0 {
		wake = g.expiries[0].latestStart
	}
	if g.queues[0].queued+g.queues[1].queued == 0 {
		return wake
	}
	if len(g.holds) > 0 {
		wake = earlier(wake, g.holds[0])
	}
	if g.inherited > 0 {
		wake = earlier(wake, g.inheritedUntil)
	}
	occupied := g.inFlight[0] + g.inFlight[1] + len(g.holds) + min(g.inherited, g.limiter.Limit())
	if g.queues[request.Batch].queued > 0 && occupied < g.limiter.Limit() {
		// A slot is free, so only the headroom can keep batch work from starting.
		wake = earlier(wake, g.interactiveUntil)
	}
	return wake
}

// Drain refuses all waiting items with kind, as not run, and every item offered until
// Resume. Work in flight continues to its end.
func (g *Gate) Drain(_ time.Time, kind fault.Kind) Actions {
	g.resetActions()
	g.draining, g.drainKind = true, kind
	for class := range g.queues {
		q := &g.queues[class]
		for q.queued > 0 {
			e := q.waiting[0].head
			g.leaveQueue(e)
			q.unlink(e)
			g.refuseQueued(e, kind, 0)
		}
	}
	return g.actions
}

// Resume ends a drain.
func (g *Gate) Resume() { g.draining = false }

// Stats returns a snapshot.
func (g *Gate) Stats(now time.Time) Stats {
	used := g.usedSlots(now)
	inFlight := g.inFlight[0] + g.inFlight[1]
	return Stats{
		Limit:              g.limiter.Limit(),
		InFlight:           inFlight,
		Held:               used - inFlight,
		QueuedInteractive:  g.queues[request.Interactive].queued,
		QueuedBatch:        g.queues[request.Batch].queued,
		Callers:            len(g.queues[0].flows) + len(g.queues[1].flows),
		ServiceInteractive: seconds(g.service[request.Interactive].mean),
		ServiceBatch:       seconds(g.service[request.Batch].mean),
		Draining:           g.draining,
	}
}

func (g *Gate) resetActions() {
	g.actions.Start = g.actions.Start[:0]
	g.actions.Refuse = g.actions.Refuse[:0]
}

func classOf(c request.Class) int {
	if c == request.Batch {
		return int(request.Batch)
	}
	return int(request.Interactive)
}

func refuse(kind fault.Kind, after time.Duration) Decision {
	return Decision{Verdict: Refuse, Kind: kind, RetryAfter: after}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
