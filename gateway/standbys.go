package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tarragongw/core/lead"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

const (
	// maxStandbys bounds the routers that are named to take over when the leader is lost.
	maxStandbys = 8
	// standbyCampaignStep is the campaign delay of each standby after the one before it: a call of the
	// store takes less.
	standbyCampaignStep = 20 * time.Millisecond
	// handoverCheckInterval is how often the leader decides whether another router should lead.
	handoverCheckInterval = 100 * time.Millisecond
	// handoverNotice is the time between naming the successor and ending the lease, in which the
	// followers learn of it.
	handoverNotice = 100 * time.Millisecond
	// standbysWriteInterval is the least time between two writes of the standbys to the store, and before the first of a
	// term: until then its followers join.
	standbysWriteInterval = 2 * time.Second
	// declineTime is for how long a router does not want to lead after it has failed to.
	declineTime = 10 * time.Second
	// standbysKey is the key of the standbys. It lies beside the leader record, which a router that starts reads first:
	// where all routers start anew, none knows the others.
	standbysKey = leaderPrefix + "standbys"
	// standbySeparator separates the names in the record.
	standbySeparator = " "
)

// succession is what this router knows of who leads next, and whether it would itself.
type succession struct {
	mu sync.Mutex
	// standbys are those that the last known leader named: by its feed if fed is set, else by the store.
	standbys []string
	fed      bool
	// stored are those that the store was last known to have.
	stored []string
	// declinesUntil is until when this router does not want to lead.
	declinesUntil time.Time
}

// setStandbys records the routers that take over when the leader is lost.
func (s *succession) setStandbys(standbys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standbys, s.fed = standbys, true
}

// readRecord takes the standbys that the store has, unless a leader has named some.
func (s *succession) readRecord(r kv.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = strings.Fields(string(r.Value))
	if r.Deleted {
		s.stored = nil
	}
	if !s.fed {
		s.standbys = s.stored
	}
}

// inStore returns the standbys that the store was last known to have.
func (s *succession) inStore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}

// setInStore records that the store has the standbys.
func (s *succession) setInStore(standbys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = standbys
}

// decline records that this router has failed to lead.
func (s *succession) decline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declinesUntil = time.Now().Add(declineTime)
}

// position returns this router's place among those that take over.
func (s *succession) position(router string) lead.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lead.PositionOf(router, s.standbys)
}

// candidacy returns what this router could do as the leader.
func (g *Gateway) candidacy() feed.Candidacy {
	g.succession.mu.Lock()
	defer g.succession.mu.Unlock()
	return feed.Candidacy{Machine: g.machine(), Declines: max(time.Until(g.succession.declinesUntil), 0)}
}

func (g *Gateway) machine() lead.Machine {
	return lead.Machine{CPUShare: g.opts.CPUShare, LinkBytesPerSecond: g.opts.LinkBytesPerSecond}
}

// leadPosition returns this router's place among those that take over when the leader is lost.
func (g *Gateway) leadPosition() lead.Position { return g.succession.position(g.opts.Name) }

// leadsLast reports whether this router should lead only if no other can.
func (g *Gateway) leadsLast() bool {
	position := g.leadPosition()
	return position == lead.AfterStandbys || position == lead.AnyRouter && isLowCPU(g.opts.CPUShare)
}

// campaignDelay returns the delay before this router campaigns, given the number of routers.
func (g *Gateway) campaignDelay(routers int) time.Duration {
	switch position := g.leadPosition(); position {
	case lead.AnyRouter:
		return campaignDelay(g.opts.CPUShare, routers)
	case lead.AfterStandbys:
		return campaignDelay(0, routers) + lowCPUCampaignDelay
	default:
		return time.Duration(position) * standbyCampaignStep
	}
}

// leadCandidates returns the followers that could lead: those that reach some targets of each of the services.
func (d *relayDirectory) leadCandidates(services []string) []lead.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []lead.Candidate
	for name, f := range d.followers {
		lacks := slices.ContainsFunc(services, func(s string) bool { return slices.Contains(f.reach.Unreached.Services, s) })
		if f.candidate && !f.reach.Unavailable && !lacks {
			all = append(all, lead.Candidate{Router: name, Machine: f.machine, DeclinesUntil: f.declinesUntil})
		}
	}
	return all
}

