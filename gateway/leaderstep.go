package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/assign"
	"tarragongw/core/keyspace"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// recordRenewal notes how a renewal of the lease ended.
func (l *leader) recordRenewal(m *leaseRenewed) {
	if m.term != l.term {
		return
	}
	switch {
	case m.err == nil:
		l.term.renewedAt.Store(int64(m.sent))
	case errors.Is(m.err, kv.ErrLeaseLost) && l.g.era() != l.term.revision().Era():
		l.resumeTerm()
	case errors.Is(m.err, kv.ErrLeaseLost):
		l.endTerm("the lease has ended")
		l.seen.present = false
	default:
		l.g.log.Warn("lease not renewed", "err", m.err, "age", l.term.age(l.g.opts.Clock.Now()))
	}
}

// step carries out what the assignments decide, and returns when it is due again.
func (l *leader) step(now time.Time) time.Time {
	t := l.term
	l.adopt(t)
	boot := l.g.opts.Clock.Now()
	away := t.age(boot) > storeSuspectAfter && t.backing.backed(boot, l.g.countedRouters())
	if away != l.away {
		l.away = away
		l.g.log.Info("store counts as away for grants", "away", away, "lease_age", t.age(l.g.opts.Clock.Now()))
	}
	due := now.Add(campaignRetryInterval)
	for name, p := range t.services {
		if p.assigner == nil {
			continue
		}
		p.assigner.SetStoreAway(away)
		actions := p.assigner.Step(now)
		l.carryOut(t, name, p, actions, now)
		if p.unpublished && !now.Before(p.publishDue) {
			l.publish(p, now)
		}
		if p.unpublished && p.publishDue.Before(due) {
			due = p.publishDue
		}
		if actions.Next.Before(due) {
			due = actions.Next
		}
	}
	return due
}

// adopt reads the divisions of services that have none in this term yet, once the targets are
// known.
//
// What goes wrong before: a router that has just started leads and reads the table first.
// It finds none of the holders, takes all of them for gone, and has each give up its keys.
// Callers are refused for seconds with "the grant has to lapse".
func (l *leader) adopt(t *term) {
	if l.targets == nil {
		return
	}
	for _, s := range l.divided() {
		if t.services[s.Name] != nil {
			continue
		}
		t.services[s.Name] = &serviceAssignment{}
		l.g.workers.Run(func() { l.duty.Tell(l.readTable(t, s.Name)) })
	}
}

func (l *leader) readTable(t *term, service string) *tableRead {
	m := &tableRead{term: t, service: service}
	r, err := l.g.storeFor(forKeys).Get(t.ctx, tablePrefix+service)
	switch {
	case errors.Is(err, kv.ErrNotFound):
	case err != nil:
		m.err = err
	default:
		m.revision = r.Revision
		m.table, m.err = decodeTable(r.Value)
	}
	return m
}

func (l *leader) read(m *tableRead) {
	if m.term != l.term {
		return
	}
	if m.err == nil && m.revision != 0 && m.revision.Era() != m.term.revision().Era() {
		m.err = errors.Wrap(kv.ErrUnknown, "the store was restored meanwhile")
	}
	if m.err != nil {
		l.g.log.Error("division of keys not read", "service", m.service, "err", m.err)
		delete(m.term.services, m.service)
		return
	}
	cfg := assign.Config{LongHold: min(longHold, l.g.opts.HoldMax), OldLeader: oldLeaderBound, WriteInterval: tableWriteInterval}
	table := l.newestTable(m, &cfg)
	a := assign.TakeOver(time.Now(), cfg, m.service, table)
	l.targets.apply(a)
	if m.term.oldStops != nil {
		a.OldLeaderStops(m.term.oldStops.usual, m.term.oldStops.long)
	}
	m.term.services[m.service] = &serviceAssignment{assigner: a, revision: m.revision}
	l.g.log.Info("assigns keys", "service", m.service, "table_revision", m.revision)
}

func (l *leader) carryOut(t *term, service string, p *serviceAssignment, actions assign.Actions, now time.Time) {
	for _, o := range actions.Orders {
		l.g.workers.Run(func() { l.duty.Tell(l.order(t, service, o)) })
	}
	if w := actions.Write; w != nil {
		pause, revision := p.notBefore.Sub(now), p.revision
		l.g.workers.Run(func() {
			duty.Sleep(t.ctx, pause)
			l.duty.Tell(l.write(t, service, revision, w))
		})
	}
}

// order sends an order, unless this router may not lead any more by now.
//
// A router that was suspended may have lost the lead without knowing it. Its renewals would
// be refused by all targets that the new leader reaches; for the others their time bounds
// how long the new leader has to wait.
func (l *leader) order(t *term, service string, o assign.Order) *ordered {
	m := &ordered{term: t, service: service, order: o, outcome: assign.Unanswered}
	now := l.g.opts.Clock.Now()
	left, err := l.mayOrder(t, now)
	if err != nil {
		m.err, m.outcome = err, assign.NotSent
		duty.Sleep(t.ctx, leaderRenewInterval)
		return m
	}
	// What is begun in time must not go out late.
	ctx, cancel := context.WithTimeout(t.ctx, left)
	defer cancel()
	until := clock.BootTime(l.g.opts.Clock, now+left)
	began := time.Now()
	m.outcome, m.handover, m.err = l.g.opts.Adapter.SendOrder(ctx, &o, until)
	m.took = time.Since(began)
	return m
}

