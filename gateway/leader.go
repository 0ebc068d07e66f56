package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/core/lead"
	"tarragongw/core/linkbudget"
	"tarragongw/core/routes"
	"tarragongw/duty"
	"tarragongw/kv"
)

const (
	// leaderTTL is the TTL of the leader's lease: how long the keys stay without a leader
	// after the leader's process has crashed. Together with leaderRenewInterval it is short
	// enough for the next leader to renew all grants before they expire.
	leaderTTL           = 1200 * time.Millisecond
	leaderRenewInterval = 400 * time.Millisecond
	// leaseSafety is how long before the end of its lease a leader without a quorum of followers, see quorum, stops sending
	// orders: its clock and the store's may differ by as much within the lease.
	leaseSafety = 50 * time.Millisecond
	// orderLimitWithQuorum is how long after the last renewal of its lease a leader with a
	// quorum may send orders, and so the longest store outage that the grants survive. A new
	// leader that too few routers follow waits this long where a target may still be reachable
	// by the old leader only.
	orderLimitWithQuorum = 10 * time.Second
	// outageGrantTTL is the TTL of grants while the store is unreachable and no other router
	// could take over: if the leader is lost during the outage, keys are served for this long.
	// With 10 s, a new leader would have to wait twice as long for targets that are lost together
	// with the old leader as it has to in any case, because a router that has started recently
	// doesn't know whether it made a promise to the old leader.
	outageGrantTTL = 6 * time.Second
	// storeSuspectAfter is how long after the last successful renewal of the lease the leader
	// suspects that the store is unreachable: two renewals have failed by then.
	storeSuspectAfter = 1100 * time.Millisecond
	// A router campaigns for leadership after a random delay, because all routers see at the same
	// moment that there is no leader. The delay is at most campaignSpreadPerRouter times the
	// number of routers, and never more than maxCampaignSpread. The router with the shortest
	// delay wins, and the others learn of it before they campaign.
	campaignSpreadPerRouter = 5 * time.Millisecond
	maxCampaignSpread       = 400 * time.Millisecond
	// assumedRouters is the assumed number of routers until they have been counted.
	assumedRouters = 20
	// lowCPUShare is the share of a core below which a router should not lead unless no other
	// can, and lowCPUCampaignDelay its additional campaign delay, which ends after the last of the
	// others has campaigned. On a small VM, a round of grants to a few hundred targets takes
	// longer than the grants' TTL.
	lowCPUShare         = 0.25
	lowCPUCampaignDelay = maxCampaignSpread + 100*time.Millisecond
	// campaignRetryDelay is the average pause after a failed campaign: another router leads by then, or the store is unreachable. It
	// doubles with each further one up to maxCampaignRetryDelay, as a whole fleet may campaign at a store that refuses writes.
	campaignRetryDelay    = 150 * time.Millisecond
	maxCampaignRetryDelay = 1200 * time.Millisecond
	// leaderCheckInterval is the longest time between two checks of what is due.
	leaderCheckInterval = 700 * time.Millisecond
	// rebalanceInterval is how often the leader looks for keys to move; a few dozen requests
	// arrive in that time.
	rebalanceInterval = 250 * time.Millisecond
	// serviceTimesInterval is how often the leader sends the targets' service times to its
	// followers; measuring them takes about as long.
	serviceTimesInterval = time.Second
	// serviceTimesLinkShare is the part of the link that service times may take, and maxServiceTimesInterval the longest
	// time between two messages for its sake.
	serviceTimesLinkShare   = 0.04
	maxServiceTimesInterval = 3 * time.Second
	// minStepInterval is the least time between two steps. Each step goes over all key ranges,
	// and in each renewal interval as many orders are answered as there are ranges.
	minStepInterval = 5 * time.Millisecond
	// tableWriteInterval is the least time between two writes of a service's key table.
	tableWriteInterval = 100 * time.Millisecond
	// tableWritesLinkShare is the part of the link that these writes may take, and maxTableWriteInterval the longest time
	// between two for its sake: each has the whole table.
	tableWritesLinkShare  = 0.15
	maxTableWriteInterval = 400 * time.Millisecond
	// ordersLinkShare is the part of the link that orders may take, orderBytes what one takes with the headers of its
	// packets, in bytes, and orderBurst the time for which as many are sent at once as fit.
	ordersLinkShare = 0.4
	orderBytes      = 350
	orderBurst      = 200 * time.Millisecond
	// limitsRenewInterval is how often the key limits are sent again, before they expire.
	// limitsChangeThreshold is the relative change of a limit that is sent at once.
	limitsRenewInterval   = time.Second
	limitsChangeThreshold = 0.2
	// publishInterval is the least time between two versions of a key table that are sent to the
	// routers: the targets answer orders one by one, and each version goes to all routers.
	publishInterval = 50 * time.Millisecond
	// tablesLinkShare is the part of the link that tables may take, and maxPublishInterval the longest time between two
	// for its sake.
	tablesLinkShare    = 0.15
	maxPublishInterval = 400 * time.Millisecond
	// workTimeShare is the share of the runs that end under the grant under which they began.
	workTimeShare = 0.99
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 50 * time.Millisecond
)

