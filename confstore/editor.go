package confstore

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/selector"
	"tarragongw/kv"
)

// storePatience is how long a change waits for a store that can't be reached. It outlasts the pause
// for which calls are kept back after failures, and a call after it.
const storePatience = kv.DefaultBackoffCap + 2*time.Second

// maxRaces bounds how often a change is made again on top of another operator's.
const maxRaces = 8

// Errors of an edit, beside ConflictError, config.Errors and those of the store.
var (
	// ErrBaseForgotten means that the edited revision is no longer known here.
	ErrBaseForgotten = errors.New("the edited revision is no longer known; fetch the present one and edit that")
	// ErrRaces means that other operators were quicker each time.
	ErrRaces = errors.New("other operators' changes kept coming first; try again")
)

// ConflictError lists the fields that two operators changed differently.
type ConflictError struct{ Conflicts []config.Conflict }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d fields were changed by another operator too", len(e.Conflicts))
}

// Edit makes a new model, which must be sorted, from the present one.
type Edit func(present *model.Model) (*model.Model, error)

// Result is an edit that was carried out, or would be with DryRun.
type Result struct {
	State   *State
	Changes []config.Change
	// Merged says that another operator's changes since the base were kept.
	Merged bool
}

// Editor changes the configuration in the store.
type Editor struct {
	Store   kv.Store
	History *History
	// Now tells the time of a change; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// last is the newest state that was read or written here.
	last *State
}

// Load reads the present configuration; an absent one is empty with revision zero.
func (e *Editor) Load(ctx context.Context) (*State, error) {
	rec, err := e.Store.Get(ctx, Key)
	if errors.Is(err, kv.ErrNotFound) {
		return &State{Model: &model.Model{}}, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := e.decode(rec)
	if err != nil {
		return nil, err
	}
	e.History.Add(state.Model)
	e.keep(state)
	return state, nil
}

// decode reads a record, and validates and compiles what the last one did not have. A
// model that cannot be compiled is read as Decode does, so that it can be mended.
func (e *Editor) decode(rec kv.Record) (*State, error) {
	e.mu.Lock()
	last := e.last
	e.mu.Unlock()
	state, err := DecodeAfter(last, rec)
	if err != nil {
		return nil, err
	}
	var before *selector.Compiled
	if last != nil {
		before = last.compiled
	}
	compiled, problems := selector.Recompile(before, state.Model)
	if len(problems) > 0 {
		return Decode(rec)
	}
	state.compiled = compiled
	return state, nil
}

// keep remembers a state for the next one to be read or written after it.
func (e *Editor) keep(state *State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil || state.Revision() >= e.last.Revision() {
		e.last = state
	}
}

// Replace puts mine in force, which was edited from the revision base. Changes of
// others since then are kept where they are disjoint.
func (e *Editor) Replace(ctx context.Context, base uint64, mine *model.Model, author string, dryRun bool) (*Result, error) {
	var merged bool
	result, err := e.Change(ctx, author, dryRun, func(present *model.Model) (*model.Model, error) {
		merged = base != present.Revision
		if !merged {
			return mine, nil
		}
		from := e.History.Find(base)
		if from == nil {
			return nil, ErrBaseForgotten
		}
		joined, conflicts := config.Merge(from, present, mine)
		if len(conflicts) > 0 {
			return nil, &ConflictError{conflicts}
		}
		return joined, nil
	})
	if err != nil {
		return nil, err
	}
	result.Merged = merged
	return result, nil
}

// Change applies an edit to the present configuration. It returns without error
// only once the new revision is known to be durable; where that is unknown the
// error is kv.ErrUnknown. A store that can't be reached is asked again for storePatience.
func (e *Editor) Change(ctx context.Context, author string, dryRun bool, edit Edit) (*Result, error) {
	patience, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	races, failures := 0, 0
	for races < maxRaces {
		result, err := e.tryChange(ctx, author, dryRun, edit)
		switch {
		case errors.Is(err, kv.ErrConflict):
			races++
		case errors.Is(err, kv.ErrUnavailable):
			failures++
			if !sleep(patience, retryBackoff.Wait(failures, mathrand.Float64())) {
				return nil, err
			}
		default:
			return result, err
		}
	}
	return nil, ErrRaces
}

// retryBackoff spaces the attempts to reach the store.
var retryBackoff = kv.Backoff{Base: 50 * time.Millisecond, Cap: 500 * time.Millisecond}

// sleep waits for d; false means that ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (e *Editor) tryChange(ctx context.Context, author string, dryRun bool, edit Edit) (*Result, error) {
	present, err := e.Load(ctx)
	if err != nil {
		return nil, err
	}
	result, err := e.prepare(present, author, edit)
	if err != nil || dryRun || len(result.Changes) == 0 {
		return result, err
	}
	if err := e.write(ctx, result.State, present); err != nil {
		return nil, err
	}
	e.History.Add(result.State.Model)
	e.keep(result.State)
	return result, nil
}

// prepare validates the edited model whole.
func (e *Editor) prepare(present *State, author string, edit Edit) (*Result, error) {
	edited, err := edit(present.Model)
	if err != nil {
		return nil, err
	}
	next := *edited
	next.Revision = present.Revision() + 1
	compiled, problems := selector.Recompile(present.compiled, &next)
	if len(problems) > 0 {
		return nil, config.ErrorsFromProblems(problems)
	}
	if problems := model.ValidateChange(present.Model, &next); len(problems) > 0 {
		return nil, config.ErrorsFromProblems(problems)
	}
	state := &State{Model: &next, Author: author, Time: e.now(), Stored: present.Stored, ops: present.ops, compiled: compiled}
	return &Result{State: state, Changes: config.Diff(present.Model, &next)}, nil
}

func (e *Editor) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}

func (e *Editor) write(ctx context.Context, state, present *State) error {
	opID := rand.Text()
	value, err := state.encode(opID, present)
	if err != nil {
		return err
	}
	settler := kv.WriteResolver{Store: e.Store, Ops: opsOf}
	settled, err := settler.Write(ctx, kv.Write{Key: Key, OpID: opID, Expect: state.Stored, Value: value})
	if err != nil {
		return err
	}
	state.Stored, state.Value = settled.Revision, value
	return nil
}