// mayOrder returns for how long from now on this router may give orders, or why it may not
// any more.
func (l *leader) mayOrder(t *term, now time.Duration) (time.Duration, error) {
	age := t.age(now)
	switch {
	case age >= oldLeaderBound:
		return 0, errors.Errorf("the lease was renewed %v ago", age)
	case age < aloneBound:
		return aloneBound - age, nil
	}
	left := t.backing.backedFor(now, l.g.countedRouters())
	if left <= 0 {
		return 0, errors.Errorf("the lease was renewed %v ago, and too few routers back this one", age)
	}
	return min(left, oldLeaderBound-age), nil
}

// joined notes a follower.
func (l *leader) joined(m *followerJoined) {
	t := l.term
	if t == nil || !t.named(uint64(m.term)) {
		return
	}
	now := l.g.opts.Clock.Now()
	ok, promised := t.backing.join(m.router, now+m.promised, l.g.countedRouters())
	l.oldLeader(ok, promised-now)
}

// counted notes that the number of routers may have changed.
func (l *leader) counted() {
	if t := l.term; t != nil {
		ok, promised := t.backing.counted(l.g.countedRouters())
		l.oldLeader(ok, promised-l.g.opts.Clock.Now())
	}
}

// oldLeader notes when the old leader has stopped at the latest, which is known once enough
// routers follow.
func (l *leader) oldLeader(known bool, promised time.Duration) {
	if !known {
		return
	}
	t := l.term
	stops := oldLeaderStops(time.Now(), promised)
	if t.oldStops != nil {
		stops.usual = t.oldStops.usual // known since the first time
	}
	if t.oldStops == nil || stops.long.Before(t.oldStops.long) { // the more follow, the more is known
		t.oldStops = stops
		l.g.log.Info("old leader stops", "alone_in", time.Until(t.oldStops.usual), "backed_in", promised, "term", t.revision())
	}
	for _, p := range t.services {
		if p.assigner != nil {
			p.assigner.OldLeaderStops(t.oldStops.usual, t.oldStops.long)
		}
	}
}

// lastOrders has when the last grants of older leaders may arrive.
type lastOrders struct {
	// usual is that of grants of the usual length, long that of the long ones.
	usual, long time.Time
}

// oldLeaderStops returns when older leaders have stopped: alone after aloneBound from now,
// and with long grants when the last promise to back one ends, which may be over already.
// The old lease has ended, so that its last renewal is older than the first bound assumes
// by more than an order's delay on the wire; to the end of a promise that has to be added.
func oldLeaderStops(now time.Time, promised time.Duration) *lastOrders {
	return &lastOrders{usual: now.Add(max(aloneBound, promised)), long: now.Add(promised + assign.WireDelay)}
}

func (l *leader) answered(m *ordered) {
	o := &m.order
	if m.outcome != assign.Accepted || o.Kind == assign.Release || o.First {
		l.g.log.Info("order", "kind", o.Kind, "service", m.service, "target", o.Holder.Target, "from", o.From, "to", o.To,
			"token", o.Token, "hold", o.Hold, "outcome", m.outcome, "handover", m.handover != "", "took", m.took, "err", errText(m.err))
	}
	if m.term != l.term {
		return
	}
	if p := m.term.services[m.service]; p != nil && p.assigner != nil {
		p.assigner.Done(time.Now(), o.ID, m.outcome, m.handover)
		if o.First && m.outcome == assign.Accepted && p.stored != nil {
			p.unpublished = true
		}
	}
}

