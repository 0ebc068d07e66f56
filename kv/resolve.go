package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Op is the operation id of a write, as stored in the record's value. A record
// has the ops of its last writes, including the one that wrote it.
type Op struct {
	// ID is the unique id of the write.
	ID string `json:"id"`
	// Base is the revision that the write expected. It differs between all writes of a key
	// that took effect.
	Base Revision `json:"base"`
}

// Write is one compare-and-swap with an operation id. Value must contain
// Op{ID: OpID, Base: Expect}.
type Write struct {
	Key    string
	OpID   string
	Expect Revision
	Value  []byte
}

// Outcome is what is known about a write.
type Outcome uint8

const (
	// StillUnknown means that the write may have taken effect or may still do so.
	StillUnknown Outcome = iota
	// Landed means that the write took effect; other writes may have followed.
	Landed
	// NotLanded means that the write did not take effect and never will.
	NotLanded
)

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case Landed:
		return "landed"
	case NotLanded:
		return "not-landed"
	default:
		return "unknown"
	}
}

// WriteResult is the result of a write whose outcome has been determined as far as possible.
type WriteResult struct {
	Outcome Outcome
	// Revision is the revision of the write; zero if the write did not take effect, or if
	// other writes followed before the record was read back.
	Revision Revision
	// Current is the record as last read back; zero if it was not read.
	Current Record
}

// WriteResolver makes writes, and determines the outcome of those whose reply was lost.
type WriteResolver struct {
	Store Store
	// Ops returns the ops that a record's value contains, in any order.
	Ops func(value []byte) ([]Op, error)
	// Backoff limits the waits between attempts to read back. Default: 50 ms to 5 s.
	Backoff Backoff
	// Sleep waits for d or until ctx ends. Default: a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Random returns numbers in [0, 1). Default: math/rand/v2.
	Random func() float64
}

var errOpsEvicted = errors.New("the record no longer has the ops of writes that old")

// Write executes the compare-and-swap. If the reply is lost, it reads the record back
// until the outcome is known or ctx ends. The error is nil only for Landed; for
// NotLanded it is the reason, for StillUnknown it is ErrUnknown.
//
// This prevents a change from being applied twice, or from being reported as failed
// although it took effect. Both happen if a lost reply is taken for a failure and the
// change is applied again to the record's new value.
func (s WriteResolver) Write(ctx context.Context, w Write) (WriteResult, error) {
	s = s.withDefaults()
	revision, err := s.Store.CompareAndSwap(ctx, w.Key, w.Expect, w.Value)
	if err == nil {
		return WriteResult{Outcome: Landed, Revision: revision}, nil
	}
	if !errors.Is(err, ErrUnknown) && hasNoEffect(err) {
		return WriteResult{Outcome: NotLanded}, err
	}
	return s.resolve(ctx, w, err)
}

// hasNoEffect reports whether the error states that the write had no effect.
func hasNoEffect(err error) bool {
	for _, e := range []error{ErrConflict, ErrUnavailable, ErrTooLarge, ErrInvalid, ErrOverBudget} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (s WriteResolver) withDefaults() WriteResolver {
	s.Backoff = s.Backoff.withDefaults()
	if s.Sleep == nil {
		s.Sleep = sleep
	}
	if s.Random == nil {
		s.Random = rand.Float64
	}
	return s
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resolve reads the record back until the outcome of the write is known.
func (s WriteResolver) resolve(ctx context.Context, w Write, cause error) (WriteResult, error) {
	var current Record
	for attempt := 0; ; attempt++ {
		err := s.Sleep(ctx, s.Backoff.Wait(attempt, s.Random()))
		if err != nil || ctx.Err() != nil {
			return WriteResult{Current: current}, WithCause(ErrUnknown, cause)
		}
		record, err := s.Store.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			cause = err
			continue
		}
		current = record
		if record.Revision != w.Expect {
			return s.decideByOps(w, record)
		}
		revision, err := s.resend(ctx, w)
		if err == nil {
			return WriteResult{Outcome: Landed, Revision: revision}, nil
		}
		cause = err
	}
}

// resend sends the same write again if the record is unchanged: the first one was lost, or is
// delayed and may take effect later. The change can't be applied twice, because both
// writes expect the same revision, so that at most one of them takes effect, and both
// contain the op. If this one takes effect, the first one no longer can. A conflict means
// that the record has changed; it is read back again.
func (s WriteResolver) resend(ctx context.Context, w Write) (Revision, error) {
	return s.Store.CompareAndSwap(ctx, w.Key, w.Expect, w.Value)
}

// decideByOps determines the outcome from the ops of a record that no longer has the expected
// revision: exactly one write replaced that revision, and the record's ops show which.
func (s WriteResolver) decideByOps(w Write, record Record) (WriteResult, error) {
	ops, err := s.Ops(record.Value)
	if err != nil {
		return WriteResult{Current: record}, WithCause(ErrUnknown, err)
	}
	newest := Op{}
	for _, op := range ops {
		if op.Base >= newest.Base {
			newest = op
		}
	}
	for _, op := range ops {
		if op.ID == w.OpID {
			return landedResult(record, newest.ID == w.OpID), nil
		}
	}
	for _, op := range ops {
		if op.Base == w.Expect {
			return WriteResult{Outcome: NotLanded, Current: record}, ErrConflict
		}
	}
	return WriteResult{Current: record}, WithCause(ErrUnknown, errOpsEvicted)
}

func landedResult(record Record, newest bool) WriteResult {
	s := WriteResult{Outcome: Landed, Current: record}
	if newest {
		s.Revision = record.Revision
	}
	return s
}
