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

// storeRetryTimeout bounds how long a change is retried while the store is unreachable. It is longer
// than the longest backoff of the store's client, plus a call after it.
const storeRetryTimeout = kv.DefaultBackoffCap + 2*time.Second

// maxConflicts bounds the attempts of a change that fail because another operator wrote first.
const maxConflicts = 8

// Errors of an edit, in addition to ConflictError, config.Errors and the store's errors.
var (
	// ErrBaseForgotten means that History no longer has the edited revision.
	ErrBaseForgotten = errors.New("the edited revision is no longer known; fetch the present one and edit that")
	// ErrRaces means that another operator wrote first at each attempt.
	ErrRaces = errors.New("other operators' changes kept coming first; try again")
)

// ConflictError lists the fields that two operators changed differently.
type ConflictError struct{ Conflicts []config.Conflict }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d fields were changed by another operator too", len(e.Conflicts))
}

// Edit returns a new model, which must be sorted, made from the present one.
type Edit func(present *model.Model) (*model.Model, error)

// Result is the outcome of an edit, or what it would be for a dry run.
type Result struct {
	State   *State
	Changes []config.Change
	// Merged reports whether the edit was merged with other changes made since its base.
	Merged bool
}

// Editor changes the configuration in the store.
type Editor struct {
	Store   kv.Store
	History *History
	// Now returns the time of a change; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// last is the newest state that this editor has read or written.
	last *State
}

// Load reads the present configuration; it is empty with revision zero if there is no record.
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
	e.setLast(state)
	return state, nil
}

// decode decodes a record, and validates and compiles the parts that differ from the last
// state. A model that cannot be compiled is read by Decode, so that it can be corrected.
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

// setLast stores a state, unless it is older than last, so that the next record that is
// read or written reuses its pieces.
func (e *Editor) setLast(state *State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil || state.Revision() >= e.last.Revision() {
		e.last = state
	}
}

// Replace makes mine, which was edited from the revision base, the present configuration.
// Changes made since base are kept; a field that both sides changed differently gives a
// ConflictError.
func (e *Editor) Replace(ctx context.Context, base uint64, mine *model.Model, author string, dryRun bool) (*Result, error) {
	var merged bool
	result, err := e.Change(ctx, author, dryRun, func(present *model.Model) (*model.Model, error) {
		merged = base != present.Revision
		if !merged {
			return mine, nil
		}
		baseModel := e.History.Find(base)
		if baseModel == nil {
			return nil, ErrBaseForgotten
		}
		mergedModel, conflicts := config.Merge(baseModel, present, mine)
		if len(conflicts) > 0 {
			return nil, &ConflictError{conflicts}
		}
		return mergedModel, nil
	})
	if err != nil {
		return nil, err
	}
	result.Merged = merged
	return result, nil
}

// Change applies an edit to the present configuration. It returns without error only
// after the new revision is known to be durable; if that is unknown, the error is
// kv.ErrUnknown. While the store is unreachable it retries, up to storeRetryTimeout.
func (e *Editor) Change(ctx context.Context, author string, dryRun bool, edit Edit) (*Result, error) {
	retryCtx, cancel := context.WithTimeout(ctx, storeRetryTimeout)
	defer cancel()
	conflicts, failures := 0, 0
	for conflicts < maxConflicts {
		result, err := e.tryChange(ctx, author, dryRun, edit)
		switch {
		case errors.Is(err, kv.ErrConflict):
			conflicts++
		case errors.Is(err, kv.ErrUnavailable):
			failures++
			if !sleep(retryCtx, retryBackoff.Wait(failures, mathrand.Float64())) {
				return nil, err
			}
		default:
			return result, err
		}
	}
	return nil, ErrRaces
}

// retryBackoff sets the delays between attempts while the store is unreachable.
var retryBackoff = kv.Backoff{Base: 50 * time.Millisecond, Cap: 500 * time.Millisecond}

// sleep waits for d; it returns false if ctx ends first.
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
	e.setLast(result.State)
	return result, nil
}

// prepare applies the edit, and validates and compiles the whole edited model.
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
	resolver := kv.WriteResolver{Store: e.Store, Ops: opsOf}
	written, err := resolver.Write(ctx, kv.Write{Key: Key, OpID: opID, Expect: state.Stored, Value: value})
	if err != nil {
		return err
	}
	state.Stored, state.Value = written.Revision, value
	return nil
}
