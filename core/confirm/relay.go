package confirm

import (
	"slices"
	"time"
)

// waiter is a question that waits for a list call, either this router's own or another
// router's.
type waiter struct {
	queuedAt time.Duration
	// own is set for this router's own question, from and message for another router's.
	own     *question
	from    string
	message Message
	// urgent says that the question doesn't wait for others to share its call.
	urgent bool
	// pendingSent says that the asker was sent a Pending.
	pendingSent bool
	// earlier is by how much the asker's next question should be sent sooner.
	earlier time.Duration
}

// listCall is a list call in flight, with the questions that were queued before it was sent.
type listCall struct {
	id      uint64
	sentAt  time.Duration
	waiters []*waiter
}

func (c *Core) receive(e Received) {
	if e.Message.Kind == Question {
		c.receiveQuestion(e)
		return
	}
	c.receiveReply(e)
}

// receiveQuestion handles a question of another router. The question waits for a list call
// that has not been sent yet: the store may have executed a call in flight before the asker
// sent the question, so an answer from it could confirm a grantor that was superseded in
// between.
func (c *Core) receiveQuestion(e Received) {
	c.lastRemoteQuestionAt = c.now
	a := &waiter{queuedAt: c.now, from: e.From.Name, message: e.Message}
	if len(c.queued) >= maxQueued || len(e.Message.Known) > MaxTargets {
		c.reply(a, Refusal, nil)
		return
	}
	if c.cfg.omit == omitFresh && len(c.calls) > 0 {
		last := c.calls[len(c.calls)-1]
		last.waiters = append(last.waiters, a)
		return
	}
	c.queued = append(c.queued, a)
}

// serveQueued sends the next list call when it is due and sends Pending to askers that have
// waited for long.
func (c *Core) serveQueued() {
	c.calls = slices.DeleteFunc(c.calls, func(l *listCall) bool { return c.now-l.sentAt >= c.cfg.staleAfter() })
	if c.listDue() {
		c.sendList()
	}
	for _, a := range c.withoutPending() {
		if c.now-a.queuedAt >= c.cfg.pendingDelay() {
			a.pendingSent = true
			c.reply(a, Pending, nil)
		}
	}
}

func (c *Core) listDue() bool {
	if c.hedgeDue() {
		return true
	}
	if len(c.queued) == 0 || len(c.calls) >= maxLists {
		return false
	}
	urgent := slices.ContainsFunc(c.queued, func(a *waiter) bool { return a.urgent })
	return urgent || c.now >= c.nextListAt()
}

// nextListAt returns when the queued questions get their list call. The call that all askers
// should share doesn't wait for listSpacing: otherwise a call for an asker out of step would
// delay it, and in the next interval all askers would seem to be out of step.
func (c *Core) nextListAt() time.Duration {
	spaced := min(c.lastListAt+c.cfg.listSpacing(), c.nextSharedCallAt())
	return max(spaced, c.gatheredAt())
}

// nextSharedCallAt returns the earliest time at which a call counts as the next one that all
// askers should share.
func (c *Core) nextSharedCallAt() time.Duration {
	return c.sharedCallAt + c.cfg.Interval - 2*c.cfg.gatherDelay()
}

// gatheredAt returns when the queued questions need not wait any longer for others to share
// their call.
func (c *Core) gatheredAt() time.Duration {
	first := c.queued[0].queuedAt
	if noOthers, idle := first-c.lastRemoteQuestionAt >= c.cfg.staleAfter(), first-c.sharedCallAt >= 2*c.cfg.Interval; noOthers || idle {
		return first
	}
	return first + c.cfg.gatherDelay()
}

// sendList sends a list call for all queued questions.
func (c *Core) sendList() {
	c.align()
	c.lastListID++
	c.calls = append(c.calls, &listCall{id: c.lastListID, sentAt: c.now, waiters: c.queued})
	c.queued, c.lastListAt = nil, c.now
	c.stats.Lists++
	c.emit(List{ID: c.lastListID})
}