// leaderStatus is the leader as recorded in the store.
type leaderStatus struct {
	// name is the leader's, and address the one at which it serves the feed.
	name, address string
	revision      kv.Revision
	present       bool
}

// leaderSeparator separates the leader's name from its address in the leader record.
const leaderSeparator = " "

// Messages to the leader duty.
type (
	campaignDone struct {
		term *term
		err  error
	}
	renewalDone struct {
		term *term
		// sent is when the renewal was sent, by the clock that goes on during suspension.
		sent time.Duration
		err  error
	}
	tableRead struct {
		term    *term
		service string
		// table is nil if the store has none; revision is then zero.
		table    *keyspace.Table
		revision kv.Revision
		err      error
	}
	tableWritten struct {
		term       *term
		service    string
		generation uint64
		table      *keyspace.Table
		revision   kv.Revision
		conflict   []kv.Record
		// bytes is the length of the table as it was sent.
		bytes int
		err   error
	}
	orderDone struct {
		term     *term
		service  string
		order    assign.Order
		outcome  assign.Outcome
		handover string
		err      error
		took     time.Duration
	}
	rebalance struct{}
	// routerCountRead reports that the number of routers was read from the store.
	routerCountRead struct{}
	// followerJoined reports that a router follows the leader of the term. promised is for how
	// long its promise to another leader still holds; if negative, how long ago it ended.
	followerJoined struct {
		router   string
		term     kv.Revision
		promised time.Duration
	}
)

// targetStatus is what the store knows about the targets.
type targetStatus struct {
	targets []directory.Target
	// claimed are departed instances of targets whose address another target claims.
	claimed []keyspace.Holder
	// departed are the last reports of targets that have no entry any more.
	departed []directory.Target
}

// apply passes the status on to an assigner.
func (s *targetStatus) apply(assigner *assign.Assigner) {
	assigner.SetTargets(time.Now(), s.targets)
	assigner.SetDeparted(s.departed)
	assigner.AskAgain(s.claimed)
}

// term is a period during which this router leads.
type term struct {
	// leadership is the term's proof in the store: a record and a lease. It is replaced after the
	// store was restored from an older copy.
	leadership atomic.Pointer[leadership]
	// renewedAt is when the last successful renewal was sent, in nanoseconds of the clock that
	// goes on during suspension. Goroutines that send orders read it.
	renewedAt atomic.Int64
	// ctx ends with the term.
	ctx      context.Context
	cancel   context.CancelFunc
	services map[string]*serviceAssignment
	// quorum records this leader's followers and their promises.
	quorum *quorum
	// orders are those under way; they end before the term's lease is ended.
	orders orderGate
	// oldLeaders is until when older leaders act; nil if unknown.
	oldLeaders *assign.OldLeaderBound
	// handover decides whether another router should lead.
	handover *lead.Handover
}

