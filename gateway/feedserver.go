package gateway

import (
	"context"
	"time"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// reportScale returns the number of all routers divided by the number of routers whose requests this
// router knows of: itself and the followers that report to it.
func (f *subscription) reportScale() float64 {
	return float64(f.g.routerCount()) / float64(min(int(f.followers.Load())+1, f.g.routerCount()))
}

// serveFollowers serves the feed to the routers that follow this one.
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
		g.log.Error("feed server failed", "err", err)
	}
}

// feedSource returns the source of the feed for followers of the term, and a context that ends with the
// term; nil if this router doesn't lead in the term.
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

// recordFollowerPromise records that a router has promised to follow no other leader than this one, the
// leader of the term, until a time.
func (f *subscription) recordFollowerPromise(router string, term uint64, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != nil && f.term.hasRevision(term) {
		f.term.quorum.recordPromise(router, until)
	}
}

// handleReport adds the keys and service times that another router has reported for a service.
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
