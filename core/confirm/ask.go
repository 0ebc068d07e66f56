package confirm

import (
	"slices"
	"time"
)

// question is a question of this router that has not been answered.
type question struct {
	sequence uint64
	relay    string
	sentAt   time.Duration
	deadline time.Duration
	reads    []Read
	// baseline holds the records whose revisions the question gives. An answer leaves out
	// records that are unchanged; it refers to these, whatever this router has learnt since.
	baseline []Record
	// pending says that the relay is waiting for the store, probe that this router reads in
	// its place to see whether the store is slow.
	pending bool
	probe   bool
	// lossy says that question and answer may take the transport that loses more messages.
	lossy bool
}

// ask sends the question to a relay, or queues it for a list call of this router.
func (c *Core) ask(reads []Read) {
	c.lastSequence++
	q := &question{sequence: c.lastSequence, sentAt: c.now, reads: reads}
	for _, r := range reads {
		h := c.known[r.Target]
		h.Target, h.askedAt = r.Target, c.now
		c.known[r.Target] = h
		q.baseline = append(q.baseline, h.Record)
	}
	switch to := c.choose(); to {
	case "":
		c.readDirectly(q, NoRelay)
	case c.cfg.Self.Name:
		c.queued = append(c.queued, &waiter{own: q, queuedAt: c.now})
	default:
		q.relay, q.deadline = to, c.now+c.cfg.answerTimeout()
		q.lossy = c.now >= c.lossyFailures[to].until
		c.questions = append(c.questions, q)
		c.emit(Send{To: to, Message: c.questionMessage(q), Lossy: q.lossy})
	}
}

func (c *Core) questionMessage(q *question) Message {
	m := Message{Kind: Question, Incarnation: c.cfg.Self.Incarnation, Sequence: q.sequence, Reliable: !q.lossy}
	for _, h := range q.baseline {
		m.Known = append(m.Known, Known{Target: h.Target, Revision: h.Revision})
	}
	return m
}

// readDirectly queues the question for an immediate list call of this router, within the limit
// on fallbacks. Beyond the limit the question is dropped: core/ownership reads by itself if
// confirmations stop.
func (c *Core) readDirectly(q *question, cause Cause) {
	if c.cfg.omit == omitFallback || !c.fallbackTokens.take(c.now, c.cfg.Interval) {
		c.stats.Limited++
		return
	}
	c.stats.Fallbacks[cause]++
	c.queued = append(c.queued, &waiter{own: q, queuedAt: c.now, urgent: true})
}

// expireQuestions handles the questions whose deadline has passed.
func (c *Core) expireQuestions() {
	for _, q := range slices.Clone(c.questions) {
		if c.now < q.deadline {
			continue
		}
		c.removeQuestion(q)
		if c.now-q.deadline >= c.cfg.Interval {
			// This router itself was paused, which says nothing about the relay. An answer now
			// would be of almost no use.
			continue
		}
		if q.pending {
			c.pendingOverdue(q)
			continue
		}
		if q.lossy {
			c.recordLossyFailure(q.relay)
		} else {
			c.suspect(q.relay)
		}
		c.readDirectly(q, Silent)
	}
}

// pendingOverdue handles the deadline of a question whose relay is waiting for the store.
// Either the store is slow, and reads by all askers would slow it further, or the relay is cut
// off from the store. A single read by this router tells which.
func (c *Core) pendingOverdue(q *question) {
	if c.now < c.probeAt {
		if c.now < q.sentAt+c.cfg.pendingTimeout() {
			q.deadline = q.sentAt + c.cfg.pendingTimeout()
			c.questions = append(c.questions, q)
		}
		return
	}
	c.probeAt = c.now + c.cfg.probeInterval()
	q.probe = true
	c.readDirectly(q, Waiting)
}

// probeDone checks how long a probe took. If the store answered fast, the store is not the
// reason for the relay's delay, and the relay is suspected.
func (c *Core) probeDone(q *question, took time.Duration) {
	if q.probe && took <= c.cfg.fastReadLimit() {
		c.suspect(q.relay)
		c.probeAt = c.now
	}
}

func (c *Core) removeQuestion(q *question) {
	c.questions = slices.DeleteFunc(c.questions, func(o *question) bool { return o == q })
}

// receiveReply handles a relay's reply to a question of this router. The incarnation
// identifies replies to questions of an earlier instance: sequence numbers start again with
// each instance, and the earlier question was sent before the question of this instance that
// has the same number.
func (c *Core) receiveReply(e Received) {
	m := &e.Message
	if m.Incarnation != c.cfg.Self.Incarnation && c.cfg.omit != omitIncarnation {
		return
	}
	i := slices.IndexFunc(c.questions, func(q *question) bool { return q.sequence == m.Sequence && q.relay == e.From.Name })
	if i < 0 {
		return
	}
	q := c.questions[i]
	switch m.Kind {
	case Pending:
		q.pending = true
	case Refusal:
		c.removeQuestion(q)
		c.suspect(q.relay)
		c.readDirectly(q, Refused)
	case Answer:
		c.removeQuestion(q)
		delete(c.suspects, q.relay)
		if found, ok := q.applyChanges(m.Changed); ok {
			c.stats.Relayed += uint64(len(found))
			c.confirm(q, found, min(max(m.Earlier, 0), c.cfg.listSpacing()))
		}
	}
}

// applyChanges returns the records that the store held: the baseline with the changes applied.
func (q *question) applyChanges(changed []Change) ([]Record, bool) {
	found := slices.Clone(q.baseline)
	for _, change := range changed {
		if change.Index < 0 || change.Index >= len(found) {
			return nil, false
		}
		found[change.Index].Revision, found[change.Index].Value = change.Revision, change.Value
	}
	return found, true
}

func (c *Core) confirm(q *question, found []Record, earlier time.Duration) {
	for i, rec := range found {
		if h := c.known[rec.Target]; rec.Revision > h.Revision {
			h.Record = rec
			c.known[rec.Target] = h
		}
		c.emit(Confirmed{Record: rec, SentAt: q.reads[i].SentAt, Earlier: earlier})
	}
}

// evictRecords removes records that have not been asked for within staleAfter, because the
// target has another grantor.
func (c *Core) evictRecords() {
	for target, h := range c.known {
		if c.now-h.askedAt > c.cfg.staleAfter() {
			delete(c.known, target)
		}
	}
}
