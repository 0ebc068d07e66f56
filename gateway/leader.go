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
	"tarragongw/core/routes"
	"tarragongw/duty"
	"tarragongw/kv"
)

const (
	// leaderTTL is how long the keys go without a leader that was lost without a word. With
	// the keep interval it is short enough that another renews all grants before they lapse.
	leaderTTL           = 1200 * time.Millisecond
	leaderRenewInterval = 400 * time.Millisecond
	// aloneBound is how long after the last renewal of its lease a leader goes on renewing
	// grants that no other router backs, see backing: time enough to be backed.
	aloneBound = 2 * time.Second
	// oldLeaderBound is how long a leader that is backed goes on. It bears outages of the
	// store of that length, and is what a new leader waits out that too few routers follow,
	// where a target answers the old one alone.
	oldLeaderBound = 10 * time.Second
	// longHold is how long grants last while the store isn't reached, when no other router
	// could take over: so long are keys served on where the leader is lost meanwhile. With
	// 10 s a new leader would have to wait for twice as long for targets that are lost with
	// the old one as it has to in any case, since a router that began of late doesn't know
	// whether it backed one.
	longHold = 6 * time.Second
	// storeSuspectAfter is how long after the last good renewal of the lease the store counts as
	// away: two renewals were lost.
	storeSuspectAfter = 1100 * time.Millisecond
	// campaignSpread is the longest pause for each router that there is before one asks for
	// the lead, and mostSpread the longest of all, drawn at random: all see at once that there
	// is none. The first of many draws a short one, and the others hear of it before they ask.
	campaignSpread = 5 * time.Millisecond
	mostSpread     = 400 * time.Millisecond
	// unknownRouters is how many routers there are taken to be before any was counted.
	unknownRouters = 20
	// weakShare is the part of a core below which a router leaves the lead to others, and
	// weakPause by how much later it asks for it: after the last of the others has asked. A
	// small VM takes longer for a round of grants to some hundred targets than they last.
	weakShare = 0.25
	weakPause = mostSpread + 100*time.Millisecond
	// campaignPause is kept after a try that failed: another router has the lead by then, or
	// the store doesn't answer.
	campaignPause = 150 * time.Millisecond
	// campaignRetryInterval is how often a router without a leader looks again.
	campaignRetryInterval = 700 * time.Millisecond
	// rebalanceEvery is how often the leader looks for keys to move; within it some dozen
	// requests have come.
	rebalanceEvery = 250 * time.Millisecond
	// serviceTimesInterval is how often the leader tells the others how fast targets are; about as
	// long as it takes to learn it.
	serviceTimesInterval = time.Second
	// minStep is the least time between two steps. Each goes over all ranges, of which there
	// are as many as orders whose answers come in within a renewal.
	minStep = 5 * time.Millisecond
	// tableWriteInterval is the least time between two writes of a service's table.
	tableWriteInterval = 100 * time.Millisecond
	// limitsRenewInterval is how often limits of keys are sent again, before they end by
	// themselves, and limitsChange by which part one must have changed to be sent at once.
	limitsRenewInterval = time.Second
	limitsChange        = 0.2
	// publishInterval is the least time between two states of a table that the routers are
	// sent: the targets' answers to orders come one by one, and each state goes to all.
	publishInterval = 50 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 50 * time.Millisecond
)

// leaderSeen is what the store says of the leader.
type leaderSeen struct {
	// name and address are the leader's; address is where it feeds the other routers.
	name, address string
	revision      kv.Revision
	present       bool
}

// leaderSeparator stands between the leader's name and its address in its record.
const leaderSeparator = " "

// Messages of the leader's own calls.
type (
	campaigned struct {
		term *term
		err  error
	}
	leaseRenewed struct {
		term *term
		// sent is when the renewal left, by the clock that counts suspension.
		sent time.Duration
		err  error
	}
	tableRead struct {
		term    *term
		service string
		// table is nil where the store has none; revision is then zero.
		table    *keyspace.Table
		revision kv.Revision
		err      error
	}
	written struct {
		term       *term
		service    string
		generation uint64
		table      *keyspace.Table
		revision   kv.Revision
		conflict   []kv.Record
		err        error
	}
	ordered struct {
		term     *term
		service  string
		order    assign.Order
		outcome  assign.Outcome
		handover string
		err      error
		took     time.Duration
	}
	rebalance struct{}
	// routersCounted says that the number of routers was read from the store.
	routersCounted struct{}
	// followerJoined says that a router follows the leader of the term, and for how long it
	// still backs another; negative is how long ago that has ended.
	followerJoined struct {
		router   string
		term     kv.Revision
		promised time.Duration
	}
)