// revision is the revision of the leader record; it identifies the term.
func (t *term) revision() kv.Revision { return t.leadership.Load().revision }

// hasRevision reports whether the number is, or was before a restore, the term's revision.
func (t *term) hasRevision(number uint64) bool {
	for l := t.leadership.Load(); l != nil; l = l.previous {
		if uint64(l.revision) == number {
			return true
		}
	}
	return false
}

// leaseAge is how long ago the last successful renewal of the lease was sent.
func (t *term) leaseAge(now time.Duration) time.Duration {
	return now - time.Duration(t.renewedAt.Load())
}

// serviceAssignment is the assignment of one service's keys during a term.
type serviceAssignment struct {
	assigner *assign.Assigner
	revision kv.Revision
	// writeNotBefore is the earliest time of the next write, after a failed one.
	writeNotBefore time.Time
	// stored is the key table as last written. published counts the versions that were sent to the
	// routers.
	stored    *keyspace.Table
	published uint64
	// unpublished is set while the routers have not been sent the current table, and pace spaces those that they are sent.
	unpublished bool
	pace        linkbudget.Pace
	// limits are the key limits that were last sent, at limitedAt.
	limits    []keyspace.Limit
	limitedAt time.Time
	// coverage is the one that was last logged.
	coverage assign.Coverage
}

// leader is the duty that assigns keys while this router leads, and campaigns for leadership
// while no router does.
type leader struct {
	g    *Gateway
	duty *duty.Duty

	observed       leaderStatus
	leaderObserved bool
	campaigning    bool
	// campaignNotBefore is the earliest time of the next campaign, after a failed one, and nextCampaignRetry the pause after the
	// next that fails. Without the delay, each router calls a store that refuses immediately about thirty times a second.
	campaignNotBefore time.Time
	nextCampaignRetry time.Duration
	term              *term
	// targets is nil until the targets are known.
	targets  *targetStatus
	stopping bool
	// resuming is set while this router takes leadership again after the store was restored.
	resuming       bool
	storeSuspected bool
	timer          *time.Timer
	due            time.Time
	steps          pacer
	// comparing is set while this router compares its reach with others, and compareNotBefore is the
	// earliest time of the next comparison.
	comparing        bool
	compareNotBefore time.Time
	// handoverCheckDue is when the leader next decides whether another router should lead, and handingOver
	// is set while it hands over. standbys are those that it last named, and overloaded is set while it
	// knows no better router.
	handoverCheckDue        time.Time
	handingOver, overloaded bool
	standbys                []string
	// standbysWriteDue is the earliest time of the next write of the standbys.
	standbysWriteDue time.Time
	// serviceTimesPace spaces the targets' service times that are published.
	serviceTimesPace linkbudget.Pace
	// orderBudget bounds the orders for all services by the link.
	orderBudget *linkbudget.Bucket
	// costBefore is what the lead had cost at costAt, when that was last logged or the term began.
	costBefore leadCosts
	costAt     time.Time
}

func newLeader(g *Gateway) *leader {
	l := &leader{g: g}
	l.orderBudget = linkbudget.NewBucket(ordersLinkShare*g.opts.LinkBytesPerSecond, orderBytes, orderBurst)
	l.serviceTimesPace = linkbudget.Pace{
		BytesPerSecond: serviceTimesLinkShare * g.opts.LinkBytesPerSecond, Least: serviceTimesInterval, Longest: maxServiceTimesInterval,
	}
	l.duty = g.startDuty(l.handle)
	return l
}

