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
func (f *subscription) startWatch(prefix string, pause func([]kv.Record) time.Duration, wait time.Duration) *watch {
	ctx, cancel := context.WithCancel(f.g.lifetime)
	w := &watch{stop: cancel, watcher: &watcher{
		store: f.g.storeFor(f.g.purposeOf(prefix)), log: f.g.log, prefix: prefix, pause: pause, wait: wait, historyLost: f.restartWatches,
		gate: &f.g.gate, probe: f.g.membership.renewNow,
		notify: func(message any) {
			if ctx.Err() == nil {
				f.g.state.duty.Tell(&prefixMessage{prefix, message})
			}
		},
	}}
	f.g.goRun(func() { w.run(ctx) })
	return w
}

// constantPause returns a pause that doesn't depend on the changed records.
func constantPause(pause time.Duration) func([]kv.Record) time.Duration {
	return func([]kv.Record) time.Duration { return pause }
}

// leaderWatchPause is the pause after a change of the leader record.
func leaderWatchPause(changed []kv.Record) time.Duration {
	if changed[len(changed)-1].Deleted {
		return leaderDeletedWatchPause
	}
	return leaderFoundWatchPause
}

// rareChangeWait returns how long a watch for records that change rarely waits.
func (f *subscription) rareChangeWait() time.Duration {
	wait := maxRareChangeWait
	if history := f.g.opts.StoreHistory; history > 0 {
		wait = min(wait, time.Duration(rareChangeHistoryShare*float64(history)))
	}
	return time.Duration(float64(wait) * (1 - rareChangeJitter*rand.Float64()))
}

// fallbackDelay returns how long this router waits for a feed before it reads the state from the
// store.
func (f *subscription) fallbackDelay() time.Duration {
	delay := min(max(f.g.opts.KnownWithin-fallbackReserve, minFallbackDelay), maxFallbackDelay)
	return delay + rand.N(fallbackJitter)
}

// staleDelay returns how long this router waits for another leader after its own has reported that it
// can't reach the store. It is shorter, because the leader has needed freshnessLimit to notice that.
func (f *subscription) staleDelay() time.Duration {
	return max(f.fallbackDelay()-minFallbackDelay, 0)
}

// restartWatches restarts all running watches.
func (f *subscription) restartWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.runningWatches() {
		w.restart()
	}
}

// runningWatches returns the watches that run; the caller holds the lock.
func (f *subscription) runningWatches() []*watch {
	all := slices.Clone(f.otherWatches)
	for _, w := range []*watch{f.leaderWatch, f.configWatch, f.targetsWatch} {
		if w != nil {
			all = append(all, w)
		}
	}
	return all
}

// watchLeader starts to watch the leader record, unless it is watched already.
func (f *subscription) watchLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaderWatch == nil {
		f.leaderWatch = f.startWatch(leaderPrefix, leaderWatchPause, f.rareChangeWait())
	}
}

// watchStore starts to watch the configuration, the targets and the routers in the store. It also
// watches the key tables if tables is set; a leader doesn't, because it is the one that writes them.
func (f *subscription) watchStore(tables bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configWatch == nil {
		f.configWatch = f.startWatch(f.g.opts.Adapter.ConfigPrefix, constantPause(configWatchPause), f.rareChangeWait())
	}
	if f.targetsWatch == nil {
		f.targetsWatch = f.startWatch(f.g.opts.Adapter.TargetPrefix, constantPause(targetsWatchPause), targetsWatchWait)
	}
	if len(f.otherWatches) > 0 && (len(f.otherWatches) > 1 || !tables) {
		return
	}
	for _, w := range f.otherWatches {
		w.stop()
	}
	f.otherWatches = []*watch{f.startWatch(routerPrefix, constantPause(routersWatchPause), f.rareChangeWait())}
	if tables {
		f.otherWatches = append(f.otherWatches, f.startWatch(tablePrefix, constantPause(tablesWatchPause), f.rareChangeWait()))
	}
}

