package gateway

import (
	"context"
	"time"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// feedLinkShare is the part of the link that the feed to all followers may take; orders come before it.
const feedLinkShare = 0.5

// reportScale returns the number of all routers divided by the number of routers whose requests this
// router knows of: itself and the followers that report to it.
func (sub *subscription) reportScale() float64 {
	return float64(sub.g.routerCount()) / float64(min(int(sub.followers.Load())+1, sub.g.routerCount()))
}

// serveFollowers serves the feed to the routers that follow this one.
func (g *Gateway) serveFollowers() {
	server := &feed.Server{
		Log: g.log, StoreReachable: g.subscription.isFresh, ConfigAge: g.feedAge, State: g.ownState, LeaderSource: g.subscription.feedSource,
		OnReport: g.handleReport, OnObservations: g.guard.Observe, OnTargetNews: g.handleTargetNews, Clock: g.opts.Clock,
		OnJoin: func(router feed.Router, term uint64, promised time.Duration) {
			g.relays.join(router, term)
			g.leader.duty.Tell(&followerJoined{router.Name, kv.Revision(term), promised})
		},
		OnCandidacy: g.relays.setCandidacy, OnLeave: g.relays.leave, OnReach: g.relays.setReach, OnRelay: g.relayServer.Serve,
		OnBytes: g.leadCost.countFeed, Line: feed.NewLine(feedLinkShare * g.opts.LinkBytesPerSecond), OnBacked: g.subscription.recordFollowerPromise,
	}
	if err := server.Serve(g.lifetime, g.peerListener); err != nil {
		g.log.Error("feed server failed", "err", err)
	}
}

// feedAge returns how long ago what the feed carries was last known to be the newest.
func (g *Gateway) feedAge() time.Duration {
	age := max(g.stateAge.age(), g.configAge.age())
	if g.evacuates() {
		age = max(age, g.sends.evacuations.age())
	}
	return age
}

// feedSource returns the source of the feed for followers of the term, and a context that ends with the
// term; nil if this router doesn't lead in the term.
func (sub *subscription) feedSource(term uint64) (context.Context, *feed.Source) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.term == nil || !sub.term.hasRevision(term) {
		return nil, nil
	}
	sub.followers.Add(1)
	context.AfterFunc(sub.term.ctx, func() { sub.followers.Store(0) })
	return sub.term.ctx, sub.source
}

// recordFollowerPromise records that a router has promised to follow no other leader than this one, the
// leader of the term, until a time.
func (sub *subscription) recordFollowerPromise(router string, term uint64, until time.Duration) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.term != nil && sub.term.hasRevision(term) {
		sub.term.quorum.recordPromise(router, until)
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