// align sets by how much askers that are out of step with the others should ask sooner, until
// one list call in each interval serves all questions.
//
// Askers don't know of each other, and each asks again one Interval after its last question.
// Without align they would keep the offsets at which they started, and a relay would make two
// list calls in each interval and be woken for each asker separately.
func (c *Core) align() {
	if c.now >= c.nextSharedCallAt() {
		c.sharedCallAt = c.now
		return
	}
	for _, a := range c.queued {
		a.earlier = min(max(a.queuedAt-c.sharedCallAt, 0)+c.cfg.gatherDelay()/2, c.cfg.listSpacing())
	}
}

// canHedge reports whether a second call may be sent in parallel to this one if it is late: it
// must be the last call in flight and carry questions. The second call carries only questions
// that were queued since, and its result also answers the questions of the first call.
func (c *Core) canHedge(l *listCall) bool {
	return len(l.waiters) > 0 && l == c.calls[len(c.calls)-1] && len(c.calls) < maxLists
}

func (c *Core) hedgeDue() bool {
	if len(c.calls) == 0 {
		return false
	}
	last := c.calls[len(c.calls)-1]
	return c.canHedge(last) && c.now-last.sentAt >= c.cfg.hedgeDelay()
}

// withoutPending returns the questions of other routers that have been sent neither an answer
// nor a Pending.
func (c *Core) withoutPending() []*waiter {
	var out []*waiter
	collect := func(waiters []*waiter) {
		for _, a := range waiters {
			if a.own == nil && !a.pendingSent {
				out = append(out, a)
			}
		}
	}
	for _, l := range c.calls {
		collect(l.waiters)
	}
	collect(c.queued)
	return out
}

// nextPendingAt returns when the first Pending is due, or latest if that is earlier.
func (c *Core) nextPendingAt(latest time.Duration) time.Duration {
	for _, a := range c.withoutPending() {
		latest = min(latest, a.queuedAt+c.cfg.pendingDelay())
	}
	return latest
}

// receiveList answers the questions of the call that returned, and also those of calls sent
// before it, because their questions are older.
func (c *Core) receiveList(e Listed) {
	i := slices.IndexFunc(c.calls, func(l *listCall) bool { return l.id == e.ID })
	if i < 0 {
		return
	}
	l := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	if !e.OK {
		c.listFailed(l, i)
		return
	}
	for _, earlier := range c.calls[:i] {
		c.answerAll(earlier, e.Records)
	}
	c.answerAll(l, e.Records)
}

// listFailed moves the questions of a failed call to the call sent after it, or refuses them
// if there is none.
func (c *Core) listFailed(l *listCall, at int) {
	if at < len(c.calls) {
		next := c.calls[at]
		next.waiters = append(l.waiters, next.waiters...)
		return
	}
	for _, a := range l.waiters {
		if a.own == nil {
			c.reply(a, Refusal, nil)
		}
	}
}

func (c *Core) answerAll(l *listCall, records []Record) {
	for _, a := range l.waiters {
		if a.own == nil {
			c.answer(a, records)
			continue
		}
		c.stats.Own += uint64(len(a.own.reads))
		c.probeDone(a.own, c.now-a.queuedAt)
		c.confirm(a.own, findAll(a.own.baseline, records), a.earlier)
	}
	l.waiters = nil
}

func findAll(wanted, records []Record) []Record {
	found := make([]Record, len(wanted))
	for i := range wanted {
		found[i] = find(records, wanted[i].Target)
	}
	return found
}

// answer sends the records that the asker doesn't know yet.
func (c *Core) answer(a *waiter, records []Record) {
	var changed []Change
	size := 0
	for i, known := range a.message.Known {
		rec := find(records, known.Target)
		if rec.Revision == known.Revision {
			continue
		}
		size += len(rec.Value)
		changed = append(changed, Change{Index: i, Revision: rec.Revision, Value: rec.Value})
	}
	if size > maxAnswerBytes {
		c.reply(a, Refusal, nil)
		return
	}
	c.stats.Served++
	c.reply(a, Answer, changed)
}

func (c *Core) reply(a *waiter, kind Kind, changed []Change) {
	answer := Message{Kind: kind, Incarnation: a.message.Incarnation, Sequence: a.message.Sequence, Changed: changed, Earlier: a.earlier}
	c.emit(Send{To: a.from, Message: answer, Lossy: !a.message.Reliable && len(changed) == 0})
}
