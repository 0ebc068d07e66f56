package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tarragongw/kv"
)

// watch is a watcher that runs until it is stopped.
type watch struct {
	*watcher
	stop context.CancelFunc
}

// startWatch starts to watch a prefix; the caller holds the lock.
func (sub *subscription) startWatch(prefix string, pause func([]kv.Record) time.Duration, wait func() time.Duration) *watch {
	ctx, cancel := context.WithCancel(sub.g.lifetime)
	w := &watch{stop: cancel, watcher: &watcher{
		store: sub.g.storeFor(sub.g.purposeOf(prefix)), log: sub.g.log, prefix: prefix, pause: pause, wait: wait, historyLost: sub.restartWatches,
		gate: &sub.g.gate, probe: sub.g.membership.probeNow, answered: sub.confirmState,
		notify: func(message any) {
			if ctx.Err() == nil {
				sub.g.state.duty.Tell(&prefixMessage{prefix: prefix, message: message})
			}
		},
	}}
	sub.g.goRun(func() { w.run(ctx) })
	return w
}

// confirmState records what the answers to the watches prove. Each watch proves only its own records: its connection may be
// silent while the store answers the others.
func (sub *subscription) confirmState() {
	sub.mu.Lock()
	config, targets := sub.configWatch.confirmed(), sub.targetsWatch.confirmed()
	counted := len(sub.otherWatches) > 0 && sub.otherWatches[0].provenWithin(countLag)
	sub.mu.Unlock()
	if config != nil {
		sub.g.state.duty.Tell(&stateConfirmed{config: true, at: sub.g.clockTime(*config), evacuations: true})
	}
	if targets != nil {
		sub.g.state.duty.Tell(&stateConfirmed{targets: true, at: sub.g.clockTime(*targets)})
	}
	if counted {
		sub.g.share.counted(sub.g.countedRouters())
	}
}

// clockTime converts a time to that of the clock that goes on during suspension.
func (g *Gateway) clockTime(t time.Time) time.Duration { return g.opts.Clock.Now() - time.Since(t) }

// confirmed returns when the answers to a watch last showed that its records are the newest; nil if they don't or if the watch
// isn't running.
func (w *watch) confirmed() *time.Time {
	if w == nil || !w.healthy.Load() {
		return nil
	}
	return w.confirmedAt.Load()
}

// provenWithin reports whether the answers to a watch have shown within a time that its records are the newest.
func (w *watch) provenWithin(limit time.Duration) bool {
	at := w.confirmed()
	return at != nil && time.Since(*at) < limit
}

// constantPause returns a pause that doesn't depend on the changed records.
func constantPause(pause time.Duration) func([]kv.Record) time.Duration {
	return func([]kv.Record) time.Duration { return pause }
}