// setCandidacy records what a follower could do as the leader.
func (d *relayDirectory) setCandidacy(router string, term uint64, c feed.Candidacy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.followers[router]; term == d.term && f != nil {
		f.candidate, f.machine, f.declinesUntil = true, c.Machine, time.Now().Add(c.Declines)
	}
}

// resetSuccession prepares the decision who leads next for a term that starts now.
func (l *leader) resetSuccession(now time.Time) {
	l.term.handover = lead.NewHandover(now, l.g.machine())
	l.handingOver, l.overloaded, l.standbys = false, false, nil
	l.standbysWriteDue = now.Add(standbysWriteInterval)
}

// considerHandover names the standbys, and hands the lead over where another router should have it.
func (l *leader) considerHandover(t *term, now time.Time) {
	if l.handingOver || l.stopping || now.Before(l.handoverCheckDue) {
		return
	}
	l.handoverCheckDue = now.Add(handoverCheckInterval)
	var services []string
	for name := range t.services {
		services = append(services, name)
	}
	bootTime := l.g.opts.Clock.Now()
	candidates := slices.DeleteFunc(l.g.relays.leadCandidates(services), func(c lead.Candidate) bool {
		return t.quorum.hasPromise(bootTime, c.Router)
	})
	l.publishStandbys(lead.Standbys(now, candidates, maxStandbys))
	l.storeStandbys(t, now)
	if t.leaseAge(bootTime) > storeSuspectAfter {
		return // no other router could take the lead
	}
	successor, why, err := t.handover.Successor(now, candidates)
	if overloaded := err != nil; overloaded != l.overloaded {
		l.overloaded = overloaded
		l.g.log.Warn("leader overload changed", "overloaded", overloaded, "err", errText(err))
	}
	if successor != "" {
		l.handOver(t, now, successor, why)
	}
}

func (l *leader) publishStandbys(routers []string) {
	if slices.Equal(routers, l.standbys) {
		return
	}
	l.standbys = routers
	l.g.log.Info("standbys named", "routers", routers)
	l.g.succession.setStandbys(routers)
	l.g.subscription.source.SetStandbys(routers)
}

// storeStandbys has the standbys written to the store if it has others, not too often.
func (l *leader) storeStandbys(t *term, now time.Time) {
	standbys := l.standbys
	if now.Before(l.standbysWriteDue) || slices.Equal(standbys, l.g.succession.inStore()) {
		return
	}
	l.standbysWriteDue = now.Add(standbysWriteInterval)
	l.g.workers.Run(func() {
		_, _, err := l.g.storeFor(purposeLead).Commit(t.ctx, kv.Txn{
			Conditions: t.leadership.Load().conditions(),
			Puts:       []kv.Put{{Key: standbysKey, Value: []byte(strings.Join(standbys, standbySeparator))}},
		})
		if err != nil {
			l.g.log.Warn("standbys not written", "err", err)
			return
		}
		l.g.succession.setInStore(standbys)
	})
}

// handOver ends the lease once the followers know the successor.
func (l *leader) handOver(t *term, now time.Time, successor string, why lead.Reason) {
	l.g.log.Warn("leadership handed over", "to", successor, "why", why, "revision", t.revision())
	l.countHandover(why)
	l.handingOver, l.campaignNotBefore = true, now.Add(yieldedCampaignDelay)
	if why == lead.ReasonOverloaded {
		l.g.succession.decline()
	}
	l.publishStandbys(append([]string{successor}, slices.DeleteFunc(slices.Clone(l.standbys), func(r string) bool { return r == successor })...))
	l.g.workers.Run(func() {
		duty.Sleep(t.ctx, handoverNotice)
		err := l.endLease(t)
		l.duty.Tell(&yielded{t, err, string(why)})
	})
}
