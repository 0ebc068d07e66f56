package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/duty"
	"tarragongw/kv"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call. The pauses are random, to
	// spread the calls of many routers to a store that has just recovered.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// probeWait is the wait of the first watch after one without an answer: whether there are changes
	// must be known at once.
	probeWait = time.Millisecond
	// minOutage is the shortest outage of the store in which entries can expire: that takes
	// three missed heartbeats of a target, about a second each. A single interrupted watch is
	// not an outage.
	minOutage = 1500 * time.Millisecond
	// maxCallTime is the longest time that a call of the store takes beyond its wait. A call that took longer was held
	// up with this process, which says nothing of the store.
	maxCallTime = 1200 * time.Millisecond
)

// errRestarted ends a watch that was restarted.
var errRestarted = errors.New("watch restarted")

// change reports records that a watcher has read.
type change struct {
	// listed is set if records are all records under the prefix, not only the changed ones.
	listed  bool
	records []kv.Record
	// revision is the store's, as of the answer; zero for a record that was read alone.
	revision kv.Revision
	// waited is how long a watch without changes waits for one.
	waited time.Duration
	// unreachableFor is how long the store was unreachable before.
	unreachableFor time.Duration
	at             time.Time
}

// storeUnreachable reports that the store has been unreachable since a time.
type storeUnreachable struct{ since time.Time }

// watcher follows the records under one prefix.
type watcher struct {
	store  kv.TxnStore
	log    *slog.Logger
	prefix string
	// pause returns the pause between a change and the next watch. Targets write their entries
	// about once a second, and each write ends the pending watches of all routers: without a
	// pause the number of calls grows with the product of both numbers.
	pause func(changed []kv.Record) time.Duration
	// notify is called with a *change or a *storeUnreachable.
	notify func(message any)
	// wait returns how long a watch waits for a change. Each watch costs a call, and its answer proves that this router knows
	// the newest records; a connection that falls silent is noticed only by a wait that ends without an answer.
	wait func() time.Duration
	// gate holds watches back while the store doesn't answer.
	gate *storeGate
	// answered is called after each answer of the store.
	answered func()
	// probe triggers the cheapest call to the store.
	probe func()
	// historyLost is called when the store no longer has the history that the watch needs.
	historyLost func()

	since  kv.Revision
	listed bool
	// failingSince is when the first of the consecutive failed calls began; zero if the last call
	// succeeded.
	failingSince time.Time
	backoff      time.Duration

	// lastContact is when this router last read an answer of the store, and confirmedAt the last time at which the
	// store certainly had nothing newer: an answer may be read long after the store gave it. Both are nil before the
	// first answer. They keep their monotonic reading, so that a step of the VM's clock doesn't change their age.
	lastContact, confirmedAt atomic.Pointer[time.Time]
	// healthy is set while the records are known and the last call was answered.
	healthy atomic.Bool

	// mu guards cancelWatch, which cancels the pending watch.
	mu          sync.Mutex
	cancelWatch context.CancelFunc
}

// restart cancels the pending watch, which the store may never answer, so that a new one is sent.
func (w *watcher) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// watch waits for changes, for as long as waited of the result says.
func (w *watcher) watch(ctx context.Context) (*change, kv.Revision, error) {
	asked, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancelWatch = cancel
	w.mu.Unlock()
	wait := w.wait()
	if !w.healthy.Load() {
		wait = probeWait
	}
	records, at, err := w.store.Watch(asked, w.prefix, w.since, wait)
	if err != nil && asked.Err() != nil && ctx.Err() == nil {
		return nil, w.since, errRestarted
	}
	return &change{records: records, revision: at, waited: wait}, at, err
}

// run follows the prefix until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for w.gate.wait(ctx) {
		began := time.Now()
		message, err := w.step(ctx)
		if errors.Is(err, errRestarted) {
			w.healthy.Store(false)
			continue
		}
		if errors.Is(err, kv.ErrUnreadable) {
			w.unreadable(ctx, err)
			continue
		}
		if err != nil {
			w.failed(ctx, began, err)
			continue
		}
		w.succeeded(began, message)
		if len(message.records) > 0 {
			duty.Sleep(ctx, w.pause(message.records))
		}
	}
}

// step makes one call: a listing if the records are not known yet, else a watch.
func (w *watcher) step(ctx context.Context) (*change, error) {
	if !w.listed {
		records, at, err := w.store.List(ctx, w.prefix)
		if err != nil {
			return nil, err
		}
		w.since, w.listed = at, true
		return &change{listed: true, records: records, revision: at}, nil
	}
	message, at, err := w.watch(ctx)
	if errors.Is(err, kv.ErrCompacted) {
		w.listed = false
		w.log.Warn("store history lost", "prefix", w.prefix, "since", w.since)
		// Watches of other prefixes may have missed changes in the same gap, and still wait
		// for the next one.
		w.historyLost()
		return w.step(ctx)
	}
	if err != nil {
		return nil, err
	}
	w.since = at
	return message, nil
}

func (w *watcher) succeeded(began time.Time, message *change) {
	message.at = time.Now()
	if !w.failingSince.IsZero() {
		message.unreachableFor = message.at.Sub(w.failingSince)
		w.log.Info("store regained", "prefix", w.prefix, "absent", message.unreachableFor)
	}
	w.failingSince, w.backoff = time.Time{}, 0
	w.lastContact.Store(&message.at)
	confirmedAt := w.answeredNotBefore(began, message)
	w.confirmedAt.Store(&confirmedAt)
	w.healthy.Store(true)
	if message.listed || message.unreachableFor > 0 || len(message.records) > 0 {
		w.notify(message)
	}
	w.answered() // after the changes: the state is the newest only with them
}

// answeredNotBefore returns the earliest time at which the store can have given the answer to a call that began at a
// time. A watch without changes is answered at the end of its wait.
func (w *watcher) answeredNotBefore(began time.Time, message *change) time.Time {
	if message.listed || len(message.records) > 0 {
		return began
	}
	if end := began.Add(message.waited); !end.After(message.at) {
		return end
	}
	return began
}

// unreadable makes the next call a listing, which comes in pages: the same changes would be unreadable again.
func (w *watcher) unreadable(ctx context.Context, err error) {
	w.log.Error("reply of the store not readable", "prefix", w.prefix, "since", w.since, "err", err)
	w.healthy.Store(false)
	w.listed = false
	w.backOff(ctx)
}

// backOff pauses after a failed call, longer after each.
func (w *watcher) backOff(ctx context.Context) {
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	duty.Sleep(ctx, time.Duration(float64(w.backoff)*(0.5+rand.Float64())))
}

func (w *watcher) failed(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	w.healthy.Store(false)
	if now := time.Now(); now.Sub(began) > w.wait()+maxCallTime {
		began = now
	}
	if w.failingSince.IsZero() {
		w.failingSince = began
		w.log.Warn("store lost", "prefix", w.prefix, "err", err)
	}
	if time.Since(w.failingSince) >= minOutage {
		w.notify(&storeUnreachable{since: w.failingSince})
	}
	w.gate.shut()
	w.probe()
	w.backOff(ctx)
}