// targetsSeen is what the store says of the targets.
type targetsSeen struct {
	targets []directory.Target
	// ended are lives of targets that are over for certain.
	ended []keyspace.Holder
}

// apply hands an assigner what is known of the targets.
func (m *targetsSeen) apply(a *assign.Assigner) {
	a.SetTargets(time.Now(), m.targets)
	a.SetEnded(m.ended)
}

// term is the time for which this router leads.
type term struct {
	// lead is what the term rests on in the store; another takes its place where the store
	// comes back from an older copy.
	lead atomic.Pointer[lead]
	// renewedAt is when the last good renewal left, in nanoseconds of the clock that counts
	// suspension; orders read it from their own goroutines.
	renewedAt atomic.Int64
	// ctx ends with the term.
	ctx      context.Context
	end      context.CancelFunc
	services map[string]*serviceAssignment
	// backing has the routers that back and follow this leader.
	backing *backing
	// oldStops has when older leaders have stopped; nil where that isn't known.
	oldStops *lastOrders
}

// revision is that of the leader's record, which names the term.
func (t *term) revision() kv.Revision { return t.lead.Load().revision }

// named reports whether the number named the term at any time.
func (t *term) named(number uint64) bool {
	for l := t.lead.Load(); l != nil; l = l.before {
		if uint64(l.revision) == number {
			return true
		}
	}
	return false
}

// age is how long ago the last good renewal of the lease left.
func (t *term) age(now time.Duration) time.Duration { return now - time.Duration(t.renewedAt.Load()) }

// serviceAssignment is the assignment of one service's keys during a term.
type serviceAssignment struct {
	assigner *assign.Assigner
	revision kv.Revision
	// notBefore is when the next write may go out, after one that failed.
	notBefore time.Time
	// stored is the division as it was written last; published counts the states of it that
	// the routers were sent.
	stored    *keyspace.Table
	published uint64
	// unpublished says that the routers have not been sent what holds; they are at
	// publishDue.
	unpublished bool
	publishDue  time.Time
	// limits are the keys whose requests were limited last, at limitedAt.
	limits    []keyspace.Limit
	limitedAt time.Time
}

// leader is the duty that assigns keys while this router leads, and sees to it that some
// router does.
type leader struct {
	g    *Gateway
	duty *duty.Duty

	seen           leaderSeen
	leaderObserved bool
	campaigning    bool
	// notBefore is when the lead may be asked for again after a try that failed. Without a
	// pause each router asks a store that refuses at once some thirty times a second.
	notBefore time.Time
	term      *term
	// targets are nil until they are known.
	targets  *targetsSeen
	stopping bool
	// resuming says that the lead is being taken again after the store was restored.
	resuming bool
	away     bool
	timer    *time.Timer
	due      time.Time
	steps    pacer
	// serviceTimesDue is when the targets' speeds are told next.
	serviceTimesDue time.Time
}

func newLeader(g *Gateway) *leader {
	l := &leader{g: g}
	l.duty = g.startDuty(l.handle)
	return l
}

func (l *leader) handle(message any) {
	switch m := message.(type) {
	case *leaderSeen:
		l.observeLeader(m)
	case *targetsSeen:
		l.setTargets(m)
	case *absence, tick:
	case *campaigned:
		l.begin(m)
	case *leaseRenewed:
		l.recordRenewal(m)
	case *tableRead:
		l.read(m)
	case *written:
		l.wrote(m)
	case *ordered:
		l.answered(m)
	case *followerJoined:
		l.joined(m)
	case routersCounted:
		l.counted()
	case rebalance:
		l.rebalance()
	case *stepDown:
		l.stop(m)
	case *leaseEnded:
		l.ended(m)
	case *termResumed:
		l.finishResume(m)
	}
	l.next()
}