// constantWait returns a wait that is always the same.
func constantWait(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

// leaderWatchPause is the pause after a change of the leader record.
func leaderWatchPause(changed []kv.Record) time.Duration {
	for _, r := range changed {
		if r.Key == leaderKey && r.Deleted {
			return leaderDeletedWatchPause
		}
	}
	return leaderFoundWatchPause
}

// leaderWatchWait returns how long a watch for the leader's record waits. A router that leads learns by renewing its lease
// whether it still does.
func (sub *subscription) leaderWatchWait() time.Duration {
	if sub.g.leading.Load() {
		return sub.rareChangeWait()
	}
	return searchWatchWait
}

// rareChangeWait returns how long a watch for records that change rarely, and which nothing waits for, waits.
func (sub *subscription) rareChangeWait() time.Duration {
	wait := maxRareChangeWait
	if history := sub.g.opts.StoreHistory; history > 0 {
		wait = min(wait, time.Duration(rareChangeHistoryShare*float64(history)))
	}
	return time.Duration(float64(wait) * (1 - rareChangeJitter*rand.Float64()))
}

// fallbackDelay returns how long this router waits for a feed before it reads the state from the store, if that isn't overdue
// sooner.
func fallbackDelay() time.Duration { return maxFallbackDelay + rand.N(fallbackJitter) }

// restartWatches restarts all running watches.
func (sub *subscription) restartWatches() {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for _, w := range sub.runningWatches() {
		w.restart()
	}
}

// exportWatchAges exports how long ago each watch last showed that the store has nothing newer; -1 where it isn't running.
func (sub *subscription) exportWatchAges() {
	tel := sub.g.opts.Telemetry
	if tel == nil {
		return
	}
	for _, prefix := range []string{leaderPrefix, sub.g.opts.Adapter.ConfigPrefix, sub.g.opts.Adapter.TargetPrefix, routerPrefix, tablePrefix} {
		tel.GaugeFunc("store_watch_age_seconds", map[string]string{"for": sub.g.purposeOf(prefix)}, func() float64 { return sub.watchAge(prefix) })
	}
}

// watchAge returns how many seconds ago the watch of a prefix last showed that the store has nothing newer, -1 if never.
func (sub *subscription) watchAge(prefix string) float64 {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for _, w := range sub.runningWatches() {
		if w.prefix != prefix {
			continue
		}
		if at := w.confirmedAt.Load(); at != nil {
			return time.Since(*at).Seconds()
		}
	}
	return -1
}

// runningWatches returns the watches that run; the caller holds the lock.
func (sub *subscription) runningWatches() []*watch {
	all := slices.Clone(sub.otherWatches)
	for _, w := range []*watch{sub.leaderWatch, sub.configWatch, sub.targetsWatch} {
		if w != nil {
			all = append(all, w)
		}
	}
	return all
}

// watchLeader starts to watch the leader record, unless it is watched already.
func (sub *subscription) watchLeader() {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.leaderWatch == nil {
		sub.leaderWatch = sub.startWatch(leaderPrefix, leaderWatchPause, sub.leaderWatchWait)
	}
}

// watchStore starts to watch the configuration, the targets and the routers in the store. It also
// watches the key tables if tables is set; a leader doesn't, because it is the one that writes them.
func (sub *subscription) watchStore(tables bool) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.configWatch == nil {
		sub.configWatch = sub.startWatch(sub.g.opts.Adapter.ConfigPrefix, constantPause(configWatchPause), constantWait(configWatchWait))
	}
	if sub.targetsWatch == nil {
		sub.targetsWatch = sub.startWatch(sub.g.opts.Adapter.TargetPrefix, constantPause(targetsWatchPause), constantWait(targetsWatchWait))
	}
	if len(sub.otherWatches) > 0 && (len(sub.otherWatches) > 1 || !tables) {
		return
	}
	for _, w := range sub.otherWatches {
		w.stop()
	}
	sub.otherWatches = []*watch{sub.startWatch(routerPrefix, constantPause(routersWatchPause), constantWait(routersWatchWait))}
	if tables {
		sub.otherWatches = append(sub.otherWatches, sub.startWatch(tablePrefix, constantPause(tablesWatchPause), constantWait(tablesWatchWait)))
	}
}

// scheduleFallback records that no feed of a leader that reaches the store is up. Unless one comes up
// within the delay, this router reads the state from the store; sooner if its state is overdue. A
// delay that is pending is only shortened.
func (sub *subscription) scheduleFallback(delay time.Duration) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.subscribed = false
	latest := time.Now().Add(delay)
	if sub.watchesTables() || sub.fallbackPending && !latest.Before(sub.fallbackLatest) {
		return
	}
	sub.fallbackPending, sub.fallbackLatest = true, latest
	sub.fallBackAfter(time.Until(sub.fallbackDue()), sub.fallbackGeneration)
}

// fallbackDue returns when a pending fallback is due. What is overdue is first read alone, once, which costs less: see
// recheckState. The caller holds the lock.
func (sub *subscription) fallbackDue() time.Time {
	overdue := time.Now().Add(sub.g.stateAge.untilOverdue() + singleReadTime)
	if overdue.Before(sub.fallbackLatest) {
		return overdue
	}
	return sub.fallbackLatest
}

func (sub *subscription) fallBackAfter(delay time.Duration, generation int) {
	time.AfterFunc(delay, func() { sub.fallBack(generation) })
}

// postponeFallback postpones a pending fallback, because a leader was found; the caller holds the lock.
func (sub *subscription) postponeFallback() {
	if !sub.fallbackPending {
		return
	}
	earliest := time.Now().Add(max(min(newLeaderGrace, sub.g.stateAge.untilOverdue()), 0))
	if sub.fallbackLatest.Before(earliest) {
		sub.fallbackLatest = earliest
	}
}

// watchesTables reports whether this router watches everything in the store, the key tables
// included; the caller holds the lock.
func (sub *subscription) watchesTables() bool {
	return sub.targetsWatch != nil && len(sub.otherWatches) > 1
}