// scheduleFallback records that no feed of a leader that reaches the store is up. Unless one comes up
// within the delay, this router reads the state from the store.
func (f *subscription) scheduleFallback(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribed = false
	if !f.fallbackPending && !f.watchesTables() {
		f.fallbackPending, f.fallbackDue = true, time.Now().Add(delay)
		f.fallBackAfter(delay, f.fallbackGeneration)
	}
}

func (f *subscription) fallBackAfter(delay time.Duration, generation int) {
	time.AfterFunc(delay, func() { f.fallBack(generation) })
}

// postponeFallback postpones a pending fallback, because a leader was found; the caller holds the lock.
func (f *subscription) postponeFallback() {
	if f.fallbackPending && f.g.opts.KnownWithin >= fallbackReserve+maxFallbackDelay {
		earliest := time.Now().Add(newLeaderGrace)
		if f.fallbackDue.Before(earliest) {
			f.fallbackDue = earliest
		}
	}
}

// watchesTables reports whether this router watches everything in the store, the key tables
// included; the caller holds the lock.
func (f *subscription) watchesTables() bool { return f.targetsWatch != nil && len(f.otherWatches) > 1 }

// fallBack starts to watch everything in the store. If the store is unreachable, it first waits until
// the store answers again, and then for another fallback delay: the leader's feed may come up
// within it, and a store that has just recovered is not read completely by a whole fleet at once.
func (f *subscription) fallBack(generation int) {
	if f.g.gate.isShut() {
		f.g.goRun(func() {
			if f.g.gate.wait(f.g.lifetime) {
				f.fallBackAfter(f.fallbackDelay(), generation)
			}
		})
		return
	}
	if f.endFallbackDelay(generation) && f.g.lifetime.Err() == nil {
		f.watchLeader()
		f.watchStore(true)
	}
}

// endFallbackDelay ends the delay of the generation, and reports whether to watch everything in the
// store now. It does not if a feed has come up meanwhile, or if the delay was extended.
func (f *subscription) endFallbackDelay(generation int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.fallbackGeneration {
		return false
	}
	if early := time.Until(f.fallbackDue); early > 0 {
		f.fallBackAfter(early, generation)
		return false
	}
	f.fallbackPending = false
	return f.term == nil && !f.watchesTables()
}

// searchDelay returns the delay before a router that has lost its leader asks the store who leads,
// given the number of routers.
//
// All followers notice at the same moment that a leader has stopped or lost the store, and if each
// of them watched the leader record, that would cost the store twice as many calls as there are
// routers. With the delay, a few see the lease end and campaign; the others learn by a single call
// who has won. A small VM, which should lead only if no other can, is never among the first.
func searchDelay(routers int, lowCPU bool) time.Duration {
	if routers == 0 {
		routers = assumedRouters
	}
	if !lowCPU && rand.Float64()*float64(routers) < immediateSearchers {
		return 0
	}
	return minSearchDelay + rand.N(maxSearchDelay-minSearchDelay)
}

// searchLeader makes this router ask the store who leads, either immediately or after a delay. The
// additional delay applies to the second case only.
func (f *subscription) searchLeader(additional time.Duration) {
	delay := searchDelay(f.g.countedRouters(), f.g.lowCPU())
	if delay == 0 {
		f.watchLeader()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching || f.leaderWatch != nil {
		return
	}
	f.searching = true
	time.AfterFunc(delay+additional, func() {
		f.mu.Lock()
		f.searching = false
		needless := f.subscribed || f.g.lifetime.Err() != nil
		f.mu.Unlock()
		if !needless {
			f.watchLeader()
		}
	})
}

// stopWatching stops all watches, because the leader's feed replaces them.
func (f *subscription) stopWatching() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribed, f.fallbackPending = true, false
	f.fallbackGeneration++
	for _, w := range f.runningWatches() {
		w.stop()
	}
	f.leaderWatch, f.configWatch, f.targetsWatch, f.otherWatches = nil, nil, nil, nil
}

// targetsFresh reports whether the store has answered a targets watch within freshnessLimit.
func (f *subscription) targetsFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targetsWatch == nil {
		return false
	}
	last := f.targetsWatch.lastContact.Load()
	return last != nil && time.Since(*last) < freshnessLimit
}
