package gateway

import (
	"context"
	"time"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// unseen is by how much the routers' requests exceed those that this router hears of.
func (f *subscription) reportScale() float64 {
	return float64(f.g.routerCount()) / float64(min(int(f.followers.Load())+1, f.g.routerCount()))
}

// serveFollowers feeds the routers that follow this one.
func (g *Gateway) serveFollowers() {
	server := &feed.Server{
		Log: g.log, Fresh: g.subscription.targetsFresh, Lead: g.subscription.feedSource,
		Reported: g.handleReport, Clock: g.opts.Clock,
		Joined: func(router string, term uint64, promised time.Duration) {
			g.leader.duty.Tell(&followerJoined{router, kv.Revision(term), promised})
		},
		Backed: g.subscription.recordFollowerPromise,
	}
	if err := server.Serve(g.lifetime, g.peerListener); err != nil {
		g.log.Error("followers are fed no more", "err", err)
	}
}

// leads returns what followers of the term are told.
func (f *subscription) feedSource(term uint64) (context.Context, *feed.Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == nil || !f.term.hasRevision(term) {
		return nil, nil
	}
	f.followers.Add(1)
	context.AfterFunc(f.term.ctx, func() { f.followers.Store(0) })
	return f.term.ctx, f.source
}

// backed notes that a router backs this one as the leader of a term.
func (f *subscription) recordFollowerPromise(router string, term uint64, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != nil && f.term.hasRevision(term) {
		f.term.quorum.recordPromise(router, until)
	}
}

// handleReport takes in what another router saw of a service.
func (g *Gateway) handleReport(r feed.Report) {
	s := g.service(r.Service)
	if s == nil {
		return
	}
	for _, key := range r.Keys {
		s.keyLoad.add(key)
	}
	s.learnServiceTimes(r.ServiceTimes)
}