// fallBack starts to watch everything in the store. If the store is unreachable, it first waits until
// the store answers again, and then for recoveryDelay: the leader's feed may come up within it, and
// a store that has just recovered is not read completely by a whole fleet at once.
func (sub *subscription) fallBack(generation int) {
	if sub.g.gate.isShut() {
		sub.g.goRun(func() {
			if sub.g.gate.wait(sub.g.lifetime) {
				sub.fallBackAfter(recoveryDelay+rand.N(fallbackJitter), generation)
			}
		})
		return
	}
	if sub.endFallbackDelay(generation) && sub.g.lifetime.Err() == nil {
		sub.watchLeader()
		sub.watchStore(true)
	}
}

// endFallbackDelay ends the delay of the generation, and reports whether to watch everything in the
// store now. It does not if a feed has come up meanwhile, or if the delay was extended.
func (sub *subscription) endFallbackDelay(generation int) bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if generation != sub.fallbackGeneration {
		return false
	}
	if early := time.Until(sub.fallbackDue()); early > 0 {
		sub.fallBackAfter(early, generation)
		return false
	}
	sub.fallbackPending = false
	return sub.term == nil && !sub.watchesTables()
}

// searchDelay returns the delay before a router that has lost its leader asks the store who leads,
// given the number of routers.
//
// All followers notice at the same moment that a leader has stopped or lost the store, and if each
// of them watched the leader record, that would cost the store twice as many calls as there are
// routers. With the delay, a few see the lease end and campaign; the others learn by a single call
// who has won. A router that should lead only if no other can is never among the first.
func searchDelay(routers int, leadsLast bool) time.Duration {
	if routers == 0 {
		routers = assumedRouters
	}
	if !leadsLast && rand.Float64()*float64(routers) < immediateSearchers {
		return 0
	}
	return minSearchDelay + rand.N(maxSearchDelay-minSearchDelay)
}

// searchLeader makes this router ask the store who leads, either immediately or after a delay. The
// additional delay applies to the second case only.
func (sub *subscription) searchLeader(additional time.Duration) {
	delay := searchDelay(sub.g.countedRouters(), sub.g.leadsLast())
	if delay == 0 || sub.g.leadPosition().IsStandby() {
		sub.watchLeader()
		return
	}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.searching || sub.leaderWatch != nil {
		return
	}
	sub.searching = true
	time.AfterFunc(delay+additional, func() {
		sub.mu.Lock()
		sub.searching = false
		needless := sub.subscribed || sub.g.lifetime.Err() != nil
		sub.mu.Unlock()
		if !needless {
			sub.watchLeader()
		}
	})
}

// stopWatching stops all watches, because the leader's feed replaces them.
func (sub *subscription) stopWatching() {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.subscribed, sub.fallbackPending = true, false
	sub.fallbackGeneration++
	for _, w := range sub.runningWatches() {
		w.stop()
	}
	sub.leaderWatch, sub.configWatch, sub.targetsWatch, sub.otherWatches = nil, nil, nil, nil
}

// isFresh reports whether the store has confirmed this router's state recently enough for its followers.
func (sub *subscription) isFresh() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.targetsWatch == nil || sub.configWatch == nil || !sub.configWatch.healthy.Load() {
		return false
	}
	last := sub.targetsWatch.lastContact.Load()
	return last != nil && time.Since(*last) < freshnessLimit && !sub.g.stateAge.isOverdueAtFollowers() && !sub.g.configAge.isOverdueAtFollowers()
}

// recheckConfig has this router's configuration confirmed, which is overdue: by the store where that is what tells it or its
// leader of changes, and by other routers, as the store may not answer this one alone.
func (sub *subscription) recheckConfig(int) {
	sub.mu.Lock()
	watched := sub.configWatch
	readsAlone := watched != nil || sub.subscribed || sub.fallbackPending
	sub.mu.Unlock()
	if readsAlone && !sub.g.gate.isShut() {
		sub.g.goRun(sub.refreshConfig)
	}
	if watched != nil {
		watched.restart()
	}
	sub.g.contacts.ask()
}

// recheckState has this router's state confirmed, which is overdue: while it follows a leader or waits for the next one, by reading
// the targets once, and if that leader stays late, by watching everything in the store.
func (sub *subscription) recheckState(attempt int) {
	sub.mu.Lock()
	followsSoon := sub.subscribed || sub.fallbackPending
	sub.mu.Unlock()
	if attempt > 0 || !followsSoon {
		sub.scheduleFallback(0)
		return
	}
	if !sub.g.gate.isShut() {
		// A failure is logged, and followed by the next attempt.
		sub.g.goRun(func() { _ = sub.fetchTargets() })
	}
}
