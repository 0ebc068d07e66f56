package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/peer/feed"
)

// toldByAnswer is who told of a leaving target in log lines, if it was that itself.
const toldByAnswer = "an answer"

// statedLeaving hands on which targets have stated in their answers that they leave: to this router's directory, and by the
// feed to the leader and to all other routers, so that the store isn't needed for it.
type statedLeaving struct {
	g *Gateway

	mu sync.Mutex
	// known has since when it is known of each instance, and untold are those that the leader has to be told of.
	known  map[keyspace.Holder]time.Time
	untold []feed.LeavingTarget
}

// leavingStated reports to the state duty what was heard of leaving targets, and from whom.
type leavingStated struct {
	targets []feed.LeavingTarget
	toldBy  string
}

func newStatedLeaving(g *Gateway) *statedLeaving {
	return &statedLeaving{g: g, known: map[keyspace.Holder]time.Time{}}
}

// observe records that a target has stated in an answer to this router that it leaves.
func (l *statedLeaving) observe(t *directory.Target) {
	l.mu.Lock()
	_, known := l.known[t.Holder()]
	stated := feed.LeavingTarget{Holder: t.Holder(), At: time.Now()}
	if !known {
		l.known[stated.Holder] = stated.At
		l.untold = append(l.untold, stated)
	}
	l.mu.Unlock()
	if known {
		return
	}
	l.g.state.duty.Tell(&leavingStated{[]feed.LeavingTarget{stated}, toldByAnswer})
	l.g.statedLimits.wakeFeed()
}

// hear records what another router tells.
func (l *statedLeaving) hear(targets []feed.LeavingTarget, router string) {
	l.mu.Lock()
	news := slices.DeleteFunc(slices.Clone(targets), func(t feed.LeavingTarget) bool {
		at, known := l.known[t.Holder]
		return known && !t.At.Before(at)
	})
	l.mu.Unlock()
	if len(news) > 0 {
		l.g.state.duty.Tell(&leavingStated{news, router})
	}
}

// take returns what the leader has to be told.
func (l *statedLeaving) take() []feed.LeavingTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	untold := l.untold
	l.untold = nil
	return untold
}

// retell has a new leader told of all leaving targets that this router knows of.
func (l *statedLeaving) retell() {
	l.mu.Lock()
	l.untold = leavingTargets(l.known)
	some := len(l.untold) > 0
	l.mu.Unlock()
	if some {
		l.g.statedLimits.wakeFeed()
	}
}

// publish replaces what is known, and what followers are told.
func (l *statedLeaving) publish(known map[keyspace.Holder]time.Time) {
	l.mu.Lock()
	l.known = maps.Clone(known) // observe adds to it
	l.mu.Unlock()
	l.g.subscription.source.SetLeaving(leavingTargets(known))
	if tel := l.g.opts.Telemetry; tel != nil {
		tel.Scope().Gauge("stated_leaving_targets").Update(float64(len(known)))
	}
}

// all returns the targets that are known to have stated that they leave.
func (l *statedLeaving) all() []feed.LeavingTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leavingTargets(l.known)
}

func leavingTargets(known map[keyspace.Holder]time.Time) []feed.LeavingTarget {
	targets := make([]feed.LeavingTarget, 0, len(known))
	for h, at := range known {
		targets = append(targets, feed.LeavingTarget{Holder: h, At: at})
	}
	slices.SortFunc(targets, func(a, b feed.LeavingTarget) int { return strings.Compare(a.Holder.Target, b.Holder.Target) })
	return targets
}

// useStatedLeaving records which targets have stated that they leave.
func (cs *clusterState) useStatedLeaving(m *leavingStated) {
	changed := false
	for _, t := range m.targets {
		changed = cs.directory.StateLeaving(time.Now(), t.Holder, t.At) || changed
	}
	if !changed {
		return
	}
	cs.g.statedLeaving.publish(cs.directory.StatedLeaving())
	cs.logLeaving(m.toldBy)
	cs.publishTargets(cs.knownPrefixes[cs.g.opts.Adapter.TargetPrefix])
}

// takeTargetNews returns what the leader has to be told of statements of targets, and the permits that it is asked for.
func (g *Gateway) takeTargetNews() *feed.TargetNews {
	news := g.statedLimits.takeNews()
	news.Leaving = g.statedLeaving.take()
	return news
}

// handleTargetNews records what a follower tells of statements of targets, and answers its requests for permits.
func (g *Gateway) handleTargetNews(router string, news *feed.TargetNews) []feed.Permits {
	g.statedLeaving.hear(news.Leaving, router)
	return g.statedLimits.handleNews(news)
}
