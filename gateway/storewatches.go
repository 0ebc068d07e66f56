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

// startWatch begins to watch a prefix; the lock is held.
func (f *subscription) startWatch(prefix string, pause func([]kv.Record) time.Duration, wait time.Duration) *watch {
	ctx, cancel := context.WithCancel(f.g.lifetime)
	w := &watch{stop: cancel, watcher: &watcher{
		store: f.g.storeFor(f.g.purposeOf(prefix)), log: f.g.log, prefix: prefix, pause: pause, wait: wait, lost: f.rewatch,
		gate: &f.g.gate, probe: f.g.members.renewNow,
		tell: func(message any) {
			if ctx.Err() == nil {
				f.g.state.duty.Tell(&fromPrefix{prefix, message})
			}
		},
	}}
	f.g.goRun(func() { w.run(ctx) })
	return w
}

// always is a pause that doesn't depend on what has changed.
func always(pause time.Duration) func([]kv.Record) time.Duration {
	return func([]kv.Record) time.Duration { return pause }
}

func pauseAfterLeader(changed []kv.Record) time.Duration {
	if changed[len(changed)-1].Deleted {
		return leaderPause
	}
	return subscribePause
}

// restingWait is how long a watch for what changes seldom waits.
func (f *subscription) restingWait() time.Duration {
	wait := maxRestingWait
	if history := f.g.opts.StoreHistory; history > 0 {
		wait = min(wait, time.Duration(restingShare*float64(history)))
	}
	return time.Duration(float64(wait) * (1 - restingJitter*rand.Float64()))
}

// fallbackDelay is how long this router goes without a leader before it asks the store.
func (f *subscription) fallbackDelay() time.Duration {
	delay := min(max(f.g.opts.KnownWithin-fallbackRest, minFallbackDelay), maxFallbackDelay)
	return delay + rand.N(fallbackJitter)
}

// staleDelay is how long this router waits for another leader where its own says that it
// doesn't hear from the store; that took it freshFor.
func (f *subscription) staleDelay() time.Duration {
	return max(f.fallbackDelay()-minFallbackDelay, 0)
}

// rewatch has all watches asked anew.
func (f *subscription) rewatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.watches() {
		w.again()
	}
}

// watches returns those that run; the lock is held.
func (f *subscription) watches() []*watch {
	all := slices.Clone(f.restWatches)
	for _, w := range []*watch{f.leaderWatch, f.configWatch, f.targetsWatch} {
		if w != nil {
			all = append(all, w)
		}
	}
	return all
}

// watchLeader has this router ask the store who leads.
func (f *subscription) watchLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaderWatch == nil {
		f.leaderWatch = f.startWatch(leaderPrefix, pauseAfterLeader, f.restingWait())
	}
}

// watchStore begins to watch the store for the configuration and the targets, and for the
// division of keys unless this router is the one that writes it.
func (f *subscription) watchStore(tables bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configWatch == nil {
		f.configWatch = f.startWatch(f.g.opts.Adapter.ConfigPrefix, always(configPause), f.restingWait())
	}
	if f.targetsWatch == nil {
		f.targetsWatch = f.startWatch(f.g.opts.Adapter.TargetPrefix, always(targetsPause), targetsWait)
	}
	if len(f.restWatches) > 0 && (len(f.restWatches) > 1 || !tables) {
		return
	}
	for _, w := range f.restWatches {
		w.stop()
	}
	f.restWatches = []*watch{f.startWatch(routerPrefix, always(routersPause), f.restingWait())}
	if tables {
		f.restWatches = append(f.restWatches, f.startWatch(tablePrefix, always(tablesPause), f.restingWait()))
	}
}

// unsubscribed notes that no leader tells this router what the store knows. It asks the store
// itself unless one does again within the delay.
func (f *subscription) unsubscribed(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribed = false
	if !f.fallbackPending && !f.watchesTables() {
		f.fallbackPending, f.fallbackDue = true, time.Now().Add(delay)
		f.fallBackIn(delay, f.losses)
	}
}

func (f *subscription) fallBackIn(delay time.Duration, loss int) {
	time.AfterFunc(delay, func() { f.fallBack(loss) })
}

// awaitFeed puts off what is pending, because a leader was found; the lock is held.
func (f *subscription) awaitFeed() {
	if f.fallbackPending && f.g.opts.KnownWithin >= fallbackRest+maxFallbackDelay {
		earliest := time.Now().Add(newLeaderGrace)
		if f.fallbackDue.Before(earliest) {
			f.fallbackDue = earliest
		}
	}
}

// watchesTables reports whether this router asks the store for all it needs; the lock is
// held.
func (f *subscription) watchesTables() bool { return f.targetsWatch != nil && len(f.restWatches) > 1 }

// fallBack asks the store for all, but for a store that doesn't answer: once it does, the
// leader may feed this router again within the usual delay, and a store that returns isn't
// asked for everything by a whole fleet at once.
func (f *subscription) fallBack(loss int) {
	if f.g.gate.isShut() {
		f.g.goRun(func() {
			if f.g.gate.wait(f.g.lifetime) {
				f.fallBackIn(f.fallbackDelay(), loss)
			}
		})
		return
	}
	if f.endFallbackDelay(loss) && f.g.lifetime.Err() == nil {
		f.watchLeader()
		f.watchStore(true)
	}
}

// endFallbackDelay ends the delay of a loss, and reports whether the store is to be asked for
// all now: a leader may feed this router again, or the delay may have been prolonged.
func (f *subscription) endFallbackDelay(loss int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if loss != f.losses {
		return false
	}
	if early := time.Until(f.fallbackDue); early > 0 {
		f.fallBackIn(early, loss)
		return false
	}
	f.fallbackPending = false
	return f.term == nil && !f.watchesTables()
}

// searchDelay is the pause before one of so many routers asks the store who leads, once it
// has lost its leader.
//
// It answers a leader that stops or loses the store: its followers notice at one moment, and
// a watch of each would cost the store twice as many calls as there are routers. Some few
// see the lease end and campaign; the others learn by one call who has won. A small VM,
// which is to lead last, is never among the first.
func searchDelay(routers int, weak bool) time.Duration {
	if routers == 0 {
		routers = unknownRouters
	}
	if !weak && rand.Float64()*float64(routers) < firstSearchers {
		return 0
	}
	return minSearchDelay + rand.N(maxSearchDelay-minSearchDelay)
}

// searchLeader has this router ask the store who leads, now or after a delay; those that
// are not among the first wait for the additional delay too.
func (f *subscription) searchLeader(additional time.Duration) {
	delay := searchDelay(f.g.countedRouters(), f.g.weak())
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

// stopWatching ends all watches, because a leader tells it all.
func (f *subscription) stopWatching() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribed, f.fallbackPending = true, false
	f.losses++
	for _, w := range f.watches() {
		w.stop()
	}
	f.leaderWatch, f.configWatch, f.targetsWatch, f.restWatches = nil, nil, nil, nil
}

// fresh reports whether this router has heard of the targets from the store of late.
func (f *subscription) fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targetsWatch == nil {
		return false
	}
	last := f.targetsWatch.lastContact.Load()
	return last != nil && time.Since(*last) < freshFor
}
