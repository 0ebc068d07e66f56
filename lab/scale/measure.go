package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/eventlog"
	"tarragongw/kv"
)

const (
	// settle lets joining end before the calm is measured.
	settle = 4 * time.Second
	calm   = 10 * time.Second
	// changes are made one after the other, spaced by changeEvery.
	changes     = 50
	changeEvery = 100 * time.Millisecond
	// afterChanges is how long the last change has to arrive.
	afterChanges = 4 * time.Second
	// lostShare of the routers are aborted at once.
	lostShare = 10
)

// row is what was measured with one number of routers.
type row struct {
	routers int
	// Per router, in the calm.
	controlBytes, targetBytes, cpu float64
	live, resident, goroutines     float64
	// calls are the fleet's store calls a second in the calm, by kind.
	calls map[kv.CallKind]float64
	// calmChanges and lossChanges are times from acknowledged to in force everywhere.
	calmChanges, lossChanges times
	// firstVerdict and knownToAll are times from the abort of a router.
	firstVerdict, knownToAll times
	falseVerdicts            int
}

// times are durations, and how often there was none.
type times struct {
	list    []time.Duration
	missing int
}

func measure(ctx context.Context, n int) (*row, error) {
	ctx, cancel := context.WithTimeout(ctx, sizeLimit)
	defer cancel()
	f, err := startFleet(ctx, n)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	r := &row{routers: n, calls: make(map[kv.CallKind]float64)}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	if err := r.calm(ctx, f); err != nil {
		return nil, err
	}
	if err := r.changes(ctx, f); err != nil {
		return nil, err
	}
	return r, r.losses(ctx, f)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "out of time")
	}
}

func (r *row) calm(ctx context.Context, f *fleet) error {
	before, err := f.usage()
	if err != nil {
		return err
	}
	calls, began := f.platform.Calls(), time.Now()
	if err := pause(ctx, calm); err != nil {
		return err
	}
	callsAfter, span := f.platform.Calls(), time.Since(began).Seconds()
	after, err := f.usage()
	if err != nil {
		return err
	}
	n := float64(r.routers)
	// A byte between routers is sent by one and received by another.
	r.controlBytes = 2 * float64(after.Control-before.Control) / span / n
	r.targetBytes = float64(after.Target-before.Target) / span / n
	r.cpu = (after.CPU - before.CPU).Seconds() / span / n
	r.live = float64(after.Live) / n
	r.resident = float64(after.Resident) / n
	r.goroutines = float64(after.Goroutines) / n
	for kind, count := range callsAfter {
		r.calls[kind] = float64(count-calls[kind]) / span
	}
	return nil
}

func (r *row) changes(ctx context.Context, f *fleet) error {
	acked, err := f.change(ctx, f.names)
	if err != nil {
		return err
	}
	events, err := f.events()
	if err != nil {
		return err
	}
	r.calmChanges = inForce(acked, events, f.names)
	for _, e := range events {
		if e.Kind == eventlog.MemberLost {
			r.falseVerdicts++
		}
	}
	return nil
}

// losses aborts a share of the routers and changes the configuration at once.
func (r *row) losses(ctx context.Context, f *fleet) error {
	lost := f.names[:max(1, r.routers/lostShare)]
	alive := f.names[len(lost):]
	at, err := f.abort(lost)
	if err != nil {
		return err
	}
	acked, err := f.change(ctx, alive)
	if err != nil {
		return err
	}
	events, err := f.events()
	if err != nil {
		return err
	}
	r.lossChanges = inForce(acked, events, alive)
	r.detection(at, events, alive)
	if _, err := f.usage(); err != nil {
		return err
	}
	return nil
}

// change makes the changes by way of the routers in turn and returns when each
// revision was acknowledged.
func (f *fleet) change(ctx context.Context, by []string) (map[uint64]time.Duration, error) {
	acked := make(map[uint64]time.Duration)
	for i := range changes {
		began := time.Now()
		revision, err := f.apply(ctx, by[i*len(by)/changes], int(f.model.Revision))
		if err != nil {
			return nil, err
		}
		acked[revision] = clock.Boot{}.Now()
		if err := pause(ctx, changeEvery-time.Since(began)); err != nil {
			return nil, err
		}
	}
	return acked, pause(ctx, afterChanges)
}

// inForce returns for each change how long after its acknowledgement the last of
// the routers had it, or a younger one, in force; zero where that was before.
func inForce(acked map[uint64]time.Duration, events []event, routers []string) times {
	var t times
	byRouter := make(map[string][]event)
	for _, e := range events {
		if e.Kind == eventlog.ConfigApplied {
			byRouter[e.By] = append(byRouter[e.By], e)
		}
	}
	for revision, at := range acked {
		last, everywhere := time.Duration(0), true
		for _, name := range routers {
			first, found := reached(byRouter[name], revision)
			everywhere = everywhere && found
			last = max(last, first-at)
		}
		if !everywhere {
			t.missing++
			continue
		}
		t.list = append(t.list, last)
	}
	return t
}

// reached returns when a router first had the revision or a younger one.
func reached(applied []event, revision uint64) (at time.Duration, found bool) {
	for _, e := range applied {
		if e.Revision >= revision && (!found || e.At < at) {
			at, found = e.At, true
		}
	}
	return at, found
}

// detection times the verdicts on the aborted routers.
func (r *row) detection(aborted map[string]time.Duration, events []event, alive []string) {
	verdicts := make(map[string]map[string]time.Duration)
	for _, e := range events {
		if e.Kind != eventlog.MemberLost {
			continue
		}
		at, lost := aborted[e.Router]
		if !lost {
			r.falseVerdicts++
			continue
		}
		if verdicts[e.Router] == nil {
			verdicts[e.Router] = make(map[string]time.Duration)
		}
		if _, again := verdicts[e.Router][e.By]; !again {
			verdicts[e.Router][e.By] = e.At - at
		}
	}
	for name := range aborted {
		first, last, known := time.Duration(0), time.Duration(0), 0
		for _, by := range alive {
			if d, ok := verdicts[name][by]; ok {
				known++
				last = max(last, d)
				if first == 0 || d < first {
					first = d
				}
			}
		}
		if known < len(alive) {
			r.knownToAll.missing++
		} else {
			r.knownToAll.list = append(r.knownToAll.list, last)
		}
		if known == 0 {
			r.firstVerdict.missing++
		} else {
			r.firstVerdict.list = append(r.firstVerdict.list, first)
		}
	}
}
