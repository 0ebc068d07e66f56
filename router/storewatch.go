package router

import (
	"context"

	"github.com/pkg/errors"

	"tarragongw/confstore"
	"tarragongw/core/spread"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/kv"
)

// storeWatch follows the store on behalf of the data centre's routers.
type storeWatch struct {
	d      *recordDuty
	ctx    context.Context
	cancel context.CancelFunc
	store  kv.Store
	up     bool
	asked  bool
}

// setWatching begins or ends the watch.
func (d *recordDuty) setWatching(on bool) {
	if on == (d.watch != nil) {
		return
	}
	d.watching.Store(on)
	if !on {
		d.watch.cancel()
		d.watch = nil
		return
	}
	ctx, cancel := context.WithCancel(d.r.lifetime)
	w := &storeWatch{d: d, ctx: ctx, cancel: cancel, store: d.r.platform.For(kv.Ownership)}
	d.watch = w
	d.r.run(w.follow)
}

// follow reads everything, then watches, and begins again after failures.
func (w *storeWatch) follow() {
	for w.ctx.Err() == nil {
		err := w.round()
		if err == nil || errors.Is(err, kv.ErrCompacted) {
			continue
		}
		w.reached(false)
		duty.Sleep(w.ctx, pauseAfterFailure)
	}
}

// round returns nil when it is time to read everything anew.
func (w *storeWatch) round() error {
	ctx, cancel := context.WithTimeout(w.ctx, w.d.r.opts.Settings.Store.Timeout)
	records, revision, err := w.store.List(ctx, "")
	cancel()
	if err != nil {
		return err
	}
	w.reached(true)
	w.d.duty.Tell(spread.FromStore{Entries: entriesOf(records), Complete: true, Revision: uint64(revision)})
	for silent := 0; silent < silentCalls; {
		changed, next, err := w.next(revision)
		if err != nil || w.ctx.Err() != nil {
			return err
		}
		if changed == nil {
			silent++
			if err := w.peek(); err != nil {
				return err
			}
			continue
		}
		silent = 0
		w.d.r.members.witness()
		w.d.duty.Tell(spread.FromStore{Entries: entriesOf(changed), Revision: uint64(next)})
		revision = next
	}
	return nil
}

// silentCalls is the number of watch calls in a row without a change after which
// everything is read anew.
const silentCalls = 5

// next waits for changes; it returns nil without error when the time of one call
// is up. Each call is bounded: a watch whose other end has forgotten it would else
// stay silent for good while changes pass by. The next call begins at the same
// revision and, as this one was given up, on another connection.
func (w *storeWatch) next(since kv.Revision) ([]kv.Record, kv.Revision, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.d.r.opts.Settings.Timers.Watch)
	defer cancel()
	changed, revision, err := w.store.Watch(ctx, "", since)
	if ctx.Err() != nil {
		return nil, 0, nil
	}
	return changed, revision, err
}

// peek reads the configuration after a silent call. A silent watch looks like a
// quiet store, and an accepted change has seconds to be in force everywhere.
func (w *storeWatch) peek() error {
	ctx, cancel := context.WithTimeout(w.ctx, w.d.r.opts.Settings.Store.Timeout)
	defer cancel()
	records, _, err := w.store.List(ctx, confstore.Prefix)
	if err != nil {
		return err
	}
	w.d.r.members.witness()
	w.d.duty.Tell(spread.FromStore{Entries: entriesOf(records)})
	return nil
}

// reached reports a change of whether the store answers.
func (w *storeWatch) reached(up bool) {
	if up {
		w.d.r.members.witness()
	}
	if w.asked && w.up == up {
		return
	}
	w.asked, w.up = true, up
	w.d.r.storeUp.Store(up)
	w.d.duty.Tell(spread.StoreReached{Up: up})
	kind := eventlog.StoreUnavailable
	if up {
		kind = eventlog.StoreAvailable
	}
	w.d.r.journal.Record(eventlog.Event{Kind: kind, Cause: "seen by the store watch", Router: w.d.r.self.Name})
}

func entriesOf(records []kv.Record) []spread.Entry {
	entries := make([]spread.Entry, len(records))
	for i, rec := range records {
		entries[i] = entryOf(rec.Key, uint64(rec.Revision), rec.Value)
		entries[i].Deleted = rec.Deleted
	}
	return entries
}
