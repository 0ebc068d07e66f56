package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Op is one write as a record remembers it. A record that is settled keeps the
// ops of its last writes, its own included.
type Op struct {
	// ID is unique to the write.
	ID string `json:"id"`
	// Base is the revision that the write expected. No two writes that took effect
	// have the same.
	Base Revision `json:"base"`
}

// Write is one compare-and-swap with an operation id. Value contains
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
	// StillUnknown means that the write may have taken effect or may yet do so.
	StillUnknown Outcome = iota
	// Landed means that the write took effect; others may have followed since.
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

// Settlement is the result of a settled write.
type Settlement struct {
	Outcome Outcome
	// Revision is the write's own revision; zero where it did not land, or where
	// others followed before it was read back.
	Revision Revision
	// Current is the record as last read back; zero where it was not read.
	Current Record
}

// Settler carries out writes and settles those whose reply was lost.
type Settler struct {
	Store Store
	// Ops returns the ops that a record's value remembers, in any order.
	Ops func(value []byte) ([]Op, error)
	// Backoff spaces the attempts to read back. Default 50 ms to 5 s.
	Backoff Backoff
	// Sleep waits for d or until ctx ends. Default: a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Random returns numbers in [0, 1). Default: math/rand/v2.
	Random func() float64
}

var errOpsForgotten = errors.New("the record no longer remembers writes that old")

// Write carries out the compare-and-swap. Where the reply is lost it reads the
// record back until the outcome is known or ctx ends. The error is nil only for
// Landed; for NotLanded it says why, for StillUnknown it is ErrUnknown.
//
// Symptom of what this prevents: a change is applied twice, or is reported as
// failed and holds. It happens where a lost reply is taken for a failure and the
// change is made again on top of the record as it then is.
func (s Settler) Write(ctx context.Context, w Write) (Settlement, error) {
	s = s.withDefaults()
	revision, err := s.Store.CompareAndSwap(ctx, w.Key, w.Expect, w.Value)
	if err == nil {
		return Settlement{Outcome: Landed, Revision: revision}, nil
	}
	if !errors.Is(err, ErrUnknown) && surelyNot(err) {
		return Settlement{Outcome: NotLanded}, err
	}
	return s.settle(ctx, w, err)
}

// surelyNot says whether the error is a statement that the write did not happen.
func surelyNot(err error) bool {
	for _, e := range []error{ErrConflict, ErrUnavailable, ErrTooLarge, ErrInvalid, ErrOverBudget} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (s Settler) withDefaults() Settler {
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

// settle reads back until the outcome is known.
func (s Settler) settle(ctx context.Context, w Write, cause error) (Settlement, error) {
	var current Record
	for attempt := 0; ; attempt++ {
		err := s.Sleep(ctx, s.Backoff.Wait(attempt, s.Random()))
		if err != nil || ctx.Err() != nil {
			return Settlement{Current: current}, WithCause(ErrUnknown, cause)
		}
		record, err := s.Store.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			cause = err
			continue
		}
		current = record
		if record.Revision != w.Expect {
			return s.judge(w, record)
		}
		revision, err := s.close(ctx, w)
		if err == nil {
			return Settlement{Outcome: Landed, Revision: revision}, nil
		}
		cause = err
	}
}

// close ends the case that the record is still as it was: the write was lost, or
// it is on its way and lands later. It sends the very same write again. That is
// no second application: both expect the same revision, so at most one of them
// ever takes effect, and whichever does carries the op. If this one lands, the
// first cannot any more; a conflict means that the record has moved on, and it
// is read back again.
func (s Settler) close(ctx context.Context, w Write) (Revision, error) {
	return s.Store.CompareAndSwap(ctx, w.Key, w.Expect, w.Value)
}

// judge decides by the ops of a record that has moved on from the expected
// revision: exactly one write took effect on top of that, and the record says which.
func (s Settler) judge(w Write, record Record) (Settlement, error) {
	ops, err := s.Ops(record.Value)
	if err != nil {
		return Settlement{Current: record}, WithCause(ErrUnknown, err)
	}
	newest := Op{}
	for _, op := range ops {
		if op.Base >= newest.Base {
			newest = op
		}
	}
	for _, op := range ops {
		if op.ID == w.OpID {
			return landed(record, newest.ID == w.OpID), nil
		}
	}
	for _, op := range ops {
		if op.Base == w.Expect {
			return Settlement{Outcome: NotLanded, Current: record}, ErrConflict
		}
	}
	return Settlement{Current: record}, WithCause(ErrUnknown, errOpsForgotten)
}

func landed(record Record, newest bool) Settlement {
	s := Settlement{Outcome: Landed, Current: record}
	if newest {
		s.Revision = record.Revision
	}
	return s
}
