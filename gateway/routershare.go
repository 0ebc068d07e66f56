package gateway

import (
	"sync"
	"time"

	"tarragongw/core/retry"
)

const (
	// countTTL is for how long a count of the routers is used. It bridges the loss of a leader.
	countTTL = 6 * time.Second
	// countLag is how far a count may be behind the store: the pause of the watch, and the time after which
	// a connection that no longer delivers packets is noticed.
	countLag = 4 * time.Second
	// countHold is for how long a higher count is used. Records that the store has lost are written again
	// within subscribedRenewInterval.
	countHold = subscribedRenewInterval + 2*time.Second
)

// routerShare is this router's part of limits that all routers share.
type routerShare struct {
	g *Gateway

	// applying keeps the order in which changes reach the budgets.
	applying sync.Mutex

	mu    sync.Mutex
	share *retry.Share
	// fraction is the one that the services' budgets have.
	fraction float64
}

func newRouterShare(g *Gateway) *routerShare {
	return &routerShare{g: g, share: retry.NewShare(retry.ShareConfig{Settle: countTTL + countLag, CountTTL: countTTL, Hold: countHold})}
}

// counted records the number of routers, as it is in the store or at a leader that the store answers.
func (s *routerShare) counted(routers int) {
	if routers == 0 {
		return
	}
	now := s.g.opts.Clock.Now()
	s.mu.Lock()
	s.share.Counted(now, routers)
	s.mu.Unlock()
	s.apply()
}

// recorded records that this router's own record is in the store until a time.
func (s *routerShare) recorded(until time.Duration) {
	now := s.g.opts.Clock.Now()
	s.mu.Lock()
	s.share.Recorded(now, until)
	s.mu.Unlock()
	s.apply()
}

// unrecorded records that this router's own record may not be in the store.
func (s *routerShare) unrecorded() {
	s.mu.Lock()
	s.share.Unrecorded()
	s.mu.Unlock()
	s.apply()
}

// current returns the fraction that budgets have.
func (s *routerShare) current() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fraction
}

// apply passes a changed fraction on to the budgets of all services.
func (s *routerShare) apply() {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	fraction := s.share.Fraction(s.g.opts.Clock.Now())
	changed := fraction != s.fraction
	s.fraction = fraction
	routers := s.share.Routers(s.g.opts.Clock.Now())
	s.mu.Unlock()
	if before := s.g.highestCount.Swap(int64(routers)); before != int64(routers) {
		s.g.leader.duty.Tell(routerCountRead{})
	}
	if !changed {
		return
	}
	s.g.log.Info("share of the retries changed", "share", fraction, "routers", routers)
	s.g.mu.RLock()
	defer s.g.mu.RUnlock()
	for _, service := range s.g.services {
		service.setShare(fraction)
	}
}
