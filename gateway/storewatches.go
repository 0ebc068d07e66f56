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
func (sub *subscription) startWatch(prefix string, pause func([]kv.Record) time.Duration, wait time.Duration) *watch {
	ctx, cancel := context.WithCancel(sub.g.lifetime)
	w := &watch{stop: cancel, watcher: &watcher{
		store: sub.g.storeFor(sub.g.purposeOf(prefix)), log: sub.g.log, prefix: prefix, pause: pause, wait: wait, historyLost: sub.restartWatches,
		gate: &sub.g.gate, probe: sub.g.membership.renewNow, answered: sub.confirmState,
		notify: func(message any) {
			if ctx.Err() == nil {
				sub.g.state.duty.Tell(&prefixMessage{prefix: prefix, message: message})
			}
		},
	}}
	sub.g.goRun(func() { w.run(ctx) })
	return w
}

// confirmState records that the store has answered a watch: the state was the newest at the last answer
// about the targets was given. The other watches are only answered at changes, but they must not be failing.
func (sub *subscription) confirmState() {
	sub.mu.Lock()
	counted := len(sub.otherWatches) > 0 && sub.otherWatches[0].healthy.Load()
	at := sub.lastConfirmation()
	sub.mu.Unlock()
	if at == nil {
		return
	}
	sub.g.state.duty.Tell(&stateConfirmed{config: true, at: sub.g.opts.Clock.Now() - time.Since(*at), targets: true, evacuations: true})
	if counted {
		sub.g.share.counted(sub.g.countedRouters())
	}
}

// lastConfirmation returns when the watches last showed that the state is the newest, or nil if they
// don't; the caller holds the lock.
func (sub *subscription) lastConfirmation() *time.Time {
	if sub.targetsWatch == nil || sub.configWatch == nil || !sub.configWatch.healthy.Load() {
		return nil
	}
	confirmed := sub.targetsWatch.confirmedAt.Load()
	if own := sub.configWatch.confirmedAt.Load(); sub.g.evacuates() && confirmed != nil && own.Before(*confirmed) {
		return own
	}
	return confirmed
}

// configWatchWait returns how long a watch for the configuration waits. Where data centres are evacuated, its own answers
// have to show that it missed nothing: that another watch was answered doesn't, after a hold-up of this process.
func (sub *subscription) configWatchWait() time.Duration {
	if sub.g.evacuates() {
		return evacuationsWatchWait
	}
	return sub.rareChangeWait()
}

// constantPause returns a pause that doesn't depend on the changed records.
func constantPause(pause time.Duration) func([]kv.Record) time.Duration {
	return func([]kv.Record) time.Duration { return pause }
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

// rareChangeWait returns how long a watch for records that change rarely waits.
func (sub *subscription) rareChangeWait() time.Duration {
	wait := maxRareChangeWait
	if history := sub.g.opts.StoreHistory; history > 0 {
		wait = min(wait, time.Duration(rareChangeHistoryShare*float64(history)))
	}
	return time.Duration(float64(wait) * (1 - rareChangeJitter*rand.Float64()))
}

// fallbackDelay returns how long this router waits for a feed before it reads the state from the
// store.
func (sub *subscription) fallbackDelay() time.Duration {
	delay := min(max(sub.g.opts.PropagationLimit-fallbackReserve, minFallbackDelay), maxFallbackDelay)
	return delay + rand.N(fallbackJitter)
}

// staleDelay returns how long this router waits for another leader after its own has reported that it
// can't reach the store. It is shorter, because the leader has needed freshnessLimit to notice that.
func (sub *subscription) staleDelay() time.Duration {
	return max(sub.fallbackDelay()-minFallbackDelay, 0)
}

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
		sub.leaderWatch = sub.startWatch(leaderPrefix, leaderWatchPause, sub.rareChangeWait())
	}
}

