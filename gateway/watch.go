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
	// minBackoff and maxBackoff bound the pause after a failed call. Many routers ask a
	// store that returns, so each draws its pauses at random.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// outage is the shortest absence of the store in which entries can lapse: targets are
	// silent for three heartbeats of about a second first. A watch that was merely cut is
	// none.
	outage = 1500 * time.Millisecond
)

// change is what a watcher tells.
type change struct {
	// listed says that records are all there are, not just those that changed.
	listed  bool
	records []kv.Record
	// absent is how long the store was not reached before.
	absent time.Duration
	at     time.Time
}

// absence tells that the store has not been reached since.
type absence struct{ since time.Time }

// watcher follows the records under one prefix.
type watcher struct {
	store  kv.Ledger
	log    *slog.Logger
	prefix string
	// pause is kept between a change and the next watch. Targets write their entries every
	// second or so, and each write ends the waiting watches of all routers: without a pause
	// the calls grow with the product of both.
	pause func(changed []kv.Record) time.Duration
	// tell is given *change and *absence.
	tell func(message any)
	// wait is how long a watch waits for a change; each costs a call.
	wait time.Duration
	// gate keeps watches back while the store doesn't answer.
	gate *storeGate
	// probe has the store asked by the cheapest call.
	probe func()
	// lost is called when the store has dropped history.
	lost func()

	since kv.Revision
	known bool
	// failing is when the first call of a row of failures began; zero if the last was good.
	failing time.Time
	backoff time.Duration

	// lastContact is when the store answered last; nil before the first time. It keeps its
	// monotonic reading, so that a step of the VM's clock doesn't age it.
	lastContact atomic.Pointer[time.Time]

	// mu guards cut, which ends the watch that waits.
	mu  sync.Mutex
	cut context.CancelFunc
}

// again has the watch that waits asked anew, because the store may never answer it.
func (w *watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		w.cut()
	}
}

// watch waits for changes.
func (w *watcher) watch(ctx context.Context) ([]kv.Record, kv.Revision, error) {
	asked, cut := context.WithCancel(ctx)
	defer cut()
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	records, at, err := w.store.Watch(asked, w.prefix, w.since, w.wait)
	if err != nil && asked.Err() != nil && ctx.Err() == nil {
		return nil, w.since, nil
	}
	return records, at, err
}

// run follows the prefix until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for w.gate.wait(ctx) {
		began := time.Now()
		message, err := w.step(ctx)
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

// step makes one call: a listing where nothing is known yet, else a watch.
func (w *watcher) step(ctx context.Context) (*change, error) {
	if !w.known {
		records, at, err := w.store.List(ctx, w.prefix)
		if err != nil {
			return nil, err
		}
		w.since, w.known = at, true
		return &change{listed: true, records: records}, nil
	}
	records, at, err := w.watch(ctx)
	if errors.Is(err, kv.ErrCompacted) {
		w.known = false
		w.log.Warn("store history lost", "prefix", w.prefix, "since", w.since)
		// Watches of the other prefixes may have been passed over by the same changes and
		// still wait for the next.
		w.lost()
		return w.step(ctx)
	}
	if err != nil {
		return nil, err
	}
	w.since = at
	return &change{records: records}, nil
}

func (w *watcher) succeeded(began time.Time, message *change) {
	message.at = time.Now()
	if !w.failing.IsZero() {
		message.absent = message.at.Sub(w.failing)
		w.log.Info("store regained", "prefix", w.prefix, "absent", message.absent)
	}
	w.failing, w.backoff = time.Time{}, 0
	w.lastContact.Store(&message.at)
	if message.listed || message.absent > 0 || len(message.records) > 0 {
		w.tell(message)
	}
}

func (w *watcher) failed(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.failing.IsZero() {
		w.failing = began
		w.log.Warn("store lost", "prefix", w.prefix, "err", err)
	}
	if time.Since(w.failing) >= outage {
		w.tell(&absence{since: w.failing})
	}
	w.gate.shut()
	w.probe()
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	duty.Sleep(ctx, time.Duration(float64(w.backoff)*(0.5+rand.Float64())))
}