func (l *leader) handle(message any) {
	switch m := message.(type) {
	case *leaderStatus:
		l.observeLeader(m)
	case *targetStatus:
		l.setTargets(m)
	case *storeUnreachable, tick:
	case *campaignDone:
		l.startTerm(m)
	case *renewalDone:
		l.recordRenewal(m)
	case *tableRead:
		l.handleTableRead(m)
	case *tableWritten:
		l.handleTableWritten(m)
	case *orderDone:
		l.handleOrderDone(m)
	case *followerJoined:
		l.handleFollowerJoined(m)
	case routerCountRead:
		l.handleRouterCountRead()
	case rebalance:
		l.rebalance()
	case *stepDown:
		l.handleStepDown(m)
	case *leaseEnded:
		l.handleLeaseEnded(m)
	case *termResumed:
		l.finishResume(m)
	case *comparison:
		l.handleComparison(m)
	case *yielded:
		l.handleYielded(m)
	}
	l.proceed()
}

// observeLeader records who leads.
func (l *leader) observeLeader(m *leaderStatus) {
	l.leaderObserved = true
	if m.present || m.revision >= l.observed.revision || m.revision == 0 {
		l.observed = *m
	}
	if l.term == nil || m.revision <= l.term.revision() {
		return
	}
	if m.revision.Era() != l.term.revision().Era() {
		l.resumeTerm()
		return
	}
	l.endTerm("another leader or none was seen")
}

func (l *leader) setTargets(m *targetStatus) {
	l.targets = m
	if l.term == nil {
		return
	}
	for _, assignment := range l.term.services {
		if assignment.assigner != nil { // nil while its key table is being read
			m.apply(assignment.assigner)
		}
	}
}

// proceed does what is due: a step of the term, or a campaign if there is no leader.
func (l *leader) proceed() {
	now := time.Now()
	due := now.Add(leaderCheckInterval)
	switch {
	case l.g.lifetime.Err() != nil:
		return
	case l.term != nil:
		var ok bool
		if due, ok = l.steps.begin(now); ok {
			due = l.step(now)
		}
	case l.stopping:
		return
	case l.leaderObserved && !l.observed.present && !l.campaigning:
		if l.campaignNotBefore.After(now) {
			due = l.campaignNotBefore
			break
		}
		l.campaign()
	}
	l.arm(now, due)
}

// pacer keeps minStepInterval between two steps.
type pacer struct{ last time.Time }

// begin reports whether a step may begin now; if not, due is when it may.
func (p *pacer) begin(now time.Time) (due time.Time, ok bool) {
	if due = p.last.Add(minStepInterval); now.Before(due) {
		return due, false
	}
	p.last = now
	return due, true
}

func (l *leader) arm(now, due time.Time) {
	if l.timer != nil && !l.due.After(due) && l.due.After(now) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.due = due
	l.timer = time.AfterFunc(max(due.Sub(now), minStepInterval), func() { l.duty.Tell(tick{}) })
}

// keyedServices returns the services whose keys are assigned to targets.
func (l *leader) keyedServices() []routes.Service {
	v := l.g.view.Load()
	if v == nil {
		return nil
	}
	var all []routes.Service
	for _, s := range v.config.Services {
		if s.ByKey {
			all = append(all, s)
		}
	}
	return all
}

// campaign tries to take leadership in the store.
func (l *leader) campaign() {
	l.campaigning = true
	l.g.workers.Run(func() {
		l.waitForPreviousLeader(l.g.lifetime)
		routers := l.g.countedRouters()
		if routers == 0 {
			routers = assumedRouters
		}
		l.awaitCampaign(routers)
		l.g.gate.wait(l.g.lifetime)
		if l.g.subscription.leaderKnown() {
			l.duty.Tell(&campaignDone{nil, errOtherLeader})
			return
		}
		t, err := l.startCandidateTerm()
		l.duty.Tell(&campaignDone{t, err})
	})
}

// errOtherLeader ends an attempt to take leadership because another router leads.
var errOtherLeader = errors.New("another router leads")

