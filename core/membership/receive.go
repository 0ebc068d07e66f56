package membership

// receive processes one message. A message of any kind is evidence that its sender is
// alive.
func (c *Core) receive(from Member, m *Message) {
	if from.Name == c.self.Name || from.Name == "" {
		return
	}
	r := c.applySenderClaim(from, m)
	if r == nil {
		return
	}
	c.recordSignOfLife(r, m)
	c.applyAll(m.Updates, from.Name)
	c.receiveLinks(m.Links)
	switch m.Kind {
	case Heartbeat:
		c.receiveRevision(r, m)
	case Ping:
		c.receivePing(from.Name, m)
	case Ack:
		c.receiveAck()
	case PingRequest:
		c.receivePingRequest(from.Name, m)
	case Report:
		c.receiveReport(from.Name, m)
	case Digest:
		c.receiveDigests(r, m)
	case ListRequest:
		c.sendList(from.Name, m.DataCentre)
	}
}

// applySenderClaim merges the claim implied by the message itself: that its sender is
// alive, with this incarnation and version. It returns nil if the rest of the message is to
// be ignored.
func (c *Core) applySenderClaim(from Member, m *Message) *record {
	claim := Update{Member: from, Version: m.Version, State: Alive, Leaving: m.Leaving}
	r := c.byName[from.Name]
	if r == nil || claim.supersedes(r) {
		if c.apply(claim, "") {
			c.enqueue(claim)
		}
		c.requestWholeView(from)
		return c.byName[from.Name]
	}
	if from.Incarnation < r.Incarnation || r.state.ended() {
		c.receiveFromEnded(from, r, m)
		return nil
	}
	c.requestWholeView(from)
	return r
}

// receiveFromEnded handles a message from an older instance of r, or from an instance that
// is recorded as lost or left and may not know it. The sender is told the state and either
// refutes it or stops.
//
// Claims of the sender about this router are applied as well. Otherwise two routers that
// have declared each other lost drop everything that the other says, neither receives the
// claim that it has to refute, and each message is answered with another claim without end:
// the two routers of a data centre stay separated, and busy, until a third router tells
// them.
func (c *Core) receiveFromEnded(from Member, r *record, m *Message) {
	for _, u := range m.Updates {
		if u.Member.Name == c.self.Name {
			c.receiveClaimOnSelf(u)
		}
	}
	c.send(from.Name, Message{Kind: Push, Updates: []Update{r.update()}})
	if from.Incarnation == r.Incarnation && m.Kind == Ping {
		c.receivePing(from.Name, m)
	}
}

// recordSignOfLife records that a message from r arrived.
func (c *Core) recordSignOfLife(r *record, m *Message) {
	r.hearsNobody = m.HearsNobody
	c.markHeard(r)
	if r.DataCentre == c.self.DataCentre {
		c.health.lastPeerHeard = c.now
		c.health.peerEverHeard = true
		return
	}
	c.health.lastExternalContact = c.now
	c.dataCentre(r.DataCentre).lastHeard = c.now
}

// markHeard records that r is alive, heard directly or through another router.
func (c *Core) markHeard(r *record) {
	r.lastHeard = c.now
	for _, w := range c.watches {
		if w.member == r {
			w.reset(c.now)
		}
	}
	c.reportHeard(r.Name)
	switch {
	case r.hearsNobody && isLive(r.state) && r.DataCentre == c.self.DataCentre:
		c.declare(r, Isolated, CauseHearsNobody)
	case !r.hearsNobody && r.state == Isolated:
		// Other routers hold the claim too, so the member has to refute it for all of them.
		c.send(r.Name, Message{Kind: Push, Updates: []Update{r.update()}})
		c.change(r, Alive, CauseHeard, "")
	case !r.hearsNobody && r.state == Suspect:
		c.change(r, Alive, CauseHeard, "")
	}
}

// receiveRevision records the revision that the sender has in force. It never decreases
// within one instance.
func (c *Core) receiveRevision(r *record, m *Message) {
	if m.Revision <= r.revision {
		return
	}
	r.revision = m.Revision
	r.revisionSince = c.now.Add(-m.RevisionAge)
}

// requestWholeView asks the first router heard from this data centre for the whole view.
func (c *Core) requestWholeView(from Member) {
	if c.viewRequested || from.DataCentre != c.self.DataCentre {
		return
	}
	c.viewRequested = true
	c.send(from.Name, Message{Kind: ListRequest})
}

// receiveVMList applies the platform's VM list, which names routers to contact and routers
// that are about to leave.
func (c *Core) receiveVMList(vms []ListedVM) {
	c.listAt = c.now
	for _, r := range c.byNameOrder() {
		r.listed = false
	}
	for i := range vms {
		c.applyListedVM(&vms[i])
	}
	if c.home.live == 1 {
		c.pingListed()
	}
}

func (c *Core) applyListedVM(vm *ListedVM) {
	r := c.byName[vm.Name]
	if r == nil {
		u := Update{Member: Member{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address}}
		if !c.addMember(u, "") {
			return
		}
		r = c.byName[vm.Name]
	}
	r.listed = true
	c.setPlatformLeaving(r, vm.Leaving)
}

// setPlatformLeaving records whether the platform's VM list says that a member is about to
// leave.
func (c *Core) setPlatformLeaving(r *record, leaving bool) {
	if r.platformLeaving != leaving {
		r.platformLeaving = leaving
		c.invalidate(c.dataCentre(r.DataCentre))
	}
}

// pingListed pings some known routers of the data centre in order to join.
func (c *Core) pingListed() {
	tried := 0
	for _, i := range c.rnd.Perm(len(c.home.members)) {
		r := c.home.members[i]
		if r == c.self || r.state == Left || tried == c.cfg.Helpers {
			continue
		}
		tried++
		c.send(r.Name, Message{Kind: Ping, Seq: c.nextSeq()})
	}
}

// pingUnreachable pings one member that is not alive, so that the two sides of a partition
// find each other again once it heals.
func (c *Core) pingUnreachable() {
	if c.home.live == 1 {
		c.pingListed()
		return
	}
	var unreachable []*record
	for _, r := range c.home.members {
		if r.state == Isolated || r.state == Unknown || r.state == Lost && r.listed {
			unreachable = append(unreachable, r)
		}
	}
	if len(unreachable) == 0 {
		return
	}
	r := unreachable[c.rnd.IntN(len(unreachable))]
	c.send(r.Name, Message{Kind: Ping, Seq: c.nextSeq(), Updates: c.claimToRefute(r)})
}

// claimToRefute returns the claim that r has to refute, if there is one.
func (c *Core) claimToRefute(r *record) []Update {
	if r.state == Unknown {
		return nil
	}
	return []Update{r.update()}
}
