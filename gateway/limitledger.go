package gateway

import (
	"maps"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/core/targetlimit"
	"tarragongw/peer/feed"
)

// lead makes this router the one that gives permits.
func (l *statedLimits) lead() {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	l.mu.Lock()
	now := time.Now()
	l.ledger = targetlimit.NewLedger(now, l.view.Keep(now))
	known := l.ledger.Limits()
	l.published, l.statements = known, nil
	l.view.SetListed(known)
	l.mu.Unlock()
	l.g.subscription.source.SetTargetLimits(known)
}

// yield ends that.
func (l *statedLimits) yield() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger, l.published = nil, nil
}

// handleNews records what a follower tells of limits, and answers its requests for permits.
func (l *statedLimits) handleNews(news *feed.TargetNews) []feed.Permits {
	mayGive := l.g.leader.mayGivePermits()
	l.mu.Lock()
	if l.ledger == nil {
		l.mu.Unlock()
		return nil
	}
	for i := range news.Statements {
		l.record(&news.Statements[i])
	}
	now := time.Now()
	var permits []feed.Permits
	for i := range news.Requests {
		r := &news.Requests[i]
		p := feed.Permits{ID: r.ID, Wait: noLeaderWait()}
		if mayGive {
			p.Granted, p.Wait = l.ledger.Take(now, r.Limit.Holder, r.Count, r.Retries)
		}
		permits = append(permits, p)
	}
	l.mu.Unlock()
	l.publish()
	return permits
}

// debit counts a status check that this router sends to a target while it leads.
func (l *statedLimits) debit(holder keyspace.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ledger != nil {
		l.ledger.Debit(time.Now(), holder)
	}
}

// tick ends limits that targets no longer state and has silent targets asked, while this router leads.
func (l *statedLimits) tick() {
	l.mu.Lock()
	if l.ledger == nil {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	l.ledger.Expire(now)
	due := l.ledger.DueChecks(now)
	maps.DeleteFunc(l.statedAt, func(_ keyspace.Holder, at time.Time) bool { return now.Sub(at) > time.Minute })
	l.mu.Unlock()
	l.publish()
	l.leaderHeard(l.g.opts.Name)
	for _, limit := range due {
		if t, known := l.g.targetOf(limit.Holder); known && l.g.healthPath(t.Service) != "" {
			l.g.workers.Run(func() { l.askTarget(&t, l.g.healthPath(t.Service)) })
		}
	}
}

// askTarget asks a target by a status check whether it still states a limit.
func (l *statedLimits) askTarget(t *directory.Target, path string) {
	if l.g.rests.check(t) != nil {
		return // it is due again later
	}
	l.debit(t.Holder())
	sentAt := time.Now()
	perSecond, stated, err := l.g.opts.Adapter.AskLimit(l.g.lifetime, t, path)
	l.g.log.Info("target asked for its limit", "target", t.ID, "service", t.Service, "stated", stated, "per_second", perSecond, "err", err)
	if err != nil {
		return
	}
	var limit *targetlimit.Limit
	if stated {
		limit = &targetlimit.Limit{Holder: t.Holder(), Service: t.Service, PerSecond: perSecond}
	}
	l.mu.Lock()
	if l.ledger != nil {
		l.ledger.Checked(time.Now(), sentAt, t.Holder(), limit)
	}
	l.mu.Unlock()
	l.publish()
}
