package membership

// queuedUpdate is a change that is repeated with the next heartbeats, remaining times.
type queuedUpdate struct {
	update    Update
	remaining int
}

// applyAll merges claims and passes on those that changed the view.
func (c *Core) applyAll(updates []Update, by string) {
	for i := range updates {
		if c.apply(updates[i], by) {
			c.enqueue(updates[i])
		}
	}
}

// enqueue pushes a change to some routers at once and repeats it with the next heartbeats.
// Each router that learns of the change does the same, so that it reaches all routers in a
// few hops. Changes dropped from a full queue are found by comparing digests.
func (c *Core) enqueue(u Update) {
	c.pushQueue = replaceUpdate(c.pushQueue, u, c.cfg.MaxQueued)
	for i := range c.repeatQueue {
		if c.repeatQueue[i].update.Member.Name == u.Member.Name {
			c.repeatQueue[i] = queuedUpdate{u, c.cfg.Retransmit}
			c.forward(u)
			return
		}
	}
	if len(c.repeatQueue) >= c.cfg.MaxQueued {
		c.repeatQueue = c.repeatQueue[1:]
	}
	c.repeatQueue = append(c.repeatQueue, queuedUpdate{u, c.cfg.Retransmit})
	c.forward(u)
}

func replaceUpdate(list []Update, u Update, limit int) []Update {
	for i := range list {
		if list[i].Member.Name == u.Member.Name {
			list[i] = u
			return list
		}
	}
	if len(list) >= limit {
		list = list[1:]
	}
	return append(list, u)
}

// sendPushQueue sends new changes to a few random routers, at most once per tick, so that
// changes that occur together share a message.
func (c *Core) sendPushQueue() {
	if len(c.pushQueue) == 0 || c.now.Sub(c.pushedAt) < c.cfg.Tick {
		return
	}
	c.pushedAt = c.now
	n := min(len(c.pushQueue), c.cfg.MaxUpdates)
	batch := c.pushQueue[:n:n]
	c.pushQueue = c.pushQueue[n:]
	for _, r := range c.pick(c.cfg.PushFanout, c.self) {
		c.send(r.Name, Message{Kind: Push, Updates: batch})
	}
}

// sendHeartbeats sends a heartbeat to the observers, with the changes that are still to be
// repeated.
func (c *Core) sendHeartbeats() {
	if c.left {
		return
	}
	m := Message{Kind: Heartbeat, Revision: c.self.revision, Updates: c.repeats()}
	if c.self.revision > 0 {
		m.RevisionAge = c.now.Sub(c.self.revisionSince)
	}
	for _, r := range c.observers {
		c.send(r.Name, m)
	}
	if !c.health.declaredLostAt.IsZero() {
		c.pingObservers()
	}
}

// pingObservers pings the observers to find out whether any of them hears this router.
func (c *Core) pingObservers() {
	for _, r := range c.observers {
		c.send(r.Name, Message{Kind: Ping, Seq: c.nextSeq()})
	}
}

// repeats returns the changes for one round of heartbeats and updates the queue.
func (c *Core) repeats() []Update {
	if len(c.repeatQueue) == 0 {
		return nil
	}
	n := min(len(c.repeatQueue), c.cfg.MaxUpdates)
	updates := make([]Update, n)
	for i := range updates {
		updates[i] = c.repeatQueue[i].update
		c.repeatQueue[i].remaining--
	}
	kept := c.repeatQueue[:0]
	for _, q := range c.repeatQueue {
		if q.remaining > 0 {
			kept = append(kept, q)
		}
	}
	c.repeatQueue = kept
	return updates
}
