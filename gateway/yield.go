package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
	"tarragongw/peer/relay"
)

const (
	// minSilentHolders and silentHoldersShare say how many holders of keys must leave orders without an
	// answer for the leader to compare itself with other routers.
	minSilentHolders   = 2
	silentHoldersShare = 0.25
	// compareInterval is the least time between two comparisons.
	compareInterval = 500 * time.Millisecond
	// comparedTargets and comparedRouters bound the targets and the other routers of one comparison.
	comparedTargets = 4
	comparedRouters = 3
	// yieldedCampaignDelay is for how long a router that gave up leadership leaves it to others, and
	// minYieldInterval the least time between two times that it gives it up.
	yieldedCampaignDelay = 1500 * time.Millisecond
	minYieldInterval     = 5 * time.Second
	// cutOffCampaignDelay is the additional campaign delay of a router that reaches less than half of the
	// targets of a service with keys; it ends after the last of the others has campaigned.
	cutOffCampaignDelay = maxCampaignSpread + 200*time.Millisecond
)

// comparison is the result of a comparison between the leader and other routers.
type comparison struct {
	term *term
	// router is the one that reaches more of the targets that don't answer orders; empty if none does.
	router string
	// targets counts the compared targets, and gained those that the router reaches and the leader doesn't,
	// less those for which it is the other way round.
	targets, gained int
}

// compareReach compares what this router and others reach if too many targets leave its orders without
// an answer. A leader that is cut off from targets renews its lease as before, so that only it can find out
// that another router had better lead; one whose targets are down finds that no router reaches them.
func (l *leader) compareReach(t *term, now time.Time) {
	if l.comparing || now.Before(l.compareNotBefore) || l.stopping {
		return
	}
	var silent []directory.Target
	var services []string
	holders := 0
	for name, assignment := range t.services {
		if assignment.assigner == nil {
			continue
		}
		n, some := assignment.assigner.SilentHolders(1)
		holders += n
		silent = append(silent, some...)
		services = append(services, name)
	}
	if len(silent) < min(minSilentHolders, holders) || float64(len(silent)) < silentHoldersShare*float64(holders) || len(silent) == 0 {
		return
	}
	routers := l.g.relays.candidates(services)
	if len(routers) == 0 {
		return
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	silent = silent[:min(len(silent), comparedTargets)]
	l.comparing, l.compareNotBefore = true, now.Add(compareInterval)
	l.g.workers.Run(func() { l.duty.Tell(l.g.compare(t, silent, routers)) })
}

// compare finds a router that reaches more of the targets than this one.
func (g *Gateway) compare(t *term, targets []directory.Target, routers []feed.Router) *comparison {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	own := g.reachedOf(targets, func(target *directory.Target) bool { return g.paths.reachesNow(ctx, target) })
	best := &comparison{term: t, targets: len(targets)}
	results := make(chan *comparison, len(routers))
	for _, r := range routers {
		go func() {
			theirs := <-g.reachedOf(targets, func(target *directory.Target) bool { return g.paths.reachesThrough(ctx, &r, target) })
			results <- &comparison{term: t, router: r.Name, targets: len(targets), gained: count(theirs)}
		}()
	}
	reached := count(<-own)
	for range routers {
		c := <-results
		if c.gained -= reached; 2*c.gained >= len(targets) && c.gained > best.gained {
			best = c
		}
	}
	return best
}

// reachedOf checks all targets at the same time; the channel receives the results.
func (g *Gateway) reachedOf(targets []directory.Target, check func(t *directory.Target) bool) <-chan []bool {
	done := make(chan []bool, 1)
	each := make(chan bool, len(targets))
	for i := range targets {
		go func() { each <- check(&targets[i]) }()
	}
	go func() {
		var all []bool
		for range targets {
			all = append(all, <-each)
		}
		done <- all
	}()
	return done
}

func count(all []bool) int {
	n := 0
	for _, set := range all {
		if set {
			n++
		}
	}
	return n
}

// handleComparison gives up leadership to a router that reaches more.
func (l *leader) handleComparison(m *comparison) {
	l.comparing = false
	if m.term != l.term || l.stopping {
		return
	}
	l.g.log.Info("reach compared with other routers", "targets", m.targets, "router", m.router, "gained", m.gained)
	if m.router == "" {
		return
	}
	l.g.log.Warn("leadership given up to a router that reaches more targets", "router", m.router, "revision", m.term.revision())
	now := time.Now()
	l.g.succession.decline()
	l.compareNotBefore, l.campaignNotBefore = now.Add(minYieldInterval), now.Add(yieldedCampaignDelay)
	t := m.term
	l.g.workers.Run(func() {
		err := l.endLease(t)
		l.duty.Tell(&yielded{t, err, "another router reaches more targets"})
	})
}

// yielded reports that a leader has tried to end its lease in favour of another router.
type yielded struct {
	term *term
	err  error
	why  string
}

func (l *leader) handleYielded(m *yielded) {
	if m.term != l.term {
		return
	}
	l.handingOver = false
	if m.err != nil && !errors.Is(m.err, kv.ErrLeaseLost) {
		// While the store doesn't answer, nobody else can lead.
		l.g.log.Warn("lease not ended; this router continues to lead", "err", m.err)
		l.compareNotBefore = time.Now().Add(compareInterval)
		return
	}
	l.endTerm(m.why)
}

// candidates returns the followers that are likely to reach targets of the services, those that lack the
// fewest services first and otherwise in random order.
func (d *relayDirectory) candidates(services []string) []feed.Router {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*followerReach
	for _, f := range d.followers {
		if f.router.Address != "" && !f.reach.Unavailable {
			all = append(all, f)
		}
	}
	lacks := func(f *followerReach) int {
		n := 0
		for _, name := range services {
			if slices.Contains(f.reach.Unreached.Services, name) {
				n++
			}
		}
		return n
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *followerReach) int { return lacks(a) - lacks(b) })
	var routers []feed.Router
	for _, f := range all[:min(len(all), comparedRouters)] {
		routers = append(routers, f.router)
	}
	return routers
}

// reachesNow reports whether this router can open a connection to the target.
func (p *paths) reachesNow(ctx context.Context, t *directory.Target) bool {
	if p.isLost(t.ID) {
		return false
	}
	conn, err := p.directDialer(t)(ctx, "tcp", t.Address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// reachesThrough reports whether another router can open a connection to the target.
func (p *paths) reachesThrough(ctx context.Context, r *feed.Router, t *directory.Target) bool {
	conn, err := relay.Dial(ctx, r.Address, p.relayRequest(t))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// lacksKeyedTargets reports whether this router reaches less than half of the targets of a service that is
// divided by key.
func (g *Gateway) lacksKeyedTargets() bool {
	for _, s := range g.leader.keyedServices() {
		if g.paths.lacks(s.Name) {
			return true
		}
	}
	return false
}

// lacks reports whether this router reaches less than half of the targets of a service.
func (p *paths) lacks(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets, lost := p.tracker.Service(service)
	return 2*lost > targets
}

// campaignPenalty is for how long this router leaves a campaign to others because it reaches few targets.
func (g *Gateway) campaignPenalty() time.Duration {
	if g.lacksKeyedTargets() {
		return cutOffCampaignDelay
	}
	return 0
}

// awaitCampaign waits until this router may campaign.
func (l *leader) awaitCampaign(routers int) {
	duty.Sleep(l.g.lifetime, l.g.campaignDelay(routers)+l.g.campaignPenalty())
}
