package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"tarragongw/internal/waittest"
)

var (
	lossSeeds     = flag.Int("loss-seeds", 3, "number of random series of losses")
	firstLossSeed = flag.Uint64("loss-first-seed", 1, "seed of the first random series of losses")
)

const (
	lossRouters = 6
	// lossTime is for how long changes and losses are drawn.
	lossTime = 10 * time.Second
	// inTouchWindow is for how long before a moment a router must have been undisturbed to be bound by the
	// time limit of a change (the platform's stability_window).
	inTouchWindow = 3 * time.Second
)

// loss is one loss of a gateway.
type loss struct {
	g        *Gateway
	kind     lossKind
	from, to time.Time
}

type lossKind int

const (
	storeLost lossKind = iota
	// unreachable gateways can't be reached by other routers.
	unreachable
	ended
	// starting gateways are not ready yet.
	starting
)

// change is a version of the configuration and when it was acknowledged.
type configChange struct {
	version int
	at      time.Time
}

// lossSeries is a fleet with a random series of overlapping losses beside changes of the configuration.
type lossSeries struct {
	f        *fleet
	random   *rand.Rand
	versions *versionLog
	all      []*Gateway
	live     []*Gateway
	losses   []loss
	changes  []configChange
	// due are what has to happen at a later time.
	due []dueStep
}

type dueStep struct {
	at time.Time
	do func()
}

// Guards against changes that are not in force in time through any series of overlapping losses of leaders, feeds,
// and paths to the store.
func TestChangesAreInForceInTimeThroughRandomLosses(t *testing.T) {
	for i := range *lossSeeds {
		seed := *firstLossSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			retryOnStall(t, func() error { return runLossSeries(t, seed) })
		})
	}
}

func runLossSeries(t *testing.T, seed uint64) error {
	f := newLossyFleet(t, lossRouters)
	for _, g := range f.gateways {
		waittest.Until(t, "the routers are counted", func() bool { return g.countedRouters() == lossRouters })
	}
	s := &lossSeries{f: f, random: rand.New(rand.NewPCG(seed, 53)), versions: watchVersions(f.gateways)}
	s.all, s.live = slices.Clone(f.gateways), slices.Clone(f.gateways)
	nextChange, nextLoss := time.Now(), time.Now()
	for end := time.Now().Add(lossTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.doDue()
		if now := time.Now(); !now.Before(nextChange) {
			f.configure(plainConfig)
			s.changes = append(s.changes, configChange{f.version, time.Now()})
			nextChange = now.Add(s.between(100*time.Millisecond, 600*time.Millisecond))
		}
		if now := time.Now(); !now.Before(nextLoss) {
			s.lose()
			nextLoss = now.Add(s.between(0, 1500*time.Millisecond))
		}
	}
	for end := time.Now().Add(configApply + inTouchWindow); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.doDue()
	}
	s.versions.end()
	return s.check()
}

func (s *lossSeries) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *lossSeries) doDue() {
	for i := 0; i < len(s.due); i++ {
		if d := s.due[i]; !time.Now().Before(d.at) {
			s.due = slices.Delete(s.due, i, i+1)
			i--
			d.do()
		}
	}
}

func (s *lossSeries) after(d time.Duration, do func()) {
	s.due = append(s.due, dueStep{time.Now().Add(d), do})
}

// lose draws a loss, of the leader half of the time.
func (s *lossSeries) lose() {
	g := s.live[s.random.IntN(len(s.live))]
	if leader := s.f.leader(); leader != nil && slices.Contains(s.live, leader) && s.random.IntN(2) == 0 {
		g = leader
	}
	name, d := g.opts.Name, s.between(200*time.Millisecond, 5*time.Second)
	switch s.random.IntN(5) {
	case 0, 1:
		link := s.f.links[name]
		if link.cut.Swap(true) {
			return
		}
		s.record(g, storeLost, d, func() { link.cut.Store(false) })
	case 2, 3:
		proxy := s.f.proxies[name]
		if !proxy.setSilent(true) {
			return
		}
		s.record(g, unreachable, d, func() { proxy.setSilent(false) })
	case 4:
		if len(s.live) > lossRouters/2 {
			s.crash(g)
		}
	}
}

func (s *lossSeries) record(g *Gateway, kind lossKind, d time.Duration, restore func()) {
	i := len(s.losses)
	s.losses = append(s.losses, loss{g: g, kind: kind, from: time.Now()})
	s.f.t.Logf("%s: loss %d for %v", g.opts.Name, kind, d)
	s.after(d, func() {
		restore()
		s.losses[i].to = time.Now()
	})
}

// crash ends a router, and starts it again soon.
func (s *lossSeries) crash(g *Gateway) {
	s.f.t.Logf("%s: crash", g.opts.Name)
	s.losses = append(s.losses, loss{g: g, kind: ended, from: time.Now()})
	abandon(g)
	s.live = slices.DeleteFunc(s.live, func(other *Gateway) bool { return other == g })
	s.after(s.between(0, time.Second), func() {
		next := s.f.start(g.opts.Name)
		s.losses = append(s.losses, loss{g: next, kind: starting, to: time.Now()})
		s.all, s.live = append(s.all, next), append(s.live, next)
		s.versions.add(next)
	})
}

// disturbed reports whether a gateway has a loss of one of the kinds within a time.
func (s *lossSeries) disturbed(g *Gateway, from, to time.Time, kinds ...lossKind) bool {
	return slices.ContainsFunc(s.losses, func(l loss) bool {
		return l.g == g && slices.Contains(kinds, l.kind) && l.from.Before(to) && (l.to.IsZero() || l.to.After(from))
	})
}

// check returns an error if a version came into force too late at a router that should have had it.
func (s *lossSeries) check() error {
	for _, g := range s.all {
		if err := s.versions.errIfReverted(g); err != nil {
			return err
		}
		for _, c := range s.changes {
			if due, bound := s.dueAt(g, c); bound {
				if at, inForce := s.versions.since(g, c.version); !inForce || at.After(due) {
					return errors.Errorf("version %d of %v came into force at %s at %v (%t), due at %v",
						c.version, c.at.Format(time.StampMilli), g.opts.Name, at.Format(time.StampMilli), inForce, due.Format(time.StampMilli))
				}
			}
		}
	}
	return nil
}

// dueAt returns when a change must be in force at a gateway; false if it is not bound.
func (s *lossSeries) dueAt(g *Gateway, c configChange) (time.Time, bool) {
	due := c.at.Add(configApply)
	if !s.disturbed(g, due.Add(-inTouchWindow), due, storeLost, ended, starting) {
		return due, true
	}
	bound := false
	for _, other := range s.all {
		at, inForce := s.versions.since(other, c.version)
		reached := at.Add(configApply)
		if other == g || !inForce || s.disturbed(other, at.Add(-inTouchWindow), reached, unreachable, ended, starting) ||
			s.disturbed(g, at.Add(-inTouchWindow), reached, ended, starting) {
			continue
		}
		if !bound || reached.Before(due) {
			due, bound = reached, true
		}
	}
	return due, bound
}