// campaignDelay returns the random delay before a router campaigns, given its share of a core and
// the number of routers; a share of zero counts as a whole core.
func campaignDelay(share float64, routers int) time.Duration {
	spread := min(campaignSpreadPerRouter*time.Duration(max(routers, 1)), maxCampaignSpread)
	pause := time.Duration(rand.Int64N(int64(spread)))
	if isLowCPU(share) {
		pause += lowCPUCampaignDelay
	}
	return pause
}

// isLowCPU reports whether a VM with this share of a core should lead only if no other can.
func isLowCPU(share float64) bool { return share > 0 && share < lowCPUShare }

func (l *leader) startCandidateTerm() (*term, error) {
	ctx := l.g.lifetime
	sent := l.g.opts.Clock.Now()
	acquired, err := l.takeLeadership(ctx, 0)
	if err != nil {
		return nil, err
	}
	t := &term{services: map[string]*serviceAssignment{}}
	t.leadership.Store(acquired)
	t.renewedAt.Store(int64(sent))
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.orders.open(t.ctx)
	return t, nil
}

// delayCampaign sets when this router campaigns again after a campaign that failed.
func (l *leader) delayCampaign(err error) {
	delay := max(l.nextCampaignRetry, campaignRetryDelay)
	l.nextCampaignRetry = min(2*delay, maxCampaignRetryDelay)
	if errors.Is(err, errOtherLeader) {
		l.nextCampaignRetry = campaignRetryDelay
	}
	l.campaignNotBefore = time.Now().Add(time.Duration(float64(delay) * (0.5 + rand.Float64())))
}

func (l *leader) startTerm(m *campaignDone) {
	l.campaigning = false
	if m.err != nil {
		l.g.log.Info("campaign failed", "err", m.err)
		l.delayCampaign(m.err)
		if !errors.Is(m.err, errOtherLeader) && l.g.leadPosition().IsStandby() {
			l.g.succession.decline()
		}
		return
	}
	if l.stopping || l.observed.revision > m.term.revision() {
		m.term.cancel()
		return
	}
	l.term, l.costAt, l.nextCampaignRetry = m.term, time.Now(), 0
	l.resetSuccession(time.Now())
	promised := l.g.subscription.promisedToOther(leaderStatus{revision: m.term.revision()})
	l.term.quorum = newQuorum(l.g.opts.Name, l.g.opts.Clock.Now()+promised)
	l.observed = leaderStatus{name: l.g.opts.Name, address: l.g.opts.PeerAddress, revision: m.term.revision(), present: true}
	l.g.log.Info("leadership taken", "revision", m.term.revision())
	l.g.guard.Keep(uint64(m.term.revision()))
	l.g.statedLimits.lead()
	l.g.subscription.setTerm(m.term)
	l.g.workers.Run(func() { l.renewLease(m.term) })
	l.g.workers.Run(func() { l.writeQuarantine(m.term) })
	l.g.workers.Run(func() { l.triggerRebalances(m.term) })
}

// renewLease renews the lease until the term ends.
func (l *leader) renewLease(t *term) {
	for duty.Sleep(t.ctx, leaderRenewInterval) {
		sent := l.g.opts.Clock.Now()
		err := l.g.storeFor(purposeLead).RenewLease(t.ctx, t.leadership.Load().lease)
		l.duty.Tell(&renewalDone{t, sent, err})
	}
}

// triggerRebalances triggers a rebalance every rebalanceInterval until the term ends.
func (l *leader) triggerRebalances(t *term) {
	for duty.Sleep(t.ctx, rebalanceInterval) {
		l.duty.Tell(rebalance{})
	}
}

func (l *leader) endTerm(why string) {
	l.g.log.Info("leadership lost", "why", why, "revision", l.term.revision())
	l.term.cancel()
	l.term = nil
	l.g.guard.Yield()
	l.g.statedLimits.yield()
	l.g.subscription.setTerm(nil)
}