// watchStore starts to watch the configuration, the targets and the routers in the store. It also
// watches the key tables if tables is set; a leader doesn't, because it is the one that writes them.
func (sub *subscription) watchStore(tables bool) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.configWatch == nil {
		sub.configWatch = sub.startWatch(sub.g.opts.Adapter.ConfigPrefix, constantPause(configWatchPause), sub.configWatchWait())
	}
	if sub.targetsWatch == nil {
		sub.targetsWatch = sub.startWatch(sub.g.opts.Adapter.TargetPrefix, constantPause(targetsWatchPause), targetsWatchWait)
	}
	if len(sub.otherWatches) > 0 && (len(sub.otherWatches) > 1 || !tables) {
		return
	}
	for _, w := range sub.otherWatches {
		w.stop()
	}
	sub.otherWatches = []*watch{sub.startWatch(routerPrefix, constantPause(routersWatchPause), sub.rareChangeWait())}
	if tables {
		sub.otherWatches = append(sub.otherWatches, sub.startWatch(tablePrefix, constantPause(tablesWatchPause), sub.rareChangeWait()))
	}
}

// scheduleFallback records that no feed of a leader that reaches the store is up. Unless one comes up
// within the delay, this router reads the state from the store; sooner if its state has to be confirmed sooner. A
// delay that is pending is only shortened.
func (sub *subscription) scheduleFallback(delay time.Duration) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.subscribed = false
	delay = max(min(delay, sub.g.stateAge.untilOverdue()), 0)
	due := time.Now().Add(delay)
	if sub.watchesTables() || sub.fallbackPending && !due.Before(sub.fallbackDue) {
		return
	}
	sub.fallbackPending, sub.fallbackDue = true, due
	sub.fallBackAfter(delay, sub.fallbackGeneration)
}

func (sub *subscription) fallBackAfter(delay time.Duration, generation int) {
	time.AfterFunc(delay, func() { sub.fallBack(generation) })
}

// postponeFallback postpones a pending fallback, because a leader was found; the caller holds the lock.
func (sub *subscription) postponeFallback() {
	if sub.fallbackPending && sub.g.opts.PropagationLimit >= fallbackReserve+maxFallbackDelay {
		earliest := time.Now().Add(max(min(newLeaderGrace, sub.g.stateAge.untilOverdue()), 0))
		if sub.fallbackDue.Before(earliest) {
			sub.fallbackDue = earliest
		}
	}
}

// watchesTables reports whether this router watches everything in the store, the key tables
// included; the caller holds the lock.
func (sub *subscription) watchesTables() bool {
	return sub.targetsWatch != nil && len(sub.otherWatches) > 1
}

// fallBack starts to watch everything in the store. If the store is unreachable, it first waits until
// the store answers again, and then for another fallback delay: the leader's feed may come up
// within it, and a store that has just recovered is not read completely by a whole fleet at once.
func (sub *subscription) fallBack(generation int) {
	if sub.g.gate.isShut() {
		sub.g.goRun(func() {
			if sub.g.gate.wait(sub.g.lifetime) {
				sub.fallBackAfter(sub.fallbackDelay(), generation)
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
	if early := time.Until(sub.fallbackDue); early > 0 {
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

// isFresh reports whether the store has confirmed this router's state within freshnessLimit.
func (sub *subscription) isFresh() bool {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.lastConfirmation() == nil {
		return false
	}
	last := sub.targetsWatch.lastContact.Load()
	return time.Since(*last) < freshnessLimit && sub.g.stateAge.age() < sub.g.stateAge.overdueAfter()
}

// recheckConfig has this router's configuration confirmed, which is overdue: by the store while this router follows a
// leader, and by other routers, as the store may not answer this one alone.
func (sub *subscription) recheckConfig(int) {
	if sub.isSubscribed() && !sub.g.gate.isShut() {
		sub.g.goRun(sub.refreshConfig)
	}
	sub.g.contacts.ask()
}

// recheckState has this router's state confirmed, which is overdue: while it follows a leader, by reading the targets once,
// and if that leader stays late, by watching everything in the store.
func (sub *subscription) recheckState(attempt int) {
	if attempt > 0 || !sub.isSubscribed() {
		sub.scheduleFallback(0)
		return
	}
	if !sub.g.gate.isShut() {
		// A failure is logged, and followed by the next attempt.
		sub.g.goRun(func() { _ = sub.fetchTargets() })
	}
}