// observeLeader notes who leads.
func (l *leader) observeLeader(m *leaderSeen) {
	l.leaderObserved = true
	if m.present || m.revision >= l.seen.revision || m.revision == 0 {
		l.seen = *m
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

func (l *leader) setTargets(m *targetsSeen) {
	l.targets = m
	if l.term == nil {
		return
	}
	for _, p := range l.term.services {
		if p.assigner != nil { // its division is being read
			m.apply(p.assigner)
		}
	}
}

// next does what is due: asks for the lead where nobody has it, or steps.
func (l *leader) next() {
	now := time.Now()
	due := now.Add(campaignRetryInterval)
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
	case l.leaderObserved && !l.seen.present && !l.campaigning:
		if l.notBefore.After(now) {
			due = l.notBefore
			break
		}
		l.campaign()
	}
	l.arm(now, due)
}

// pacer keeps minStep between two steps.
type pacer struct{ last time.Time }

// begin reports whether a step may begin now, or else when.
func (p *pacer) begin(now time.Time) (due time.Time, ok bool) {
	if due = p.last.Add(minStep); now.Before(due) {
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
	l.timer = time.AfterFunc(max(due.Sub(now), minStep), func() { l.duty.Tell(tick{}) })
}

// divided returns the services whose keys are to be assigned.
func (l *leader) divided() []routes.Service {
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

// campaign asks the store for the lead.
func (l *leader) campaign() {
	l.campaigning = true
	l.g.workers.Run(func() {
		l.leaveHeadStart(l.g.lifetime)
		routers := l.g.countedRouters()
		if routers == 0 {
			routers = unknownRouters
		}
		duty.Sleep(l.g.lifetime, campaignAfter(l.g.opts.CPUShare, routers))
		l.g.gate.wait(l.g.lifetime)
		if l.g.subscription.leaderKnown() {
			l.duty.Tell(&campaigned{nil, errLed})
			return
		}
		t, err := l.acquire()
		l.duty.Tell(&campaigned{t, err})
	})
}

// errLed ends a try for the lead that became needless.
var errLed = errors.New("another router leads")

// campaignAfter is the pause before one of so many routers, with the part of a core, asks
// for the lead; zero is a whole core.
func campaignAfter(share float64, routers int) time.Duration {
	spread := min(campaignSpread*time.Duration(max(routers, 1)), mostSpread)
	pause := time.Duration(rand.Int64N(int64(spread)))
	if isWeak(share) {
		pause += weakPause
	}
	return pause
}

// isWeak reports whether a VM with the part of a core is to lead last.
func isWeak(share float64) bool { return share > 0 && share < weakShare }

// weak reports whether this router's VM is to lead last.
func (g *Gateway) weak() bool { return isWeak(g.opts.CPUShare) }

func (l *leader) acquire() (*term, error) {
	ctx := l.g.lifetime
	sent := l.g.opts.Clock.Now()
	taken, err := l.take(ctx, 0)
	if err != nil {
		return nil, err
	}
	t := &term{services: map[string]*serviceAssignment{}}
	t.lead.Store(taken)
	t.renewedAt.Store(int64(sent))
	t.ctx, t.end = context.WithCancel(ctx)
	return t, nil
}

func (l *leader) begin(m *campaigned) {
	l.campaigning = false
	if m.err != nil {
		l.g.log.Info("campaign lost", "err", m.err)
		l.notBefore = time.Now().Add(campaignPause)
		return
	}
	if l.stopping || l.seen.revision > m.term.revision() {
		m.term.end()
		return
	}
	l.term = m.term
	own := l.g.subscription.promisedElsewhere(leaderSeen{revision: m.term.revision()})
	l.term.backing = newBacking(l.g.opts.Name, l.g.opts.Clock.Now()+own)
	l.seen = leaderSeen{name: l.g.opts.Name, address: l.g.opts.PeerAddress, revision: m.term.revision(), present: true}
	l.g.log.Info("leadership taken", "revision", m.term.revision())
	l.g.subscription.setTerm(m.term)
	l.g.workers.Run(func() { l.renewLease(m.term) })
	l.g.workers.Run(func() { l.beat(m.term) })
}

// renewLease renews the lease until the term ends.
func (l *leader) renewLease(t *term) {
	for duty.Sleep(t.ctx, leaderRenewInterval) {
		sent := l.g.opts.Clock.Now()
		err := l.g.storeFor(forLead).KeepLease(t.ctx, t.lead.Load().lease)
		l.duty.Tell(&leaseRenewed{t, sent, err})
	}
}

// beat has the keys looked at for moves until the term ends.
func (l *leader) beat(t *term) {
	for duty.Sleep(t.ctx, rebalanceEvery) {
		l.duty.Tell(rebalance{})
	}
}

func (l *leader) endTerm(why string) {
	l.g.log.Info("leadership lost", "why", why, "revision", l.term.revision())
	l.term.end()
	l.term = nil
	l.g.subscription.setTerm(nil)
}
