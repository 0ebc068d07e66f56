package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/kv"
)

// heldUpStore gives an answer at once and hands it over a while later, as to a process that is held up before it
// reads it.
type heldUpStore struct {
	kv.TxnStore
	records []kv.Record
	// asked is when the last call began, and heldUp how long its answer is held up.
	asked  time.Time
	heldUp time.Duration
}

func (s *heldUpStore) List(context.Context, string) ([]kv.Record, kv.Revision, error) {
	s.asked = time.Now()
	time.Sleep(s.heldUp)
	return s.records, 5, nil
}

func (s *heldUpStore) Watch(_ context.Context, _ string, _ kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error) {
	s.asked = time.Now()
	if len(s.records) == 0 {
		time.Sleep(wait)
	}
	time.Sleep(s.heldUp)
	return s.records, 6, nil
}

func newTestWatcher(store kv.TxnStore) *watcher {
	nothing := func() {}
	return &watcher{
		store: store, log: slog.New(slog.DiscardHandler), prefix: "p/", pause: constantPause(0), wait: constantWait(100 * time.Millisecond),
		notify: func(any) {}, answered: nothing, probe: nothing, historyLost: nothing, gate: &storeGate{},
	}
}

// Guards against a state that counts as newer than it is because an answer of the store was read late.
func TestStateIsAsOldAsTheAnswerThatConfirmsIt(t *testing.T) {
	for name, c := range map[string]struct {
		records []kv.Record
		listed  bool
		// waits is how long the store takes for its answer.
		waits time.Duration
	}{
		"listing":               {},
		"watch with changes":    {listed: true, records: []kv.Record{{Key: "p/a"}}},
		"watch without changes": {listed: true, waits: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			store := &heldUpStore{records: c.records, heldUp: 150 * time.Millisecond}
			w := newTestWatcher(store)
			w.listed = c.listed
			w.healthy.Store(true)
			began := time.Now()
			message, err := w.step(t.Context())
			assert.NilError(t, err)
			w.succeeded(began, message)
			given := store.asked.Add(c.waits)
			assert.Assert(t, !w.confirmedAt.Load().After(given), "confirmed %v after the answer was given", w.confirmedAt.Load().Sub(given))
			assert.Assert(t, given.Sub(*w.confirmedAt.Load()) < 50*time.Millisecond, "confirmed %v before", given.Sub(*w.confirmedAt.Load()))
		})
	}
}

// Guards against a state that counts as confirmed before the changes of the same answer are known.
func TestChangesAreKnownBeforeTheStateIsConfirmed(t *testing.T) {
	var mu sync.Mutex
	var order []string
	note := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, what)
	}
	w := newTestWatcher(&heldUpStore{})
	w.notify, w.answered = func(any) { note("changes") }, func() { note("confirmed") }
	w.succeeded(time.Now(), &change{records: []kv.Record{{Key: "p/a"}}})
	assert.DeepEqual(t, order, []string{"changes", "confirmed"})
}

// Guards against targets that are kept although they are gone, because the process was held up and takes that for an
// outage of the store.
func TestHoldUpIsNoOutageOfTheStore(t *testing.T) {
	outages := 0
	w := newTestWatcher(&heldUpStore{})
	w.notify = func(message any) {
		if _, ok := message.(*storeUnreachable); ok {
			outages++
		}
	}
	longest := w.wait() + maxCallTime
	w.failed(t.Context(), time.Now().Add(-minOutage-longest), kv.ErrUnavailable)
	assert.Equal(t, outages, 0)
	w.failingSince = time.Time{}
	w.failed(t.Context(), time.Now().Add(100*time.Millisecond-longest), kv.ErrUnavailable)
	time.Sleep(minOutage + 100*time.Millisecond - longest)
	w.failed(t.Context(), time.Now(), kv.ErrUnavailable)
	assert.Assert(t, outages > 0, "calls fail for %v", time.Since(w.failingSince))
}