// publish puts the division as it is stored, less what its new holders have not accepted
// yet, in force on all routers.
func (l *leader) publish(p *serviceAssignment, now time.Time) {
	p.published++
	p.unpublished, p.publishDue = false, now.Add(publishInterval)
	l.g.state.duty.Tell(&feed.Table{Revision: uint64(p.revision), Sequence: p.published, Table: p.assigner.Overlay(p.stored)})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// write puts a division into the store, if this router still leads and the division that
// it knows is the one that the store has. The second condition keeps a write that the
// store carries out seconds after it was given up from undoing a later one.
func (l *leader) write(t *term, service string, revision kv.Revision, w *assign.Write) *written {
	m := &written{term: t, service: service, generation: w.Generation, table: w.Table}
	data, err := encodeTable(w.Table)
	if err != nil {
		m.err = err
		return m
	}
	m.revision, m.conflict, m.err = l.g.storeFor(forKeys).Commit(t.ctx, kv.Txn{
		Conditions: append(t.lead.Load().conditions(), kv.Condition{Key: tablePrefix + service, Revision: revision}),
		Puts:       []kv.Put{{Key: tablePrefix + service, Value: data}},
	})
	return m
}

func (l *leader) wrote(m *written) {
	if m.term != l.term {
		return
	}
	p := m.term.services[m.service]
	if p == nil || p.assigner == nil {
		return
	}
	if m.err == nil && m.revision.Era() != m.term.revision().Era() {
		m.err = errors.Wrap(kv.ErrUnknown, "the store was restored meanwhile")
	}
	p.assigner.Written(m.generation, m.err == nil)
	if m.err == nil {
		p.revision, p.notBefore = m.revision, time.Time{}
		p.stored, p.unpublished = m.table, true
		return
	}
	p.notBefore = time.Now().Add(writeRetryDelay)
	l.g.log.Warn("division of keys not written", "service", m.service, "err", m.err)
	if l.g.era() != l.term.revision().Era() {
		l.resumeTerm()
		return
	}
	for _, r := range m.conflict {
		switch {
		case r.Key == leaderKey && r.Revision != m.term.revision():
			l.endTerm("another leader wrote")
			l.seen.present = r.Revision != 0
			return
		case r.Key == tablePrefix+m.service:
			p.revision = r.Revision
		}
	}
}

// rebalance moves keys from busy targets to others.
func (l *leader) rebalance() {
	if l.term == nil {
		return
	}
	now := time.Now()
	l.publishServiceTimes()
	for name, p := range l.term.services {
		s := l.g.service(name)
		if p.assigner == nil || s == nil {
			continue
		}
		for _, k := range s.keyLoad.take() {
			p.assigner.Load().Add(now, k, 1)
		}
		for _, m := range p.assigner.Rebalance(now, s.speed, l.g.subscription.unseen()) {
			if p.assigner.Begin(now, m) {
				l.logMove(name, m)
			}
		}
		l.limit(now, name, p, s)
	}
}

// limit tells all routers which keys are asked for more than their holders can do, where that
// has changed, and again while any are.
func (l *leader) limit(now time.Time, name string, p *serviceAssignment, s *service) {
	limits := p.assigner.Limits(now, s.speed, s.pressed, l.g.subscription.unseen())
	renew := len(limits) > 0 && now.Sub(p.limitedAt) >= limitsRenewInterval
	if !renew && !limitsDiffer(p.limits, limits) {
		return
	}
	if limitsDiffer(p.limits, limits) {
		l.g.log.Info("keys limited", "service", name, "limits", limits)
	}
	p.limits, p.limitedAt = limits, now
	s.setLimits(limits)
	l.g.subscription.source.SetLimits(feed.Limits{Service: name, Limits: limits})
}

// limitsDiffer reports whether other keys are limited, or some by more than limitsChange.
func limitsDiffer(old, now []keyspace.Limit) bool {
	return !slices.EqualFunc(old, now, func(a, b keyspace.Limit) bool {
		return a.Key == b.Key && math.Abs(a.Admit-b.Admit) <= limitsChange*a.Admit
	})
}

// publishServiceTimes tells the other routers what has changed of the targets' speed, every
// serviceTimesInterval.
func (l *leader) publishServiceTimes() {
	now := time.Now()
	if now.Before(l.serviceTimesDue) {
		return
	}
	l.serviceTimesDue = now.Add(serviceTimesInterval)
	l.g.mu.RLock()
	defer l.g.mu.RUnlock()
	for name, s := range l.g.services {
		if !s.byKey {
			continue
		}
		s.drainServiceTimes() // its own answers are in what it tells
		if news := s.changedServiceTimes(); len(news) > 0 {
			l.g.subscription.source.SetServiceTimes(feed.ServiceTimes{Service: name, Targets: news})
		}
	}
}

func (l *leader) logMove(service string, m assign.Move) {
	keys := int(m.To) - int(m.From) + 1
	l.g.log.Info("keys to be moved", "service", service, "from", m.From, "to", m.To, "target", m.Target,
		"share", float64(keys)/float64(int(keyspace.LastKey)+1))
}

// stepDown asks the leader to give the lead up; done is closed once it has.
type stepDown struct {
	done chan struct{}
}

// leaseEnded tells that the store has ended the lease of a leader that stops.
type leaseEnded struct {
	term *term
	down *stepDown
}

// stop has the store end the lease, and leads on until it has: while the store is away
// nobody else can lead, and without renewals the keys of all targets lapse.
func (l *leader) stop(m *stepDown) {
	l.stopping = true
	if l.term == nil {
		close(m.done)
		return
	}
	t := l.term
	l.g.workers.Run(func() {
		for {
			err := l.endLease(t)
			if err == nil || errors.Is(err, kv.ErrLeaseLost) {
				break
			}
			l.g.log.Warn("lease not ended; leads on", "err", err)
			if !duty.Sleep(t.ctx, leaderRenewInterval) {
				break
			}
		}
		l.duty.Tell(&leaseEnded{t, m})
	})
}

func (l *leader) endLease(t *term) error {
	ctx, cancel := context.WithTimeout(l.g.lifetime, leaderTTL)
	defer cancel()
	return l.g.storeFor(forLead).EndLease(ctx, t.lead.Load().lease)
}

func (l *leader) ended(m *leaseEnded) {
	if m.term == l.term {
		l.endTerm("the router stops")
	}
	close(m.down.done)
}
