package gateway

import (
	"context"
	"encoding/base64"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/assign"
	"tarragongw/core/keyspace"
	"tarragongw/core/linkbudget"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// recordRenewal records the result of a lease renewal.
func (l *leader) recordRenewal(m *renewalDone) {
	if m.term != l.term {
		return
	}
	switch {
	case m.err == nil:
		l.term.renewedAt.Store(int64(m.sent))
		if l.g.gate.isShut() {
			l.g.membership.renewNow()
		}
	case errors.Is(m.err, kv.ErrLeaseLost) && l.g.era() != l.term.revision().Era():
		l.resumeTerm()
	case errors.Is(m.err, kv.ErrLeaseLost):
		l.endTerm("the lease has ended")
		l.observed.present = false
	default:
		l.g.log.Warn("lease not renewed", "err", m.err, "age", l.term.leaseAge(l.g.opts.Clock.Now()))
	}
}

// step carries out what the assignments decide, and returns when it is due again.
func (l *leader) step(now time.Time) time.Time {
	t := l.term
	l.readMissingTables(t)
	bootTime := l.g.opts.Clock.Now()
	suspected := t.leaseAge(bootTime) > storeSuspectAfter && t.quorum.reached(bootTime, l.g.recentRouters())
	if suspected != l.storeSuspected {
		l.suspectStore(t, suspected)
	}
	due := now.Add(leaderCheckInterval)
	for name, assignment := range t.services {
		if assignment.assigner == nil {
			continue
		}
		assignment.assigner.SetStoreUnreachable(suspected)
		actions := assignment.assigner.Step(now)
		l.carryOut(t, name, assignment, actions, now)
		l.observeCoverage(name, assignment)
		if publishDue := l.publishDue(assignment); assignment.unpublished && !now.Before(publishDue) {
			l.publishTable(assignment, now)
		} else if assignment.unpublished && publishDue.Before(due) {
			due = publishDue
		}
		if actions.Next.Before(due) {
			due = actions.Next
		}
	}
	l.compareReach(t, now)
	l.considerHandover(t, now)
	return due
}

// suspectStore records whether the store is taken for unreachable. Tables say which moves have to wait for it, so they are sent
// again.
func (l *leader) suspectStore(t *term, suspected bool) {
	l.storeSuspected = suspected
	for _, assignment := range t.services {
		assignment.unpublished = assignment.unpublished || assignment.stored != nil
	}
	l.g.log.Info("grant mode for store outages changed", "away", suspected, "lease_age", t.leaseAge(l.g.opts.Clock.Now()))
}

// readMissingTables reads the key tables of services that have none in this term yet, once the
// targets are known.
//
// Without that order, a router that has just started and leads could read a table before the
// targets. It would find none of the holders, take all of them for gone, and order each to release
// its keys. Callers would be refused for seconds with "the grant has to lapse".
func (l *leader) readMissingTables(t *term) {
	if l.targets == nil {
		return
	}
	for _, s := range l.keyedServices() {
		if t.services[s.Name] != nil {
			continue
		}
		t.services[s.Name] = &serviceAssignment{}
		l.g.workers.Run(func() { l.duty.Tell(l.readTable(t, s.Name)) })
	}
}

func (l *leader) readTable(t *term, service string) *tableRead {
	m := &tableRead{term: t, service: service}
	record, err := l.g.storeFor(purposeKeys).Get(t.ctx, tablePrefix+service)
	switch {
	case errors.Is(err, kv.ErrNotFound):
	case err != nil:
		m.err = err
	default:
		m.revision = record.Revision
		m.table, m.err = decodeTable(record.Value)
	}
	return m
}

func (l *leader) handleTableRead(m *tableRead) {
	if m.term != l.term {
		return
	}
	if m.err == nil && m.revision != 0 && m.revision.Era() != m.term.revision().Era() {
		m.err = errors.Wrap(kv.ErrUnknown, "the store was restored meanwhile")
	}
	if m.err != nil {
		l.g.log.Error("key table not read", "service", m.service, "err", m.err)
		delete(m.term.services, m.service)
		return
	}
	cfg := assign.Config{OutageGrantTTL: min(outageGrantTTL, l.g.opts.MaxGrantTTL), OldLeaderBound: orderLimitWithQuorum, WriteInterval: tableWriteInterval,
		EvacuateWithin: l.g.opts.EvacuationLimit, SpareCold: l.g.sparesCold(m.service), OrderBudget: l.orderBudget}
	table := l.newestTable(m, &cfg)
	assigner := assign.TakeOver(time.Now(), cfg, m.service, table)
	l.targets.apply(assigner)
	if m.term.oldLeaders != nil {
		assigner.BoundOldLeader(*m.term.oldLeaders)
	}
	m.term.services[m.service] = &serviceAssignment{assigner: assigner, revision: m.revision, pace: l.tablePace()}
	l.g.log.Info("assigns keys", "service", m.service, "table_revision", m.revision)
}

// tablePace returns the pace of a service's tables. Each has the bytes of all services counted: together they keep to
// the part of the link.
func (l *leader) tablePace() linkbudget.Pace {
	pace := linkbudget.Pace{BytesPerSecond: tablesLinkShare * l.g.opts.LinkBytesPerSecond, Least: publishInterval, Longest: maxPublishInterval}
	pace.Sent(time.Time{}, l.g.leadCost.feed[feed.PartTables].Load()) // what earlier terms have sent is paid for
	return pace
}

func (l *leader) carryOut(t *term, service string, assignment *serviceAssignment, actions assign.Actions, now time.Time) {
	l.logFreed(service, actions.Freed)
	for _, o := range actions.Orders {
		if o.Kind == assign.Probe {
			o.HealthPath = l.g.healthPath(service)
		}
		l.g.workers.Run(func() { l.duty.Tell(l.sendOrder(t, service, o)) })
	}
	if write := actions.Write; write != nil {
		delay, revision := assignment.writeNotBefore.Sub(now), assignment.revision
		l.g.workers.Run(func() {
			duty.Sleep(t.ctx, delay)
			l.duty.Tell(l.writeTable(t, service, revision, write))
		})
	}
}

// sendOrder sends an order, unless this router may no longer give orders.
//
// A router that was suspended may have lost leadership without knowing it. Targets that the new
// leader reaches would refuse its renewals. For the other targets, the time limit on orders bounds
// how long the new leader has to wait.
func (l *leader) sendOrder(t *term, service string, o assign.Order) *orderDone {
	m := &orderDone{term: t, service: service, order: o, outcome: assign.Unanswered}
	if l.g.rests.countOrder(&o) && o.Kind == assign.Probe {
		m.err, m.outcome = errResting, assign.NotSent
		return m
	}
	now := l.g.opts.Clock.Now()
	orders, done, err := t.orders.enter()
	var left time.Duration
	if err == nil {
		left, err = l.orderTimeLeft(t, now, o.ForOutage)
	}
	if err != nil {
		done()
		m.err, m.outcome = err, assign.NotSent
		duty.Sleep(t.ctx, leaderRenewInterval)
		return m
	}
	defer done()
	// An order that is started in time must not be sent late.
	ctx, cancel := context.WithTimeout(orders, left)
	defer cancel()
	deadline := clock.BootTime(l.g.opts.Clock, now+left)
	began := time.Now()
	m.outcome, m.handover, m.err = l.g.opts.Adapter.SendOrder(ctx, &o, deadline)
	m.took = time.Since(began)
	l.g.countBound(m.err)
	m.outcome = l.g.identities.judge(&o, m.outcome)
	l.g.leadCost.countOrder(m.outcome)
	return m
}

// orderTimeLeft returns for how long from now this router may give orders, or an error that says
// why it no longer may. A grant for a store outage, with a TTL above the normal one, needs a quorum
// however young the lease is: the next leader counts on that.
func (l *leader) orderTimeLeft(t *term, now time.Duration, forOutage bool) (time.Duration, error) {
	age := t.leaseAge(now)
	alone := t.leadership.Load().ttl - leaseSafety
	switch {
	case age >= orderLimitWithQuorum:
		return 0, errors.Errorf("the lease was renewed %v ago", age)
	case age < alone && !forOutage:
		return alone - age, nil
	}
	left := t.quorum.reachedFor(now, l.g.recentRouters())
	if left <= 0 {
		return 0, errors.Errorf("the lease was renewed %v ago, and there is no quorum of followers", age)
	}
	return min(left, orderLimitWithQuorum-age), nil
}

// mayGivePermits reports whether this router leads and may give permits for targets that state limits: no other router does so
// then.
func (l *leader) mayGivePermits() bool {
	t := l.g.subscription.currentTerm()
	if t == nil {
		return false
	}
	_, err := l.orderTimeLeft(t, l.g.opts.Clock.Now(), false)
	return err == nil
}

// handleFollowerJoined records a follower.
func (l *leader) handleFollowerJoined(m *followerJoined) {
	t := l.term
	if t == nil || !t.hasRevision(uint64(m.term)) {
		return
	}
	now := l.g.opts.Clock.Now()
	ok, promised := t.quorum.addFollower(m.router, now+m.promised, l.g.recentRouters())
	l.noteOldLeaderDeadlines(ok, promised-now)
}

// handleRouterCountRead checks the quorum again, because the number of routers may have changed.
func (l *leader) handleRouterCountRead() {
	if t := l.term; t != nil {
		ok, promised := t.quorum.recheck(l.g.recentRouters())
		l.noteOldLeaderDeadlines(ok, promised-l.g.opts.Clock.Now())
	}
}

// noteOldLeaderDeadlines records until when the old leader may give orders at the latest, which is
// known once enough routers follow this one.
func (l *leader) noteOldLeaderDeadlines(known bool, promised time.Duration) {
	if !known {
		return
	}
	t := l.term
	bound := oldLeaderBoundAt(time.Now(), promised)
	if t.oldLeaders != nil && !bound.LastLongGrant.Before(t.oldLeaders.LastLongGrant) { // more followers may give an earlier bound
		return
	}
	if t.oldLeaders != nil { // what was known before holds on
		bound.Until, bound.LastGrant = earlier(bound.Until, t.oldLeaders.Until), earlier(bound.LastGrant, t.oldLeaders.LastGrant)
	}
	t.oldLeaders = &bound
	l.g.log.Info("old leaders stop", "in", time.Until(bound.Until), "backed_in", promised, "term", t.revision())
	for _, assignment := range t.services {
		if assignment.assigner != nil {
			assignment.assigner.BoundOldLeader(bound)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// oldLeaderBoundAt returns until when older leaders act, given for how long the last promise to one of them still holds; negative
// is how long ago it ended. A leader without a quorum has stopped: its lease has ended, as this router has one. One with a quorum,
// which may give grants with outageGrantTTL, stops when the last promise ends.
func oldLeaderBoundAt(now time.Time, promised time.Duration) assign.OldLeaderBound {
	until := now.Add(max(promised, 0))
	return assign.OldLeaderBound{
		Until: until, LastGrant: until.Add(assign.LateArrivalBound), LastLongGrant: now.Add(promised + assign.LateArrivalBound),
	}
}

func (l *leader) handleOrderDone(m *orderDone) {
	o := &m.order
	if m.outcome != assign.Accepted || o.Kind != assign.Grant || o.First {
		l.g.log.Info("order", "kind", o.Kind, "service", m.service, "target", o.Holder.Target, "from", o.From, "to", o.To,
			"token", o.Token, "hold", o.TTL, "outcome", m.outcome, "handover", m.handover != "", "took", m.took, "err", errText(m.err))
	}
	if m.term != l.term {
		return
	}
	if o.Kind == assign.Grant {
		m.term.handover.RecordOrder(time.Now(), o.Holder.Target, m.outcome == assign.Accepted)
	}
	if assignment := m.term.services[m.service]; assignment != nil && assignment.assigner != nil {
		assignment.assigner.OrderDone(time.Now(), o.ID, m.outcome, m.handover)
		if o.First && m.outcome == assign.Accepted && assignment.stored != nil {
			assignment.unpublished = true
		}
	}
}

// publishDue returns when the service's next table may be sent to all routers.
func (l *leader) publishDue(assignment *serviceAssignment) time.Time {
	return assignment.pace.Due(l.g.leadCost.feed[feed.PartTables].Load())
}

// publishTable sends all routers the stored key table, without the ranges that their new holders
// have not accepted yet.
func (l *leader) publishTable(assignment *serviceAssignment, now time.Time) {
	assignment.published++
	sent := l.g.leadCost.feed[feed.PartTables].Load()
	assignment.unpublished = false
	assignment.pace.Sent(now, sent)
	l.g.state.duty.Tell(&feed.Table{Revision: uint64(assignment.revision), Sequence: assignment.published, Table: assignment.assigner.MarkUnconfirmed(assignment.stored)})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeTable writes a key table to the store, provided that this router still leads and that the
// stored table has the given revision. The second condition keeps a write that timed out, and that
// the store carries out seconds later, from undoing a newer one.
func (l *leader) writeTable(t *term, service string, revision kv.Revision, write *assign.Write) *tableWritten {
	m := &tableWritten{term: t, service: service, generation: write.Generation, table: write.Table}
	data, err := encodeTable(write.Table)
	if err != nil {
		m.err = err
		return m
	}
	m.bytes = base64.StdEncoding.EncodedLen(len(data))
	l.g.leadCost.tableWrites.Add(int64(m.bytes))
	m.revision, m.conflict, m.err = l.g.storeFor(purposeKeys).Commit(t.ctx, kv.Txn{
		Conditions: append(t.leadership.Load().conditions(), kv.Condition{Key: tablePrefix + service, Revision: revision}),
		Puts:       []kv.Put{{Key: tablePrefix + service, Value: data}},
	})
	return m
}

func (l *leader) handleTableWritten(m *tableWritten) {
	if m.term != l.term {
		return
	}
	assignment := m.term.services[m.service]
	if assignment == nil || assignment.assigner == nil {
		return
	}
	if m.err == nil && m.revision.Era() != m.term.revision().Era() {
		m.err = errors.Wrap(kv.ErrUnknown, "the store was restored meanwhile")
	}
	assignment.assigner.WriteDone(m.generation, m.err == nil)
	assignment.assigner.SetWriteInterval(linkbudget.Interval(int64(m.bytes), tableWritesLinkShare*l.g.opts.LinkBytesPerSecond, tableWriteInterval, maxTableWriteInterval))
	if m.err == nil {
		assignment.revision, assignment.writeNotBefore = m.revision, time.Time{}
		assignment.stored, assignment.unpublished = m.table, true
		return
	}
	assignment.writeNotBefore = time.Now().Add(writeRetryDelay)
	l.g.log.Warn("key table not written", "service", m.service, "err", m.err)
	if l.g.era() != l.term.revision().Era() {
		l.resumeTerm()
		return
	}
	for _, r := range m.conflict {
		switch {
		case r.Key == leaderKey && r.Revision != m.term.revision():
			l.endTerm("another leader wrote")
			l.observed.present = r.Revision != 0
			return
		case r.Key == tablePrefix+m.service:
			assignment.revision = r.Revision
		}
	}
}

// rebalance moves keys from busy targets to others.
func (l *leader) rebalance() {
	if l.term == nil {
		return
	}
	l.g.statedLimits.tick()
	now := time.Now()
	l.observeCost(now)
	l.publishServiceTimes()
	for name, assignment := range l.term.services {
		s := l.g.service(name)
		if assignment.assigner == nil || s == nil {
			continue
		}
		if work := s.workTime(workTimeShare); work > 0 {
			assignment.assigner.SetWorkTime(work)
		}
		for _, k := range s.keyLoad.take() {
			assignment.assigner.Load().Add(now, k, 1)
		}
		for _, move := range assignment.assigner.Rebalance(now, s.serviceTime, l.g.subscription.reportScale()) {
			if assignment.assigner.StartMove(now, move) {
				l.logMove(name, move)
			}
		}
		l.updateLimits(now, name, assignment, s)
	}
}

// updateLimits sends all routers limits for the keys that get more requests than their holders can
// serve: when the limits have changed, and repeatedly while there are any.
func (l *leader) updateLimits(now time.Time, name string, assignment *serviceAssignment, s *service) {
	limits := assignment.assigner.Limits(now, s.serviceTime, s.overloaded, l.g.subscription.reportScale())
	renew := len(limits) > 0 && now.Sub(assignment.limitedAt) >= limitsRenewInterval
	if !renew && !limitsDiffer(assignment.limits, limits) {
		return
	}
	if limitsDiffer(assignment.limits, limits) {
		l.g.log.Info("keys limited", "service", name, "limits", limits)
	}
	assignment.limits, assignment.limitedAt = limits, now
	s.setLimits(limits)
	l.g.subscription.source.SetLimits(feed.Limits{Service: name, Limits: limits})
}

// limitsDiffer reports whether different keys are limited, or whether a limit has changed by more than
// limitsChangeThreshold.
func limitsDiffer(old, current []keyspace.Limit) bool {
	return !slices.EqualFunc(old, current, func(a, b keyspace.Limit) bool {
		return a.Key == b.Key && math.Abs(a.Admit-b.Admit) <= limitsChangeThreshold*a.Admit
	})
}

// publishServiceTimes sends the other routers the targets' service times that have changed, at most
// every serviceTimesInterval.
func (l *leader) publishServiceTimes() {
	now, sent := time.Now(), l.g.leadCost.feed[feed.PartServiceTimes].Load()
	if now.Before(l.serviceTimesPace.Due(sent)) {
		return
	}
	l.serviceTimesPace.Sent(now, sent)
	l.g.mu.RLock()
	defer l.g.mu.RUnlock()
	for name, s := range l.g.services {
		if !s.byKey {
			continue
		}
		s.drainServiceTimes() // the published times contain this router's own measurements already
		if changed := s.changedServiceTimes(); len(changed) > 0 {
			l.g.subscription.source.SetServiceTimes(feed.ServiceTimes{Service: name, Targets: changed})
		}
	}
}

func (l *leader) logMove(service string, m assign.Move) {
	keys := int(m.To) - int(m.From) + 1
	l.g.log.Info("keys to be moved", "service", service, "from", m.From, "to", m.To, "target", m.Target,
		"share", float64(keys)/float64(int(keyspace.LastKey)+1))
}

// stepDown asks the leader to give up leadership; finished is closed when it has.
type stepDown struct {
	finished chan struct{}
}

// leaseEnded reports that the store has ended the lease of a leader that is stopping.
type leaseEnded struct {
	term    *term
	request *stepDown
}

// handleStepDown ends the lease in the store, and keeps leading until the store answers: while
// the store is unreachable no other router can lead, and without renewals all grants would expire.
func (l *leader) handleStepDown(m *stepDown) {
	l.stopping = true
	if l.term == nil {
		close(m.finished)
		return
	}
	t := l.term
	l.g.workers.Run(func() {
		for {
			err := l.endLease(t)
			if err == nil || errors.Is(err, kv.ErrLeaseLost) {
				break
			}
			l.g.log.Warn("lease not ended; this router continues to lead", "err", err)
			if !duty.Sleep(t.ctx, leaderRenewInterval) {
				break
			}
		}
		l.duty.Tell(&leaseEnded{t, m})
	})
}

// endLease ends the lease of a term that is to end, if the store answers a renewal of it; else the term goes on. No order is
// given from before the call that ends the lease on: the store may carry it out whether it answers or not, also seconds later,
// and another router leads then.
func (l *leader) endLease(t *term) error {
	ctx, cancel := context.WithTimeout(l.g.lifetime, leaderTTL)
	defer cancel()
	lease := t.leadership.Load().lease
	if err := l.g.storeFor(purposeLead).RenewLease(ctx, lease); err != nil {
		return err
	}
	t.orders.shut()
	if err := l.g.storeFor(purposeLead).EndLease(ctx, lease); err != nil {
		l.g.log.Warn("lease may not have ended; it lapses", "err", err)
	}
	return nil
}

func (l *leader) handleLeaseEnded(m *leaseEnded) {
	if m.term == l.term {
		l.endTerm("the router stops")
	}
	close(m.request.finished)
}
